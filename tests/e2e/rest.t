#!/bin/sh
# Servers ask a VM to leave them alone, or say in their answers that they leave,
# and get more requests from it.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

roles_site
for s in a b c
do
	start $s fake-native --id $s --service desk --asks 30 $controls
	check "server $s is known" wait_for 20 roles_known $s
done
check "the entry VM gets ready" wait_for 20 is_ready 1

# ran NAME, turned_away NAME: requests that it ran, and that it turned away.
ran() {
	curl -s "http://$(address "$1")/count" | cut -d' ' -f1
}
turned_away() {
	curl -s "http://$(address "$1")/count" | cut -d' ' -f2
}

# served N: of N requests one after the other those that are served.
served() {
	for i in $(seq "$1")
	do
		ask_status 1 /read/$i k1
	done | grep -c 200 || :
}
is "all are served" "$(served 30)" 30
signal a USR1
is "all are served though one turns all away" "$(served 40)" 40
is "which gets one request" "$(turned_away a)" 1
signal b USR1
is "the same with another one" "$(served 40)" 40
is "which gets one as well" "$(turned_away b)" 1
signal c USR1
is "nobody is served once all ask" "$(served 1)" 0
answer_head() {
	curl -s -D - -o "$WORK/body" --max-time 10 -H 'Host: a.example' \
		-H 'Authorization: Bearer k1' -H 'Filberthall-Attempt-Id: x1' \
		-H 'Filberthall-Deadline-Ms: 4000' -w 'took %{time_total}\n' \
		"http://$(address entry-1 callers)/read/1" | tr -d '\r'
}
answer_head >"$WORK/refusal"
check "a caller hears that it hasn't run" grep -q '^HTTP/1.1 503' "$WORK/refusal"
check "at once" awk '/^took/ {exit !($2 < 2)}' "$WORK/refusal"
check "and when the first server takes requests" awk '
	/^Retry-After:/ {exit !($2 > 5 && $2 <= 30)}' "$WORK/refusal"
is "and no server is asked" "$(turned_away a)" 1
for s in a b c
do
	signal $s KILL
	reap $s >/dev/null || :
	start $s fake-native --id $s --service desk --asks 30 $controls
done
back() {
	test "$(served 1)" = 1
}
check "new starts asked for nothing" wait_for 20 back
is "all are served again" "$(served 20)" 20

signal a USR2
says() {
	answer_head >>"$WORK/answers"
	grep -q "event=leaving server=a " "$WORK/entry-1.log"
}
check "a server says in an answer that it leaves" wait_for 20 says
before=$(ran a)
is "all are served by the others" "$(served 30)" 30
is "and it gets none" "$(ran a)" "$before"
answered=$(grep -c '^HTTP/1.1 200' "$WORK/answers")
check "callers had answers of it" test "$answered" -gt 0
is "which don't tell them" "$(grep -ci '^Server-Leaving' "$WORK/answers")" 0
finish
