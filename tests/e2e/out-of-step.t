#!/bin/sh
# Streams are refused at an entry VM without links to control VMs, or as the
# one that began them has none, though other VMs know them.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

ROLES_BEHIND=50
HELD=$WORK/held
proxies=
for n in 1 2 3
do
	proxies="$proxies $ROLES_NET.$n:$ROLES_LINKS=$ROLES_NET.$((n + 50)):"
	proxies=$proxies$ROLES_LINKS
done
python3 "$SOURCE_ROOT/tests/e2e/held_links.py" "$HELD" $proxies \
	>"$WORK/proxies.log" 2>&1 &
lib_note proxies $!
check "proxies listen" wait_for 10 grep -q listening "$WORK/proxies.log"

controls=
for n in 3 2 1
do
	start_control $n 'cluster: {tolerate: 1}'
	controls="$controls --control $(roles_operators $n)"
done
for n in 1 2 3
do
	start_entry $n
done
check "a document is accepted" wait_for 20 roles_accepts 1 1 k1
for n in 1 2 3 4 5 6
do
	start old-$n fake-native --id old-$n --service scribe --events 24 \
		--gap-ms 20 --software v1 $controls
done
known() {
	test "$(grep -c 'event=ready .*service=scribe' \
		"$WORK/entry-$1.log")" -ge "$2"
}
for n in 1 2 3
do
	check "entry VM $n knows all servers" wait_for 20 known $n 6
	check "entry VM $n gets ready" wait_for 20 is_ready $n
done
one=$(address entry-1 callers)
two=$(address entry-2 callers)
three=$(address entry-3 callers)

# take_up CUT SECONDS FROM [OPTIONS]: callers come back to entry VM 3.
take_up() {
	cut=$1
	seconds=$2
	from=$3
	shift 3
	: >"$HELD"
	check "streams are taken up" timeout 60 python3 \
		"$SOURCE_ROOT/tests/e2e/taking_up.py" --held "$HELD" \
		--cut "$cut" --seconds "$seconds" --begin "$from" \
		--to "$three" "$@"
	sed 's/^/# /' "$WORK/check.out"
	cp "$WORK/check.out" "$WORK/tally"
}
tally() {
	sed -n "s/^$1 //p" "$WORK/tally"
}
healed() {
	is_ready 1 && is_ready 2 && is_ready 3
}
expect() {
	is "$1: all are whole" "$(tally whole)" 40
	is "$1: all before the links are back" "$(tally in-time)" 40
	is "$1: none is joined from two versions" "$(tally joined)" 0
	is "$1: new ones begin" "$(tally new)" 20
	check "$1: the VMs are in step again" wait_for 20 healed
	sleep 1
}

take_up entry-3 3 "$one,$two"
is "one version: none is refused" "$(tally refused)" 0
expect "one version"

for n in 1 2 3
do
	start new-$n fake-native --id new-$n --service scribe --events 24 \
		--gap-ms 20 --software v2 $controls
done
for n in 1 2 3
do
	check "entry VM $n knows the new ones" wait_for 20 known $n 9
done

take_up entry-3 3 "$one,$two"
is "taken up at the VM that is cut off: none is refused" "$(tally refused)" 0
expect "taken up at the VM that is cut off"

take_up entry-1 4 "$one" --begin-after 1.2
expect "begun at the VM that is cut off"

take_up entry-1,entry-3 4 "$one" --begin-after 1.2
expect "both are cut off"

# Three servers start again under their ids and addresses with the other
# version, as the links of entry VM 3, which began the streams, are held.
start_again() {
	wait_for 20 test -s "$HELD"
	for n in 1 2 3
	do
		signal old-$n KILL
	done
	sleep 2
	for n in 1 2 3
	do
		"$BIN/fake-native" --listen "$(address old-$n)" --id old-$n \
			--service scribe --events 24 --gap-ms 20 \
			--software v2 $controls >"$WORK/again-$n.log" 2>&1 &
		echo $! >"$WORK/again-$n.pid"
	done
}
start_again &
again=$!
STARTED="$STARTED again-1 again-2 again-3"
take_up entry-3 4 "$three" --back-after 2.6
wait $again
is "servers started again unheard: none is joined" "$(tally joined)" 0
check "most are taken up" test "$(tally whole)" -ge 20

# All control VMs stand still.
for n in 1 2 3
do
	signal control-$n STOP
done
{
	sleep 4
	for n in 1 2 3
	do
		signal control-$n CONT
	done
} &
again=$!
sleep 1.2
take_up none 3 "$one,$two"
wait $again
is "no control VM answers: none is joined" "$(tally joined)" 0
is "no control VM answers: all are whole" "$(tally whole)" 40
finish
