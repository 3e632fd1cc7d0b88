#!/bin/sh
# The platform's crew takes a backend server out, as planned, while callers
# read streams from it. What they would see without care: answers cut off, or
# requests sent to a server that is about to end. It must get no new work
# after 3 s, from any daemon, and end only when its streams are whole.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
wait_for 20 voters d1 1
start_daemon d2 z2
for i in 1 2
do
	start engine-$i fake-engine --decode 1600 --slots 32 \
		--linger-ms 5000 $(backends d1 d2)
done
wait_for 20 grant d1 caller derwent-yards --class check --default-class check
two() {
	test "$(operate $1 --json backend list |
		json "sum(b['usable'] for b in d['backend_servers'])")" = 2
}
for daemon in d1 d2
do
	check "$daemon routes" wait_for 30 routes $daemon caller calf-7b
	check "$daemon knows both engines" wait_for 20 two $daemon
done

cat >"$WORK/load.yaml" <<EOF
organisations:
- {name: a, key_file: $WORK/caller.key}
classes:
- {name: check, model: calf-7b, rate: 15, stream: true, output_tokens: 40,
   class_header: false}
EOF
"$BIN/filberthall-load" "$WORK/load.yaml" --quiet --json --seconds 9 \
	--target "$(address d1 callers)" --target "$(address d2 callers)" \
	>"$WORK/load.json" &
LOAD=$!
LEAVING=$(address engine-1)
busy() {
	test "$(curl -s "$LEAVING/engine/status" | json "d['running']")" -ge 2
}
check "it runs streams" wait_for 10 busy
signal engine-1 TERM
# Its own count, read as long as it answers: the last new work it got.
LATEST=0
while ! lib_is_dead "$(cat "$WORK/engine-1.pid")"
do
	NOW=$(curl -s "$LEAVING/engine/status" |
		json "d['counts']['late_work_ms']" 2>/dev/null || :)
	LATEST=${NOW:-$LATEST}
	sleep 0.1
done
check "it ended well" reap engine-1
echo "# the last new work came $LATEST ms after it said that it leaves"
check "no new work after 3 s" test "$LATEST" -le 3000
wait $LOAD && STATUS=0 || STATUS=$?
is "no answer was lost, torn, doubled or crossed" "$STATUS" 0
is "all were answered whole" "$(json "d['classes'][0]['ok'] == \
	d['classes'][0]['sent']" <"$WORK/load.json")" true
finish
