#!/bin/sh
# The system orders its own backend servers. They must come up in several
# zones; a planned stop under a stream must cut nothing; the VM in charge is
# killed in the middle and its successor must not order a second set.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

cat >"$WORK/settings.yaml" <<'EOF'
site:
  cluster: {voters: 3}
  fleet:
    policy: {start_s: 2, shrink_after_s: 600, spare: 0}
    model: {calf-7b: {min: 4, max: 6, cheap_share: 0, team: calves}}
team:
  calves:
    class:
      check: {tier: 0, deadline_ms: 30000, min_share: 0.1}
    organisation:
      derwent-yards: {max_concurrent: 1000}
EOF
start platform fake-platform --no-fencing --spawn "$BIN" \
	--offer-zone z1 --offer-zone z2 --offer-zone z3
site_init
PLATFORM="platform: $(address platform)"
start_daemon d1 z1 "$PLATFORM"
wait_for 20 voters d1 1
start_daemon d2 z2 "$PLATFORM"
start_daemon d3 z3 "$PLATFORM"
check "three voters" wait_for 60 voters d1 3
curl -s "$(address platform)/daemons" -d "{\"daemons\": [
	\"$(address d1 backends)\", \"$(address d2 backends)\",
	\"$(address d3 backends)\"]}" >/dev/null
wait_for 20 grant d1 agent derwent-yards --class check --default-class check

servers() {
	operate "$1" --json backend list | json "sum(1 for b in \
		d['backend_servers'] if b['usable'])"
}
has_servers() {
	test "$(servers "$1")" -ge "$2"
}
starts() {
	curl -s "$(address platform)/orders" | json "sum(1 for o in d \
		if o['verb'] == 'start' and o['state'] == 'running')"
}
# All starts ever ordered, whatever became of them.
ordered() {
	curl -s "$(address platform)/orders" | json "sum(1 for o in d \
		if o['verb'] == 'start')"
}
check "the floor comes up" wait_for 40 has_servers d1 4
check "every daemon sees it" wait_for 20 has_servers d3 4
check "in three zones" test "$(operate d1 --json backend list | json "len(set( \
	b['zone'] for b in d['backend_servers']))")" = 3
curl -s "$(address platform)/orders" >"$WORK/orders"
sed 's/^/# /' "$WORK/orders" | head -c 1200; echo
operate d1 backend list | sed 's/^/# /'
operate d1 spend | sed 's/^/# /'
is "what was ordered is what runs" "$(starts)" "$(servers d1)"

# A planned stop under streams.
VICTIM=$(operate d1 --json backend list |
	json "d['backend_servers'][0]['address']")
PIDS=
for n in 1 2 3 4 5 6 7 8
do
	completion d1 "$WORK/agent.key" "calf $n" >"$WORK/stream.$n" &
	PIDS="$PIDS $!"
done
check "the stop is taken" operate d2 backend stop "$VICTIM"
for pid in $PIDS
do
	wait $pid || :
done
is "every stream ended whole" "$(grep -l '^data: \[DONE\]' \
	"$WORK"/stream.* | wc -l)" 8
gone() {
	curl -s "$(address platform)/orders" | json "any(o['verb'] == 'stop' \
		and o['address'] == '$VICTIM' for o in d)" | grep -q true
}
check "then the server was stopped" wait_for 40 gone

# The VM in charge dies.
check "the floor is back" wait_for 40 has_servers d1 4
FIRST=$(in_charge d1 d2 d3)
OTHERS=$(echo d1 d2 d3 | sed "s/$FIRST//")
BEFORE=$(ordered)
signal "$FIRST" KILL
reap "$FIRST" || :
check "another takes charge" wait_for 30 in_charge $OTHERS
set -- $OTHERS
check "it sees the floor" wait_for 40 has_servers "$1" 4
settled() {
	operate "$1" --json spend >"$WORK/spend" && grep -q per_hour "$WORK/spend"
}
check "it keeps the books" wait_for 20 settled "$1"
is "it ordered no second set" "$(ordered)" "$BEFORE"
finish
