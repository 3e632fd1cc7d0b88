#!/bin/sh
# Answers without end take a process's memory, and its other callers with it.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

lib_measured
ROLES_MEMORY_MB=64
ways() {
	python3 "$SOURCE_ROOT/tests/e2e/endless_ways.py" "$@"
}
PLATFORM=$ROLES_NET.99:$ROLES_OPERATORS
ways platform "$PLATFORM" "$WORK/record" >"$WORK/platform.log" 2>&1 &
lib_note platform $!
controls=
operators=
for n in 5 4 3 2 1
do
	start_control $n "platform: $PLATFORM"
	controls="$controls --control $(roles_operators $n)"
	operators="$operators $(roles_operators $n)"
done
start_entry 1
bad_route() {
	document 1 k1 | sed 's,/stream/r/,/bad/,'
}
accepted() {
	test "$(bad_route | curl -s -o /dev/null -w '%{http_code}' -L \
		--max-time 5 -X PUT --data-binary @- \
		"http://$(roles_operators 1)/filberthall/config")" = 200
}
check "a document is accepted" wait_for 20 accepted
start desk fake-native --id desk --service desk $controls
check "a sound server is known" wait_for 20 roles_known desk
check "the entry VM gets ready" wait_for 20 is_ready 1
# rest NAME: kB that AddressSanitizer adds to a process at rest, nearly.
rest() {
	lib_sanitized || { echo 0; return; }
	awk '/^VmRSS/ {print $2}' "/proc/$(cat "$WORK/$1.pid")/status"
}
for name in entry-1 control-1 control-2 control-3 control-4 control-5
do
	rest $name >"$WORK/$name.rest"
done

# peak NAME: kB that were resident at most.
peak() {
	awk '/^VmHWM/ {print $2}' "/proc/$(cat "$WORK/$1.pid")/status"
}
# keeps NAME: whether it kept to the memory that it has.
keeps() {
	test "$(peak "$1")" -lt $((65536 + $(cat "$WORK/$1.rest")))
}
# got WAY N: what callers got, and whether the others were served meanwhile.
got() {
	wait_for 20 roles_known "$1"
	ways ask "$(address entry-1 callers)" "$1" "$2" >"$WORK/got"
	cat "$WORK/got"
	grep -q '^plain 200:[0-9]*$' "$WORK/got" &&
		! grep -Eq '^bad.*(200|nothing):' "$WORK/got"
}
for way in $(ways ways) slow
do
	ways server $way "$WORK/$way.record" $operators \
		>"$WORK/$way.log" 2>&1 &
	lib_note $way $!
	check "$way: a final answer for each, others are served" got $way 100
	check "$way: its connections are closed within the requests' time" \
		awk '$3 > 4000 {exit 1} END {exit !NR}' "$WORK/$way.record"
	signal $way KILL
	reap $way 2>/dev/null || :
done
check "the entry VM keeps to its memory" keeps entry-1

calls_closed() {
	test "$(cut -d " " -f 1 "$WORK/record" | sort -u | wc -l)" = 32
}
check "control VMs close calls that don't end" wait_for 60 calls_closed
check "within the time of a call" \
	awk '$3 > 5000 {print; exit 1}' "$WORK/record"
for n in 1 2 3 4 5
do
	check "control VM $n keeps to its memory" keeps control-$n
done
finish
