#!/bin/sh
# An availability zone is about to lose power. Requests that are still sent to
# its backend servers would be cut off: an order must reach all daemons, hold
# through a restart, and be taken back.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
wait_for 20 voters d1 1
start_daemon d2 z2
for i in 1 2
do
	start engine-$i fake-engine --zone z$i --decode 1600 --slots 32 \
		$(backends d1 d2)
done
wait_for 20 grant d1 caller derwent-yards --class check --default-class check
zone() {
	test "$(operate "$1" --json zone list |
		json "[z['$3'] for z in d['zones'] if z['zone'] == '$2'][0]")" = "$4"
}
for daemon in d1 d2
do
	check "$daemon routes" wait_for 30 routes $daemon caller calf-7b
	check "$daemon uses z1" wait_for 20 zone $daemon z1 usable 1
	check "$daemon uses z2" wait_for 20 zone $daemon z2 usable 1
done

check "z1 is evacuated, in force everywhere" operate d2 zone evacuate z1 --wait
for daemon in d1 d2
do
	check "$daemon knows" zone $daemon z1 evacuated true
	check "$daemon uses no server there" zone $daemon z1 usable 0
	check "$daemon serves" routes $daemon caller calf-7b
done
check "it is evacuated twice" operate d1 zone evacuate z1 --wait
check "an unknown zone is evacuated" operate d1 zone evacuate z9 --wait
check "z2 is used" zone d1 z2 usable 1
signal d2 TERM
reap d2 || :
start_daemon d2 z2
check "a daemon that was restarted knows" wait_for 30 zone d2 z1 evacuated true
check "z1 is taken back" operate d1 zone return z1 --wait
for daemon in d1 d2
do
	check "$daemon uses z1 again" wait_for 20 zone $daemon z1 usable 1
done
finish
