#!/bin/sh
# An operator replaces a voter by a learner that has caught up, through a VM
# that doesn't lead. The group must have three voters again, the new one among
# them, and changes must go on everywhere.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

site_init
start_daemon d1 z1
wait_for 20 voters d1 1
start_daemon d2 z2
start_daemon d3 z3
check "three voters" wait_for 60 voters d1 3
start_daemon d4 z2
members() {
	test "$(operate d1 --json member list | json "len(d['members'])")" = "$1"
}
member_id() {
	operate d1 --json member list |
		json "[m['id'] for m in d['members'] if m['vm'] == '$1'][0]"
}
role() {
	operate d1 --json member list |
		json "[m['role'] for m in d['members'] if m['vm'] == '$1'][0]"
}
check "a fourth joins as a learner" wait_for 20 members 4
is "it doesn't vote yet" "$(role d4)" learner
OLD=$(member_id d2)
NEW=$(member_id d4)
replace() {
	operate d3 member replace "$OLD" "$NEW"
}
check "the replacement is accepted once it has caught up" wait_for 20 replace
votes() {
	test "$(role d4)" = voter && voters d1 3
}
check "it votes, and three do" wait_for 20 votes
check "a change goes on, in force everywhere" operate d4 settings set \
	team/calves/class/check/deadline_ms 20000 --wait
finish
