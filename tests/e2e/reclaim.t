#!/bin/sh
# The platform takes the cheap backend servers of a zone away on four seconds'
# notice, told to one VM only, while streams run on them through two VMs.
# Callers must get their whole answers, and nothing new may go there.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

cat >"$WORK/settings.yaml" <<'EOF'
team:
  calves:
    class:
      summary: {tier: 2, deadline_ms: 60000, min_share: 0.1, reclaimable: true}
    organisation:
      derwent-yards: {max_concurrent: 1000}
EOF
site_init
start_daemon d1 z1
wait_for 20 voters d1 1
start_daemon d2 z2
check "two daemons" wait_for 30 test -s "$WORK/d2.yaml"
start steady fake-engine --model calf-7b --zone z1 --decode 2000 \
	$(backends d1 d2)
wait_for 20 grant d1 agent derwent-yards --class summary \
	--default-class summary
start cheap1 fake-engine --model calf-7b --zone z2 --cheap --decode 500 \
	$(backends d1 d2)
start cheap2 fake-engine --model calf-7b --zone z2 --cheap --decode 500 \
	$(backends d1 d2)
all_seen() {
	test "$(operate "$1" --json backend list | json \
		"sum(1 for b in d['backend_servers'] if b['usable'])")" = 3
}
check "d1 sees three servers" wait_for 20 all_seen d1
check "d2 sees three servers" wait_for 20 all_seen d2

PIDS=
for n in 1 2 3 4 5 6 7 8 9 10 11 12
do
	test $((n % 2)) = 0 && daemon=d1 || daemon=d2
	completion $daemon "$WORK/agent.key" "calf $n" >"$WORK/stream.$n" &
	PIDS="$PIDS $!"
done
on_cheap() {
	operate "$1" --json backend list | json "sum(b['own_running'] for b in \
		d['backend_servers'] if b['kind'] == 'cheap')"
}
some_on_cheap() {
	test "$(on_cheap d1)" -gt 0 && test "$(on_cheap d2)" -gt 0
}
check "streams run on cheap servers" wait_for 5 some_on_cheap
curl -s "$(address d1 backends)/platform/notice" \
	-d '{"zone": "z2", "kind": "reclaim", "in_ms": 4000}' >/dev/null
closed() {
	test "$(operate "$1" --json backend list | json "sum(1 for b in \
		d['backend_servers'] if b['kind'] == 'cheap' and \
		b['usable'])")" = 0
}
check "d1 sends nothing new there" wait_for 3 closed d1
check "nor does d2, which was told by d1" wait_for 3 closed d2
empty() {
	test "$(on_cheap "$1")" = 0
}
check "d1's work has left the zone in time" wait_for 4 empty d1
check "d2's as well" wait_for 4 empty d2
signal cheap1 KILL
signal cheap2 KILL
for pid in $PIDS
do
	wait $pid || :
done
WRONG=
for n in 1 2 3 4 5 6 7 8 9 10 11 12
do
	test "$(sse_text <"$WORK/stream.$n")" = "$(expected "calf $n")" ||
		WRONG="$WRONG $n"
done
is "every caller got its whole answer, once" "$WRONG" ""
finish
