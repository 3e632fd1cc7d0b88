#!/bin/sh
# One request crashes each engine that runs it. It is tried again on the next
# one, and its caller sends it again, through another VM too: without a
# quarantine it takes the whole pool down.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
wait_for 20 voters d1 1
start_daemon d2 z2
ENGINES='1 2 3 4'
for i in $ENGINES
do
	start engine-$i fake-engine $(backends d1 d2) \
		--fault '{"kind":"crash-on-mark","mark":"poison"}'
done
wait_for 20 grant d1 caller derwent-yards --class check --default-class check
four() {
	test "$(operate $1 --json backend list |
		json "sum(b['usable'] for b in d['backend_servers'])")" = 4
}
for daemon in d1 d2
do
	check "$daemon routes" wait_for 30 routes $daemon caller calf-7b
	check "$daemon knows four engines" wait_for 20 four $daemon
done

alive() {
	n=0
	for engine in $ENGINES
	do
		lib_is_dead "$(cat "$WORK/engine-$engine.pid")" || n=$((n + 1))
	done
	echo $n
}
ask() {
	completion "$1" "$WORK/caller.key" 'a poison request' \
		-o "$WORK/answer" -w '%{http_code}' || :
}
ask d1 >"$WORK/status"
echo "# first answer: $(cat "$WORK/status") $(head -c 300 "$WORK/answer")"
is "two engines crashed, no third" "$(alive)" 2
is "its caller's resend is refused" "$(ask d1)" 422
check "with the code for it" grep -q '"code": *406' "$WORK/answer"
refused_by_d2() {
	test "$(ask d2)" = 422
}
check "the other VM refuses it too" wait_for 5 refused_by_d2
is "and no further engine crashed" "$(alive)" 2
TEXT='an innocent request [tokens=10]'
is "others are served" "$(completion d1 "$WORK/caller.key" "$TEXT" |
	sse_text)" "$(expected "$TEXT")"
finish
