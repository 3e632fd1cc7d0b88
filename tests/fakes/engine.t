#!/bin/sh
# The stand-in engine through its own door: texts, resume, cancel, orders and
# the faults that other tests rely on.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"

start engine fake-engine --decode 4000 --slots 4
A=$(address engine)

body() {
	printf '{"model":"calf-7b","stream":%s,"messages":[{"role":"user",' "$1"
	printf '"content":"%s"}]}' "$2"
}

stream() {
	curl -sN --max-time 10 "$A/v1/chat/completions" "$@"
}

# begin FILE ARGS...: a stream in the background; $! is its process.
begin() {
	out=$1
	shift
	curl -sN --max-time 30 "$A/v1/chat/completions" "$@" >"$out" 2>&1 &
}

status() {
	curl -s "$A/engine/status" | json "$1"
}

counts() {
	test "$(status "d['counts']['$1']")" = "$2"
}

BODY=$(body true 'hello [tokens=30]')
WHOLE=$(stream -d "$BODY" | sse_text)
AGAIN=$(stream -d "$BODY" | sse_text)
is "the same body gives the same text" "$AGAIN" "$WHOLE"
is "it has as many tokens as asked for" "$(echo $WHOLE | wc -w)" 30

FIRST=$(echo $WHOLE | cut -d ' ' -f 1-12)
REST=$(stream -d "$BODY" -H 'X-Resume-Tokens: 12' | sse_text)
is "resume gives exactly the rest" " $FIRST$REST" "$WHOLE"

stream -d "$BODY" >"$WORK/stream"
is "a stream ends with [DONE]" "$(grep -c '^data: \[DONE\]' "$WORK/stream")" 1
is "the last chunk carries usage" \
	"$(sed -n 's/^data: //p' "$WORK/stream" | grep '"finish_reason":"stop"' |
	json "d['usage']['completion_tokens']")" 30

# More streams than slots, whose callers hang up: the slots come free.
LONG=$(body true 'long [tokens=10000]')
for i in 1 2 3 4 5 6
do
	begin /dev/null -d "$LONG"
	echo $! >>"$WORK/callers"
done
check "four run, two wait" wait_for 5 \
	sh -c "curl -s $A/engine/status | grep '\"running\": 4, \"queued\": 2'"
kill $(cat "$WORK/callers")
check "callers that left free their slots" wait_for 5 \
	sh -c "curl -s $A/engine/status | grep '\"running\": 0, \"queued\": 0'"
check "and count as cancelled" counts cancelled 6

begin /dev/null -H 'X-Request-Id: r-1' -d "$LONG"
check "a stream runs" wait_for 5 \
	sh -c "curl -s $A/engine/status | grep '\"running\": 1'"
is "it can be exported" "$(curl -s "$A/engine/kv/export" \
	-d '{"request_id":"r-1"}' | json "d['tokens'] > 0")" true
is "and is then gone" "$(status "d['running']")" 0

order() {
	curl -s -o "$WORK/order" -w '%{http_code}' "$A/engine/orders" -d "$1"
}
is "an order is done" "$(order '{"order_id":"a","fence":5,
	"verb":"load-adapter","name":"x"}')" 200
is "an older fence is refused" "$(order '{"order_id":"b","fence":4,
	"verb":"load-adapter","name":"y"}')" 409
is "the same order again is harmless" "$(order '{"order_id":"a","fence":5,
	"verb":"load-adapter","name":"x"}')" 200
is "only the first one counted" "$(status "d['adapters']")" x

fault "$A" '{"kind":"crossed"}'
stream -i -H 'X-Request-Id: mine' -d "$BODY" >"$WORK/crossed"
check "a crossed answer bears another id" \
	sh -c "! grep -q '\"id\":\"mine\"' $WORK/crossed"
check "and another text" \
	test "$(sse_text <"$WORK/crossed")" != "$WHOLE"

fault "$A" '{"kind":"break","after":7}'
is "a stream breaks after so many tokens" \
	"$(stream -d "$BODY" | sse_text | wc -w)" 7
fault "$A" '{"kind":"close-after-read"}'
is "closed after reading: no answer" "$(stream -d "$BODY" | wc -c)" 0
fault "$A" '{"kind":"error","status":503}'
is "an error as asked for" \
	"$(stream -o /dev/null -w '%{http_code}' -d "$BODY")" 503

# Silent: the open stream stands still for good, a new one works.
begin "$WORK/silent" -d "$LONG"
CALLER=$!
check "a stream flows" wait_for 5 test -s "$WORK/silent"
fault "$A" '{"kind":"silent"}'
check "a new connection works" test "$(stream -d "$BODY" | sse_text)" = "$WHOLE"
BEFORE=$(wc -c <"$WORK/silent")
is "a second new connection too" "$(stream -d "$BODY" | sse_text)" "$WHOLE"
is "the open one gave nothing meanwhile" "$(wc -c <"$WORK/silent")" "$BEFORE"
kill $CALLER

fault "$A" '{"kind":"crash-on-mark","mark":"poison"}'
stream -d "$(body true 'poison')" >/dev/null 2>&1 || :
reap engine && STATUS=0 || STATUS=$?
is "a marked request crashes it" "$STATUS" 70

start engine fake-engine --decode 400 --no-fencing
A=$(address engine)
order '{"order_id":"a","fence":5,"verb":"set-role","name":"prefill"}' >/dev/null
is "without fencing an older fence is taken" "$(order '{"order_id":"b",
	"fence":4,"verb":"set-role","name":"decode"}')" 200

begin "$WORK/last" -d "$BODY"
CALLER=$!
check "a stream has begun" wait_for 5 test -s "$WORK/last"
check "asked to stop, it ends well" stop engine
wait $CALLER
is "and its stream is whole" "$(sse_text <"$WORK/last")" "$WHOLE"
finish
