#!/bin/sh
# A planned stop cuts off requests that it took and that outlast its grace.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

controls=
for n in 5 4 3 2 1
do
	start_control $n
	controls="$controls $(roles_operators $n)"
done
start_entry 1
long_limits() {
	document 1 k1 | sed 's/"timeout_ms": [48]000/"timeout_ms": 10000/
		s/"service": "scribe"/"service": "desk"/
		s,/stream/r/,/stream/,; s/"resumable": true/"resumable": false/'
}
accepted() {
	test "$(long_limits | curl -s -o /dev/null -w '%{http_code}' -L \
		--max-time 5 -X PUT --data-binary @- \
		"http://$(roles_operators 1)/filberthall/config")" = 200
}
check "a document is accepted" wait_for 20 accepted
check "callers who ask before and after SIGTERM" timeout 60 python3 \
	"$SOURCE_ROOT/tests/e2e/planned_stop.py" \
	"$(address entry-1 callers)" "$(cat "$WORK/entry-1.pid")" $controls
cp "$WORK/check.out" "$WORK/came"
came() {
	sed -n "s,^$1 ,,p" "$WORK/came"
}
for path in /read/6000 /once/6000 /stream/6000
do
	is "$path: those before it are answered whole" \
		"$(came "$path before")" 200:6
	is "$path: those after it are refused at once, and haven't run" \
		"$(came "$path after")" 503:6
done
is "short ones after it are served" "$(came "/once/200 after")" 200:12
is "what outlasts the grace gets an answer that promises nothing" \
	"$(came "/once/9500 before")" 502:3
check "the process ends within its grace" reap entry-1 9
finish
