#!/bin/sh
# The stand-in platform: orders once by their id, fences, reports, reclaim.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"

start platform fake-platform --offer-zone z1 --spawn "$BIN"
A=$(address platform)

send() {
	curl -s -o "$WORK/answer" -w '%{http_code}' "$A/$1" -d "$2"
}
order() {
	send orders "{\"order_id\":\"$1\",\"fence\":$2,\"verb\":\"start\",
		\"zone\":\"z1\",\"kind\":\"$3\",\"model\":\"m\"}"
}
report() {
	send reports "{\"report_id\":\"r\",\"fence\":3,\"window\":$1,
		\"organisations\":[{\"name\":\"o\",\"requests\":$2}]}"
}
state() {
	curl -s "$A/orders" |
		json "[o['state'] for o in d if o['order_id'] == '$1'][0]"
}
is_stopped() {
	test "$(state "$1")" = stopped
}

is "an order is taken" "$(order o1 3 cheap)" 202
FIRST=$(json "d['address']" <"$WORK/answer")
check "the backend server runs" wait_for 10 curl -sf "$FIRST/engine/status"
is "the same order again" "$(order o1 3 cheap)" 202
is "starts nothing further" "$(json "d['address']" <"$WORK/answer")" "$FIRST"
is "an older fence is refused" "$(order o2 2 cheap)" 409
is "another order is taken" "$(order o3 3 steady)" 202
SECOND=$(json "d['address']" <"$WORK/answer")
check "it runs too" wait_for 10 curl -sf "$SECOND/engine/status"

send reclaim '{"zone":"z1","in_ms":50}' >/dev/null
check "a reclaim ends the cheap one" wait_for 10 is_stopped o1
is "and not the steady one" "$(state o3)" running
send orders "{\"order_id\":\"o4\",\"fence\":3,\"verb\":\"stop\",
	\"address\":\"$SECOND\"}" >/dev/null
check "a stop order ends it" wait_for 10 is_stopped o3

send offer '{"zone":"z1","kind":"cheap","available":false}' >/dev/null
is "a kind can be unavailable" "$(order o5 3 cheap)" 503

is "a report is taken" "$(report 1 7)" 200
is "again with the same figures" "$(report 1 7)" 200
is "with other figures it is refused" "$(report 1 8)" 409
fault "$A" '{"kind":"double","path":"/reports"}'
report 2 1 >/dev/null
is "every call is on record" "$(curl -s "$A/log" |
	json "[e['status'] for e in d if e['call'] == 'report']")" \
	"[200, 200, 409, 200, 200]"
check "it ends when asked to" stop platform

start platform fake-platform --no-fencing
A=$(address platform)
order o1 3 cheap >/dev/null
is "without fencing an older fence is taken" "$(order o2 2 cheap)" 202
finish
