#!/bin/sh
# A server answers with a failure where a stream is to go on, and the stream
# ends as complete.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

roles_site
for s in a b c d e f
do
	start $s fake-native --id $s --service scribe --events 24 --cut-at 9 \
		$controls
	check "server $s is known" wait_for 20 roles_known $s
done
check "the entry VM gets ready" wait_for 20 is_ready 1

# begins ANSWER: whether it came to the break; counts those that end whole.
begins() {
	N=$((N + 1))
	broken=0
	roles_stream 1 x$N $N -H "Stand-In-Resumed: $1" >"$WORK/stream" ||
		broken=1
	grep -q '^id: 8$' "$WORK/stream" || return 1
	test "$broken" = 1 || complete=$((complete + 1))
	! grep -q refused "$WORK/stream" || complete=$((complete + 1))
}

N=0
for answer in "200 text/plain" "200 application/json" "201 text/html" \
	"301 -" "302 -" "400 -" "401 -" "403 -" "404 -" "409 -" "410 -" \
	"421 -" "422 -" "429 -" "451 -" "500 -" "503 -" "404 text/event-stream"
do
	complete=0
	check "a stream begins that goes on with $answer" \
		wait_for 20 begins "$answer"
	is "and doesn't end as complete" "$complete" 0
done
finish
