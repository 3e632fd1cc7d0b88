#!/bin/sh
# As silent.t, but there is only one engine: no second server to hedge with.
# Something in the middle has lost track of the idle connections to it. The
# next caller's request goes over one of them; it must be given up there in
# seconds and answered over a new connection, not after its whole deadline.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
start engine-1 fake-engine --decode 8000 $(backends d1)
wait_for 20 grant d1 caller derwent-yards --class check --default-class check
check "the daemon routes" wait_for 20 routes d1 caller calf-7b
for i in 1 2 3 4
do
	completion d1 "$WORK/caller.key" "warm $i [tokens=20]" >/dev/null &
	echo $! >>"$WORK/warm"
done
for pid in $(cat "$WORK/warm")
do
	wait "$pid"
done
fault "$(address engine-1)" '{"kind":"silent"}'
# The class's deadline is 30 s; a caller that waits 15 s gets its answer.
is "the next completion is answered whole" \
	"$(completion d1 "$WORK/caller.key" "next [tokens=10]" --max-time 15 |
	sse_text)" "$(expected "next [tokens=10]")"
is "and the one after it" \
	"$(completion d1 "$WORK/caller.key" "after [tokens=10]" --max-time 15 |
	sse_text)" "$(expected "after [tokens=10]")"
finish
