#!/bin/sh
# `filberthall check` and wrong command lines: clear errors, and exit statuses
# that are the hundreds of the result code.
set -eu
bin=$BUILD_ROOT/bin/filberthall
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
n=0

# expect STATUS LINE ARGUMENT...: exit status and last line of the output.
expect() {
	status=$1
	line=$2
	shift 2
	n=$((n + 1))
	got=0
	"$bin" "$@" >"$work/out" 2>&1 || got=$?
	last=$(tail -n 1 "$work/out" | sed "s|$work/||")
	if test "$got" = "$status" && test "$last" = "$line"
	then
		echo "ok $n - $line"
	else
		echo "not ok $n - $line"
		echo "# got $got: $last"
	fi
}

cat >"$work/tier.yaml" <<'EOF'
team:
  calves:
    class:
      lodgement: {tier: 9}
EOF
cat >"$work/key.yaml" <<'EOF'
team:
  calves:
    class:
      lodgement: {tier: 0, deadlin_ms: 5}
EOF
printf 'team: [\n' >"$work/broken.yaml"

echo 1..6
cp "$SOURCE_ROOT"/contrib/settings/*.yaml "$work"
expect 0 "co-operative.yaml: 14 paths, good" \
	check "$work/archive.yaml" "$work/co-operative.yaml"
expect 7 "filberthall: tier.yaml:4:25: team/calves/class/lodgement: tier is 9; allowed: a whole number from 0 to 3 (702 SETTING_VALUE)" \
	check "$work/tier.yaml"
expect 7 "filberthall: key.yaml:4:40: team/calves/class/lodgement: deadlin_ms is not known here; allowed: tier, first_token_ms, inter_token_ms, deadline_ms, min_share, queue_bound, idempotent, reclaimable (701 SETTING_UNKNOWN)" \
	check "$work/key.yaml"
expect 7 "filberthall: broken.yaml:2:1: not valid YAML: flow sequence without a closing bracket (703 SETTING_SYNTAX)" check "$work/broken.yaml"
expect 1 "filberthall: no such command: nope; see filberthall --help (101 BAD_REQUEST)" nope
expect 2 "filberthall: no key: give --key-file FILE, or key_file in the configuration (201 NO_KEY)" \
	--server 127.0.0.1:1 status
