#!/bin/sh
# An engine crashes under a third of all streams, and later a second one.
# Callers would see streams cut off, or, if they were begun anew elsewhere,
# words twice. After one crash each must get the whole text of its own
# request, once; two in a row may cost those that were in both an honest
# refusal, since nothing tells them from what brought the engines down.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
for i in 1 2 3
do
	start engine-$i fake-engine --decode 1600 --slots 32 $(backends d1)
done
wait_for 20 grant d1 caller derwent-yards --class check --default-class check
check "the daemon routes" wait_for 20 routes d1 caller calf-7b
three() {
	test "$(operate d1 --json backend list |
		json "sum(b['usable'] for b in d['backend_servers'])")" = 3
}
check "it knows all three engines" wait_for 20 three

cat >"$WORK/load.yaml" <<EOF
organisations:
- {name: a, key_file: $WORK/caller.key}
classes:
- {name: check, model: calf-7b, stream: true, output_tokens: 60,
   class_header: false}
EOF
load() {
	"$BIN/filberthall-load" "$WORK/load.yaml" --quiet --json --streams 24 \
		--requests "$1" --target "$(address d1 callers)" \
		>"$WORK/load.json" &
	LOAD=$!
}
result() {
	wait $LOAD && STATUS=0 || STATUS=$?
	echo "# $(json "{k: d['classes'][0][k] for k in ('sent', 'ok',
		'refused', 'lost', 'torn', 'doubled', 'crossed', 'codes')}" \
		<"$WORK/load.json")"
}
running() {
	test "$(curl -s "$(address $1)/engine/status" | json "d['running']")" \
		-ge 3
}
crash() {
	check "$1 runs streams" wait_for 10 running "$1"
	signal "$1" KILL
	reap "$1" || :
}

load 96
crash engine-1
result
is "no answer was lost, torn, doubled or crossed" "$STATUS" 0
is "all were answered whole" "$(json "d['classes'][0]['ok']" \
	<"$WORK/load.json")" 96

start engine-1 fake-engine --decode 1600 --slots 32 $(backends d1)
check "three engines again" wait_for 20 three
load 120
crash engine-2
crash engine-3
result
is "again none was lost, torn, doubled or crossed" "$STATUS" 0
is "what wasn't answered whole was refused" "$(json "[c['ok'] + c['refused'] \
	for c in d['classes']][0]" <"$WORK/load.json")" 120
finish
