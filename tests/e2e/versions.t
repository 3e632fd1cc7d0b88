#!/bin/sh
# Servers of two software versions serve side by side. A stream that goes on at
# the other version holds what doesn't fit together.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

for n in 5 4 2 3 1
do
	start_control $n
done
controls=
for n in 1 2 3 4 5
do
	controls="$controls --control $(roles_operators $n)"
done
for n in 1 2 3
do
	start_entry $n
done
accepted() {
	test "$(put_document "$1" "$2" "$3")" = 200
}
check "a document is accepted" wait_for 20 accepted 1 1 k1
for n in 1 2 3
do
	start old-$n fake-native --id old-$n --service scribe --events 24 \
		--software v1 $controls
	start new-$n fake-native --id new-$n --service scribe --events 24 \
		--software v2 $controls
done
start desk fake-native --id desk --service desk $controls
known() {
	test "$(grep -c 'event=ready .*service=scribe' \
		"$WORK/entry-$1.log")" -ge 6
}
for n in 1 2 3
do
	check "entry VM $n knows all servers" wait_for 20 known $n
	check "entry VM $n gets ready" wait_for 20 is_ready $n
done

stream() {
	roles_stream "$@" || :
}

# begin N ID PATH: to be left after three events; sets LAST.
begin() {
	stream "$1" "$2" "$3" | head -n 9 >"$WORK/begun"
	LAST=$(sed -n 's/^id: //p' "$WORK/begun" | tail -n 1)
}

# go_on N ID PATH FIRST: resumes it; FIRST brought its first event.
go_on() {
	stream "$1" "$2" "$3" -H "Last-Event-Id: $LAST" -H "Resumes: $4" \
		>"$WORK/gone-on"
}

# tally: whether it was joined from two versions, and whole.
tally() {
	cat "$WORK/begun" "$WORK/gone-on" >"$WORK/stream"
	test "$(sed -n 's/^data: .* of //p' "$WORK/stream" | sort -u |
		wc -l)" -le 1 || joined=$((joined + 1))
	sed -n 's/^id: //p' "$WORK/stream" >"$WORK/ids"
	seq 24 | cmp -s - "$WORK/ids" && whole=$((whole + 1)) || :
}

joined=0
whole=0
for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20
do
	begin $((i % 3 + 1)) "a$i" $i
	go_on $(((i + 1) % 3 + 1)) "b$i" $i "a$i"
	tally
done
is "none that is resumed at another VM is joined" $joined 0
is "all of them go on" $whole 20

# Servers of both versions tear streams in the middle of an event.
start torn-1 fake-native --id torn-1 --service scribe --events 24 \
	--software v1 --cut-at 9 $controls
start torn-2 fake-native --id torn-2 --service scribe --events 24 \
	--software v2 --cut-at 9 $controls
torn_known() {
	test "$(grep -c 'event=ready server=torn-' "$WORK/entry-$1.log")" -ge 2
}
check "servers that tear streams are known" wait_for 20 torn_known 2
joined=0
whole=0
: >"$WORK/gone-on"
for i in 1 2 3 4 5 6 7 8 9 10 11 12
do
	stream 2 "t$i" "t$i" >"$WORK/begun"
	tally
done
is "none that goes on within its answer is joined" $joined 0
is "all of them are whole" $whole 12
signal torn-1 KILL
signal torn-2 KILL

# The VM that began a stream is killed; its caller comes back to another one.
joined=0
whole=0
begin 1 k1 k1
signal entry-1 KILL
go_on 2 k2 k1 k1
tally
is "a stream of a VM that was killed isn't joined" $joined 0
is "it goes on" $whole 1

refused() {
	stream 3 "$1" u -H "Last-Event-Id: 3" -H "$2" -o /dev/null \
		-w '%{http_code}'
}
is "a stream that nobody began is refused as not run" \
	"$(refused u1 'Resumes: nobody')" 503
is "so is one without a name" "$(refused u2 'X-None: 1')" 503
is "a name that can't be read is answered so" \
	"$(refused u3 'Resumes: a b')" 400
finish
