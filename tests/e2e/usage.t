#!/bin/sh
# The platform bills each organisation once a window by what is reported.
# Here its answers to reports get lost, come late, or refuse for a while. An
# organisation would see requests missing from its bill, or billed twice.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

start platform fake-platform --offer-zone z1
site_settings | sed 's/^site:$/&\n  usage: {window_s: 2, grace_s: 1}/' \
	>"$WORK/settings.yaml"
site_init
start_daemon d1 z1 "platform: $(address platform)"
wait_for 20 voters d1 1
start_daemon d2 z2 "platform: $(address platform)"
start engine-1 fake-engine --decode 20000 --prefill 1000000 --slots 64 \
	$(backends d1 d2)
wait_for 20 grant d1 a derwent-yards --class check --default-class check
wait_for 20 grant d1 b upper-meadows --class check --default-class check
for daemon in d1 d2
do
	check "$daemon routes" wait_for 30 routes $daemon b calf-7b
done

fault "$(address platform)" \
	'{"kind":"close-after-run","path":"/reports"}'
fault "$(address platform)" '{"kind":"late","path":"/reports","ms":500}'
fault "$(address platform)" \
	'{"kind":"error","path":"/reports","status":503}'

cat >"$WORK/load.yaml" <<EOF
organisations:
- {name: derwent-yards, key_file: $WORK/a.key, share: 3}
- {name: upper-meadows, key_file: $WORK/b.key}
classes:
- {name: check, model: calf-7b, rate: 50, stream: true, output_tokens: 20,
   class_header: false}
EOF
# load REQUESTS OUT
load() {
	check "$1 requests through both daemons" "$BIN/filberthall-load" \
		"$WORK/load.yaml" --quiet --json --requests "$1" \
		--target "$(address d1 callers)" \
		--target "$(address d2 callers)"
	cp "$WORK/check.out" "$WORK/$2"
}
load 300 load.json
is "all are answered" "$(json "d['classes'][0]['ok']" <"$WORK/load.json")" 300

# Figures by organisation, each window once, from the platform's own log.
reported() {
	curl -s "$(address platform)/log" >"$WORK/log.json"
	python3 - "$WORK/log.json" "$1" <<'EOF'
import json, sys
windows = {}
for entry in json.load(open(sys.argv[1])):
    if entry['call'] == 'report' and entry['status'] == 200:
        windows[entry['arguments']['window']] = entry['arguments']
total = {}
for report in windows.values():
    for row in report['organisations']:
        total[row['name']] = total.get(row['name'], 0) + row[sys.argv[2]]
print(json.dumps(total, sort_keys=True))
EOF
}
billed() {
	json "json.dumps({n: o['ok'] * $1 \
		for n, o in sorted(d['organisations'].items())})" \
		<"$WORK/${2-load.json}"
}
all_reported() {
	test "$(reported requests)" = "$(billed 1)"
}
check "every request is reported" wait_for 60 all_reported
is "and every token" "$(reported output_tokens)" "$(billed 20)"

# Later windows, without faults, change nothing of what was billed.
load 60 load-2.json
FIRST=$(billed 1)
both_reported() {
	test "$(reported requests)" = "$(python3 -c "import json
a, b = json.loads('$FIRST'), json.loads('$(billed 1 load-2.json)')
print(json.dumps({n: a[n] + b[n] for n in sorted(a)}))")"
}
check "what comes later is reported too" wait_for 40 both_reported
check "and nothing twice" both_reported
is "no window came with other figures" "$(json "sum(e['status'] == 409 \
	for e in d)" <"$WORK/log.json")" 0
finish
