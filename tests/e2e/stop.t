#!/bin/sh
# An operator stops a VM's daemon while callers read streams through it. What
# they would see if it just ended: answers cut off in the middle. The daemon
# must fail its health check, take nothing new, and end when the streams have.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
start engine-1 fake-engine --decode 400 $(backends d1)
wait_for 20 grant d1 caller derwent-yards --class check --default-class check
check "the daemon routes" wait_for 20 routes d1 caller calf-7b

STREAMS='1 2 3 4 5 6'
for i in $STREAMS
do
	completion d1 "$WORK/caller.key" "stream $i [tokens=60]" \
		>"$WORK/stream-$i" 2>&1 &
	echo $! >"$WORK/caller-$i"
done
for i in $STREAMS
do
	check "stream $i has begun" wait_for 10 test -s "$WORK/stream-$i"
done
CALLERS=$(address d1 callers)
signal d1 TERM
unhealthy() {
	! curl -sf "$CALLERS/healthz"
}
check "the health check fails" wait_for 5 unhealthy
curl -s "$CALLERS/v1/chat/completions" -D "$WORK/refusal" -o /dev/null \
	-H "Authorization: Bearer $(cat "$WORK/caller.key")" \
	-d "$(completion_body 'late')" || :
if test -s "$WORK/refusal"
then
	check "a new request is refused as not run" \
		grep -qi '^Filberthall-Run: not-run' "$WORK/refusal"
fi
for i in $STREAMS
do
	wait "$(cat "$WORK/caller-$i")" && STATUS=0 || STATUS=$?
	is "caller $i saw a clean end" "$STATUS" 0
	is "stream $i is whole" "$(sse_text <"$WORK/stream-$i")" \
		"$(expected "stream $i [tokens=60]")"
done
check "the daemon ends well" reap d1 30
finish
