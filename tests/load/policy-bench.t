#!/bin/sh
# Tests policy-bench by its command line. Scripts read the field names of its
# output, and a misspelt field in a scenario must be an error instead of being
# ignored in favour of the default.
set -u
bench=$BUILD_ROOT/bin/policy-bench
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
n=0

check() {
	n=$((n + 1))
	if eval "$2"
	then
		echo "ok $n - $1"
	else
		echo "not ok $n - $1"
	fi
}

cat >"$dir/small.yaml" <<'YAML'
name: small
seed: 7
duration_s: 10
routers: 2
report_lag_s: 1
backend_servers:
  - {count: 2, slots: 8}
classes:
  - {name: caption, tier: 0, first_token_target_s: 0.5, deadline_s: 10}
organisations:
  - {name: a}
traffic:
  - {organisation: a, class: caption, from_s: 0, until_s: 10, rate_per_s: 3}
YAML
sed 's/slots: 8/slotz: 8/' "$dir/small.yaml" >"$dir/field.yaml"
sed 's/tier: 0/tier: zero/' "$dir/small.yaml" >"$dir/value.yaml"
sed 's/class: caption/class: other/' "$dir/small.yaml" >"$dir/class.yaml"

echo 1..7
"$bench" run "$dir/small.yaml" --json --policy full --policy fifo \
	>"$dir/one" 2>&1
"$bench" run "$dir/small.yaml" --json --policy full --policy fifo \
	>"$dir/two" 2>&1
check 'one line a policy, the same each time' \
	'test "$(wc -l <"$dir/one")" = 2 && cmp -s "$dir/one" "$dir/two"'
check 'the names that scripts read' 'python3 - "$dir/one" <<PY
import json, sys
for line in open(sys.argv[1]):
    run = json.loads(line)
    assert set(run) == {"scenario", "policy", "seed", "classes",
        "organisations", "goodput_tokens_per_s", "wasted_share", "breaches"}
    assert set(run["classes"]["caption"]) == {"offered", "served", "attained",
        "refused", "expired", "cut", "wasted_tokens", "first_token_p50_s",
        "first_token_p95_s", "first_token_p99_s"}
    assert set(run["organisations"]["a"]) == {"offered", "attained"}
    assert set(run["breaches"]) == {"shed_over_lower", "false_not_run",
        "run_twice", "starved"}
    assert run["seed"] == 7 and run["classes"]["caption"]["offered"] > 10
PY'
"$bench" run "$dir/small.yaml" --json --seed 8 >"$dir/three" 2>&1
check 'another seed is another run' '! cmp -s "$dir/one" "$dir/three"'
"$bench" run "$dir/field.yaml" >"$dir/out" 2>&1
check 'an unknown field is an error with its line' \
	"test $? != 0 && grep -q 'field.yaml:7: unknown field .slotz' \$dir/out"
"$bench" run "$dir/value.yaml" >"$dir/out" 2>&1
check 'so is a bad value' \
	"test $? != 0 && grep -q 'value.yaml:9:.*tier' \$dir/out"
"$bench" run "$dir/class.yaml" >"$dir/out" 2>&1
check 'and a class that is not there' "test $? != 0"
"$bench" run "$dir/small.yaml" --plot "$dir/plot.svg" >/dev/null
check 'the plot is drawn' 'grep -q "<polyline" "$dir/plot.svg"'
