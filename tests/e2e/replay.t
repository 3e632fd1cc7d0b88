#!/bin/sh
# A recording of a daemon's events, run through the same reducer again, must
# give the same effects each time: the same attempts, the same answers. It must
# hold no key. The spans of the same run must show each hop of a lodgement.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
site_boot d1 z1 >"$WORK/d1.boot"
"$BIN/filberthalld" --settings "$WORK/d1.boot" --record "$WORK/events" \
	>>"$WORK/d1.log" 2>&1 &
lib_note d1 $!
check "a daemon that records starts" wait_for 20 test -s "$WORK/d1.yaml"
start engine fake-engine --model calf-7b --decode 40000 $(backends d1)
start service fake-service $(backends d1)
check "a key is granted" wait_for 20 grant d1 agent derwent-yards \
	--class check --class lodgement --default-class check
check "it routes" wait_for 20 routes d1 agent
completion d1 "$WORK/agent.key" "one [tokens=5]" >/dev/null
lodge d1 "$WORK/agent.key" k1 '{"calf":1}' >"$WORK/first"
lodge d1 "$WORK/agent.key" k1 '{"calf":1}' >"$WORK/second"
is "a resend gets the kept answer" "$(cat "$WORK/second")" \
	"$(cat "$WORK/first")"
check "it stops in order" stop d1

check "the recording can be replayed" "$BIN/filberthall" replay "$WORK/events"
"$BIN/filberthall" replay "$WORK/events" >"$WORK/once"
"$BIN/filberthall" replay "$WORK/events" >"$WORK/twice"
check "twice with the same effects" cmp "$WORK/once" "$WORK/twice"
is "two attempts: the completion and one lodgement" \
	"$(grep -c '"effect":"start-attempt"' "$WORK/once")" 2
is "three answers" "$(grep -c '"effect":"answer"' "$WORK/once")" 3
is "no key in it" "$(grep -c fh_ "$WORK/events" || :)" 0
is "nor one in the daemon's folder" "$(cat "$WORK"/d1.data/* |
	grep -c "$(cat "$WORK/agent.key")" || :)" 0

"$BIN/filberthall" trace "$WORK/d1.trace" --svg "$WORK/trace.svg" \
	>"$WORK/waterfall"
for hop in edge queue claim pick attempt stream
do
	check "a span for the hop $hop" grep -q " $hop " "$WORK/waterfall"
done
check "drawn as SVG too" grep -q '</svg>' "$WORK/trace.svg"
finish
