#!/bin/sh
# The VM in charge is stopped in the middle of its work (a hypervisor pauses
# it) and continued after another one has taken charge. The platform doesn't
# check fencing numbers. No usage window may be reported with two sets of
# figures, the holders' reports may not interleave, and the sums over all
# windows must be what callers got.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

{
	site_settings | sed 's/^site:/site:\n  usage: {window_s: 2, grace_s: 1}/'
} >"$WORK/settings.yaml"
start platform fake-platform --no-fencing
site_init
PLATFORM="platform: $(address platform)"
start_daemon d1 z1 "$PLATFORM"
wait_for 20 voters d1 1
start_daemon d2 z2 "$PLATFORM"
start_daemon d3 z3 "$PLATFORM"
check "three voters" wait_for 60 voters d1 3
start engine fake-engine --model calf-7b --decode 40000 $(backends d1 d2 d3)
wait_for 20 grant d1 agent derwent-yards --class check --default-class check
for daemon in d1 d2 d3
do
	check "$daemon routes" wait_for 30 routes $daemon agent calf-7b
done

: >"$WORK/served"
# Five completions through one daemon; what came is noted.
ask() {
	for n in 1 2 3 4 5
	do
		completion "$1" "$WORK/agent.key" "calf $n" |
			sed -n 's/.*"completion_tokens": *\([0-9]*\).*/\1/p' \
				>>"$WORK/served"
	done
}
served() {
	awk '{ sum += $1 } END { print sum + 0 }' "$WORK/served"
}
# Each window counts once, however often it was reported.
billed() {
	curl -s "$(address platform)/log" >"$WORK/log"
	json "sum(o['output_tokens'] for w in {c['arguments']['window']: \
		c['arguments'] for c in d if c['call'] == 'report'}.values() \
		for o in w['organisations'])" <"$WORK/log"
}
all_billed() {
	test "$(billed)" = "$(served)"
}
check "one is in charge" wait_for 20 in_charge d1 d2 d3
FIRST=$(in_charge d1 d2 d3)
OTHERS=$(echo d1 d2 d3 | sed "s/$FIRST//")
ask d1
ask d2
ask d3
check "all that callers got is billed" wait_for 60 all_billed
ask d1
ask d2
ask d3
signal "$FIRST" STOP
check "another takes charge" wait_for 30 in_charge $OTHERS
for daemon in $OTHERS
do
	ask $daemon
done
signal "$FIRST" CONT
check "all is billed, also what the stopped VM had counted" \
	wait_for 60 all_billed
ask "$FIRST"
check "the VM that came back bills on" wait_for 60 all_billed
billed >/dev/null
is "no window has two sets of figures" "$(json "len(set(json.dumps([ \
	c['arguments']['window'], c['arguments']['organisations']]) for c in d \
	if c['call'] == 'report')) - len(set(c['arguments']['window'] for c in \
	d if c['call'] == 'report'))" <"$WORK/log")" 0
is "no holder reports after its successor began" "$(json "sorted( \
	c['arguments']['fence'] for c in d if c['call'] == 'report') == \
	[c['arguments']['fence'] for c in d if c['call'] == 'report']" \
	<"$WORK/log")" true
finish
