#!/bin/sh
# The stand-in service counts its runs truly, whatever becomes of its answers.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"

start service fake-service --record "$WORK/runs"
A=$(address service)

lodge() {
	curl -s --max-time 5 -H "X-Request-Id: $1" -H "Idempotency-Key: $2" \
		-d "$2" "$A/lodge?x=1" || :
}
count() {
	curl -s "$A/count" | json "$1"
}

is "a run is answered" "$(lodge r1 k1 | json "d['run']")" 1
is "a second one of the key is counted" "$(lodge r2 k1 | json "d['run']")" 2
is "by request they are apart" "$(count "d['by_request']")" \
	'{"r1": 1, "r2": 1}'

fault "$A" '{"kind":"close-after-run"}'
is "the answer is lost" "$(lodge r3 k3)" ""
is "but it ran" "$(count "d['by_key']['k3']")" 1
fault "$A" '{"kind":"close-after-read"}'
is "closed after reading: no answer" "$(lodge r4 k4)" ""
is "and it didn't run" "$(count "d['by_key'].get('k4', 0)")" 0
fault "$A" '{"kind":"error","status":500,"path":"/lodge"}'
is "an error as asked for" "$(lodge r5 k5)" '{"error": "asked for"}'
is "didn't run" "$(count "d['by_key'].get('k5', 0)")" 0

fault "$A" '{"kind":"crash-after-run"}'
lodge r6 k6 >/dev/null
reap service && STATUS=0 || STATUS=$?
is "it crashes after a run" "$STATUS" 70
is "the run is on record" "$(grep -c '^r6 k6 ' "$WORK/runs")" 1
start service fake-service --record "$WORK/runs" \
	--fault '{"kind":"crash-before-run"}'
A=$(address service)
lodge r7 k7 >/dev/null
reap service && STATUS=0 || STATUS=$?
is "it crashes before a run" "$STATUS" 70
is "nothing is on record" "$(grep -c '^r7 ' "$WORK/runs" || :)" 0
finish
