#!/bin/sh
# An operator withdraws a key whose holder is reading a stream and sends
# more, through another VM. Everything of that key must end within 3 s on all
# VMs; other keys notice nothing.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
wait_for 20 voters d1 1
start_daemon d2 z2
start engine-1 fake-engine --decode 400 $(backends d1 d2)
wait_for 20 grant d1 leaver derwent-yards --class check --default-class check
wait_for 20 grant d1 stayer upper-meadows --class check --default-class check
for daemon in d1 d2
do
	check "$daemon routes" wait_for 30 routes $daemon stayer calf-7b
done

TEXT='a long one [tokens=180]'
for daemon in d1 d2
do
	completion $daemon "$WORK/leaver.key" "$TEXT" >"$WORK/cut-$daemon" &
	echo $! >"$WORK/cut-$daemon.caller"
done
completion d2 "$WORK/stayer.key" "$TEXT" >"$WORK/stays" &
STAYS=$!
for stream in cut-d1 cut-d2 stays
do
	check "$stream has begun" wait_for 10 test -s "$WORK/$stream"
done
check "the key is withdrawn through d1" operate d1 key withdraw leaver
for daemon in d1 d2
do
	check "its stream through $daemon ends within 3 s" wait_for 3 \
		lib_is_dead "$(cat "$WORK/cut-$daemon.caller")"
	check "and says why" grep -q '"code": *207' "$WORK/cut-$daemon"
	check "without [DONE]" sh -c "! grep -q DONE $WORK/cut-$daemon"
	is "a new request through $daemon is refused" "$(completion $daemon \
		"$WORK/leaver.key" 'more' -o /dev/null -w '%{http_code}')" 401
done
wait $STAYS
is "the other key's stream is whole" "$(sse_text <"$WORK/stays")" \
	"$(expected "$TEXT")"
finish
