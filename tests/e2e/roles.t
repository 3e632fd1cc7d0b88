#!/bin/sh
# The two roles as real processes: five control VMs with disks, two entry VMs
# without, backend servers that announce themselves. What callers, operators
# and backend servers would see when something is wrong: a key that reaches a
# server, a request that runs at the wrong place, a document that reverts, a
# stream that is torn, work cut off by a planned stop.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

start platform fake-native --record "$WORK/record"
for n in 5 4 2 3 1
do
	start_control $n "platform: $(address platform)"
done
controls=
for n in 1 2 3 4 5
do
	controls="$controls --control $(roles_operators $n)"
done
start desk fake-native --id d1 --service desk $controls
start_entry 1
start_entry 2

accepted() {
	test "$(put_document "$1" "$2" "$3")" = 200
}
check "a document is accepted through any control VM" \
	wait_for 20 accepted 4 1 k1
check "it reads back from another one" test "$(read_document 5)" = 1
check "entry VM 1 gets ready" wait_for 20 is_ready 1
check "entry VM 2 gets ready" wait_for 20 is_ready 2

ask 1 /once/7 k1 -i -X POST -d body | tr -d '\r' >"$WORK/answer"
check "a request is served" grep -q '^d1 /once/7$' "$WORK/answer"
check "it runs for the key's organisation" \
	grep -q '^X-Organisation: yards$' "$WORK/answer"
check "the server doesn't see the key" \
	grep -q '^X-Key-Seen: no$' "$WORK/answer"
check "an unknown key is refused" test "$(ask_status 1 /once/7 k2)" = 401
check "no route is no route" test "$(ask_status 2 /other/ k1)" = 404
bad() {
	document 2 k1 | sed "$1" | curl -s -o /dev/null -w '%{http_code}' -L \
		-X PUT --data-binary @- \
		"http://$(roles_operators 2)/filberthall/config"
}
check "a document with an unknown service is refused" \
	test "$(bad 's/"service": "desk"/"service": "nobody"/')" = 400
check "a document cut short is refused" \
	test "$(bad '$d')" = 400
check "the one before holds" test "$(read_document 3)" = 1

# A server breaks each stream off in the middle of an event; another goes on.
start torn fake-native --id t1 --service scribe --cut-at 3 $controls
check "a server that tears streams is known" \
	wait_for 10 grep -q 'event=ready server=t1 ' "$WORK/entry-1.log"
start whole fake-native --id w1 --service scribe $controls
check "and one that doesn't" \
	wait_for 10 grep -q 'event=ready server=w1 ' "$WORK/entry-1.log"
pieces() {
	i=1
	while test $i -le 5
	do
		printf 'id: %d\ndata: piece %d\n\n' $i $i
		i=$((i + 1))
	done
	printf '\n200\n'
}
pieces >"$WORK/expected"
torn=0
for i in 1 2 3 4 5 6
do
	ask 1 /stream/r/$i k1 -X POST -d "$i" >"$WORK/stream"
	cmp -s "$WORK/stream" "$WORK/expected" || torn=$((torn + 1))
done
check "a resumed stream has each piece once" test $torn = 0
signal torn TERM
signal torn TERM

# An answer without a signature is nobody's success.
start unsigned fake-native --id u1 --service scribe --unsigned $controls
check "a server that signs nothing is known" \
	wait_for 10 grep -q 'event=ready server=u1 ' "$WORK/entry-2.log"
signal whole TERM
check "the other one leaves" \
	wait_for 10 grep -q 'event=leaving server=w1 ' "$WORK/entry-2.log"
check "an unsigned answer isn't passed on as success" \
	test "$(ask_status 2 /stream/r/9 k1 -X POST -d x)" = 502

# A server in need names a limit, to whichever VM it answers.
start limited fake-native --id l1 --service desk --limit 0.5 $controls
check "a server in need is known" \
	wait_for 10 grep -q 'event=ready server=l1 ' "$WORK/entry-1.log"
limited() {
	grep -q 'event=limit server=l1 .*per_s=0.500' "$WORK/entry-$1.log"
}
asked_and_limited() {
	ask_status 1 /once/5 k1 -X POST -d x >"$WORK/status"
	limited 1
}
check "an entry VM hears its limit" wait_for 20 asked_and_limited
check "the other one is told" wait_for 10 limited 2
signal limited TERM
check "the server in need leaves" \
	wait_for 10 grep -q 'event=leaving server=l1 ' "$WORK/entry-2.log"

# The key is withdrawn: dead at both entry VMs, the new one works.
check "a new document" accepted 1 7 k9
dead() {
	test "$(ask_status "$1" /once/8 k1 -X POST -d x)" = 401
}
check "the old key is dead at entry VM 1" wait_for 5 dead 1
check "the old key is dead at entry VM 2" wait_for 5 dead 2
check "the new one works" test "$(ask_status 1 /once/9 k9 -X POST -d x)" = 200
check "an older document changes nothing" accepted 2 3 k1
check "nor reads back" test "$(read_document 1)" = 7

# A control VM in charge is killed; another one leads, requests go on.
leader=$(grep -l 'event=leader' "$WORK"/control-*.log | tail -n 1 |
	sed 's/.*control-\(.\).log/\1/')
signal control-$leader KILL
other=$((leader % 5 + 1))
check "requests go on" test "$(ask_status 2 /once/9 k9 -X POST -d x)" = 200
leads() {
	test "$(read_document $other)" = 7
}
check "the document is read from another leader" wait_for 15 leads
check "changes go on" wait_for 10 accepted $other 8 k9

# A planned stop of an entry VM that is streaming.
start slow fake-native --id s1 --service scribe --gap-ms 300 $controls
check "a slow server is known" \
	wait_for 10 grep -q 'event=ready server=s1 ' "$WORK/entry-2.log"
signal unsigned TERM
check "the unsigned one leaves" \
	wait_for 10 grep -q 'event=leaving server=u1 ' "$WORK/entry-2.log"
ask 2 /stream/r/1 k9 -X POST -d x >"$WORK/stream" &
asked=$!
check "a stream has begun" wait_for 5 grep -q piece "$WORK/stream"
signal entry-2 TERM
wait $asked
check "its answer is whole" cmp -s "$WORK/stream" "$WORK/expected"
ended() {
	! kill -0 "$(cat "$WORK/entry-2.pid")" 2>/dev/null
}
check "the process ends" wait_for 10 ended

# Usage: each window once, with one figure.
reported() {
	grep -q '^/usage control-' "$WORK/record"
}
check "usage is reported" wait_for 15 reported
check "no window has two figures" test -z "$(sed -n \
	's/^\/usage [^ ]* [^ ]* //p' "$WORK/record" | sort -u |
	sed 's/.*"window_id":\([0-9]*\).*/\1/' | uniq -d)"
finish
