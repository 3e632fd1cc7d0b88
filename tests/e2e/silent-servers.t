#!/bin/sh
# Sound servers stand still while callers take their streams up and new ones
# begin. Streams that are taken up are refused, or are given up in vain.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

roles_site
start_entry 2
servers="s1 s2 s3"
for name in $servers
do
	start $name fake-native --id $name --service scribe --events 24 \
		--gap-ms 40 $controls
	check "server $name is known" wait_for 20 roles_known $name
done
for n in 1 2
do
	check "entry VM $n gets ready" wait_for 20 is_ready $n
done

# begin ID: at entry VM 1, left after three events.
begin() {
	roles_stream 1 "$1" 1 2>/dev/null | head -n 9 >"$WORK/$1.begun" || :
}

# take_up ID: at entry VM 2, in the background.
take_up() {
	roles_stream 2 "$1-again" 1 -H "Resumes: $1" -H "Last-Event-Id: $(
		sed -n 's/^id: //p' "$WORK/$1.begun" | tail -n 1)" \
		>"$WORK/$1.rest" &
	lib_note "$1" $!
}

# begin_new ID: in the background.
begin_new() {
	: >"$WORK/$1.begun"
	roles_stream 2 "$1" 1 >"$WORK/$1.rest" &
	lib_note "$1" $!
}

# count_whole IDS...
count_whole() {
	whole=0
	for id
	do
		reap "$id" || :
		cat "$WORK/$id.begun" "$WORK/$id.rest" |
			sed -n 's/^id: //p' >"$WORK/ids"
		seq 24 | cmp -s - "$WORK/ids" && whole=$((whole + 1)) || :
	done
	echo $whole
}

each() {
	for name in $servers
	do
		signal $name "$1"
	done
}

old="a1 a2 a3 a4 a5 a6"
new="b1 b2 b3 b4 b5 b6"
for id in $old
do
	begin $id
done
each STOP
for id in $old
do
	take_up $id
done
for id in $new
do
	begin_new $id
done
sleep 2.5
each CONT
is "all that are taken up go on" "$(count_whole $old)" 6
is "all new ones are whole" "$(count_whole $new)" 6
is "none was given up" "$(grep -c 'code=CALLER_LEFT status=0 sent=1' \
	"$WORK/entry-2.log")" 0

# An entry VM that stood still has the answers in its sockets.
new="c1 c2 c3 c4 c5 c6"
for id in $new
do
	begin_new $id
done
signal entry-2 STOP
sleep 2.5
signal entry-2 CONT
is "a VM that stood still passes the answers on" "$(count_whole $new)" 6
check "it says that it did" grep -q event=stood-still "$WORK/entry-2.log"
is "and gives none up" "$(grep -c 'code=CALLER_LEFT status=0 sent=1' \
	"$WORK/entry-2.log")" 0
finish
