#!/bin/sh
# Something between a daemon and an engine loses track of the connections
# that are open: they say nothing more, while new ones work. Without care a
# caller's stream stands still for good, and the next request over an idle
# connection waits until its deadline, as does each one after it.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
start engine-1 fake-engine --decode 800 $(backends d1)
start engine-2 fake-engine --decode 800 $(backends d1)
wait_for 20 grant d1 caller derwent-yards --class check --class lodgement \
	--default-class check
start service fake-service $(backends d1)
check "the daemon routes" wait_for 20 routes d1 caller
both() {
	test "$(operate d1 --json backend list | json "sum(b['usable'] and \
		b['serves'] == 'calf-7b' for b in d['backend_servers'])")" = 2
}
check "to both engines" wait_for 20 both

# Idle connections come from a few requests at once.
for i in 1 2 3 4 5 6 7 8
do
	completion d1 "$WORK/caller.key" "warm $i [tokens=20]" >/dev/null &
	echo $! >>"$WORK/warm"
done
for pid in $(cat "$WORK/warm")
do
	wait "$pid"
done
lodge d1 "$WORK/caller.key" warm '{}' >/dev/null

completion d1 "$WORK/caller.key" "frozen [tokens=200]" >"$WORK/frozen" 2>&1 &
FROZEN=$!
check "a stream flows" wait_for 10 test -s "$WORK/frozen"
fault "$(address engine-1)" '{"kind":"silent"}'
fault "$(address engine-2)" '{"kind":"silent"}'
fault "$(address service)" '{"kind":"silent"}'

# The idle connections are all dead; none may cost a caller its answer.
for i in 1 2 3 4
do
	is "completion $i after it is answered whole" \
		"$(completion d1 "$WORK/caller.key" "next $i [tokens=10]" \
		--max-time 25 | sse_text)" "$(expected "next $i [tokens=10]")"
done
is "a lodgement too, at once" "$(lodge d1 "$WORK/caller.key" lodgement \
	'{}' --max-time 5 | json "d.get('state')")" lodged
is "it ran once" "$(curl -s "$(address service)/count" |
	json "d['by_key']['lodgement']")" 1
wait $FROZEN && STATUS=0 || STATUS=$?
is "the frozen stream's caller saw a clean end" "$STATUS" 0
is "and the whole text, without gap or repeat" \
	"$(sse_text <"$WORK/frozen")" "$(expected "frozen [tokens=200]")"
finish
