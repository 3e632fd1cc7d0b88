#!/bin/sh
# A truck driver lodges a movement. The VM that took it dies at the worst
# moment, and the driver's app sends it again through another VM. Whatever
# that VM answers, the movement must never be on the register twice.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
wait_for 20 voters d1 1
start_daemon d2 z2
start_daemon d3 z3
check "three voters" wait_for 60 voters d1 3
start service fake-service --work-ms 5000 $(backends d1 d2 d3)
wait_for 20 grant d1 driver derwent-yards --class lodgement \
	--default-class lodgement
for daemon in d1 d2 d3
do
	check "$daemon routes" wait_for 30 routes $daemon driver movements
done
runs() {
	curl -s "$(address service)/count" | json "d['by_key'].get('$1', 0)"
}
running() {
	operate "$1" --json backend list | json "d['backend_servers'][0]" |
		grep -q '"own_running": 1'
}

# Sent again through another VM while the first one waits for the answer.
lodge d1 "$WORK/driver.key" k1 '{"calf":1}' >"$WORK/first" &
FIRST=$!
check "it runs" wait_for 10 running d1
lodge d2 "$WORK/driver.key" k1 '{"calf":1}' -o "$WORK/second" \
	-w '%{http_code}' >"$WORK/second.status"
wait $FIRST
is "the first caller is answered" "$(json "d['state']" <"$WORK/first")" lodged
case "$(cat "$WORK/second.status")" in
200)
	is "the resend gets that answer" "$(cat "$WORK/second")" \
		"$(cat "$WORK/first")"
	;;
*)
	is "the resend is told that it runs" "$(json "d['error']['code']" \
		<"$WORK/second")" 604
	;;
esac
is "it ran once" "$(runs k1)" 1

# The VM dies while the lodgement runs.
lodge d1 "$WORK/driver.key" k2 '{"calf":2}' >"$WORK/dead" &
DEAD=$!
check "the second lodgement runs" wait_for 10 running d1
signal d1 KILL
reap d1 || :
wait $DEAD || :
echo "# the first caller got: $(cat "$WORK/dead")"
honest() {
	lodge d2 "$WORK/driver.key" k2 '{"calf":2}' >"$WORK/resend" &&
		json "d['error']['code'] == 605 and \
			d['error']['run'] == 'unknown'" \
			<"$WORK/resend" | grep -q true
}
check "the resend's answer ends as an honest unknown" wait_for 60 honest
echo "# the resend got: $(cat "$WORK/resend")"
check "it never ran twice" test "$(runs k2)" -le 1

# What was answered before the VM died is still known.
is "the first lodgement's resend gets its answer" "$(lodge d3 \
	"$WORK/driver.key" k1 '{"calf":1}')" "$(cat "$WORK/first")"
is "it still ran once" "$(runs k1)" 1
is "under another body the key is refused" "$(lodge d3 \
	"$WORK/driver.key" k1 '{"calf":3}' | json "d['error']['code']")" 106
finish
