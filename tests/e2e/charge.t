#!/bin/sh
# Nothing runs yet but three daemons and a platform that ignores fences. The
# one in charge must order what the settings ask for, once; when it is cut
# off (here: stopped like a hung VM, then let go on), its successor takes
# over, and at no time may the platform get orders from both.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/site.sh"

start platform fake-platform --no-fencing --spawn "$BIN" --offer-zone z1 \
	--offer-zone z2 --offer-zone z3
{
	site_settings | sed 's/^site:$/&\
  fleet:\
    policy: {start_s: 10, survive_zone: false}\
    model:\
      calf-7b: {min: 2, max: 4, cheap_share: 0, team: calves}/'
} >"$WORK/settings.yaml"
site_init
for daemon in d1 d2 d3
do
	start_daemon $daemon "z${daemon#d}" "platform: $(address platform)"
	test $daemon != d1 || wait_for 20 voters d1 1
done
curl -s "$(address platform)/daemons" -d "{\"daemons\": [$(
	for daemon in d1 d2 d3
	do
		printf '"%s",' "$(address $daemon backends)"
	done | sed 's/,$//')]}" >/dev/null
check "three voters" wait_for 60 voters d1 3
orders() {
	curl -s "$(address platform)/orders" | json "$1"
}
started() {
	test "$(orders "sum(o['verb'] == 'start' and \
		o['state'] == 'running' for o in d)")" -ge "$1"
}
check "two backend servers are ordered and run" wait_for 60 started 2
wait_for 20 grant d2 caller derwent-yards --class check --default-class check
check "they are routed to" wait_for 60 routes d2 caller calf-7b
TEXT='is anyone there [tokens=8]'
completion d2 "$WORK/caller.key" "$TEXT" >"$WORK/answer"
is "a completion comes from them" "$(sse_text <"$WORK/answer")" \
	"$(expected "$TEXT")"
grep -q DONE "$WORK/answer" || sed 's/^/# /' "$WORK/answer"

# A call that was passed on to the stopped one is given up.
leader() {
	OPERATE_S=2
	operate "$1" --json member list |
		json "[m['vm'] for m in d['members'] if m['leader']][0]"
}
OLD=$(leader d1)
for daemon in d1 d2 d3
do
	test $daemon = "$OLD" || OTHER=$daemon
done
signal "$OLD" STOP
another_leads() {
	NEW=$(leader "$OTHER") && test -n "$NEW" && test "$NEW" != "$OLD"
}
check "another one leads" wait_for 30 another_leads
raise_minimum() {
	operate "$OTHER" settings set site/fleet/model/calf-7b/min "$1"
}
check "more are asked for" wait_for 30 raise_minimum 3
check "the new one orders them" wait_for 60 started 3
signal "$OLD" CONT
check "and still more, with the old one back" wait_for 30 raise_minimum 4
check "they are ordered" wait_for 60 started 4

curl -s "$(address platform)/log" >"$WORK/log.json"
FENCES="[e['arguments']['fence'] for e in d if e['call'] == 'order']"
echo "# fences in the order of arrival: $(json "$FENCES" <"$WORK/log.json")"
is "no order came from an older holder after a newer one's" \
	"$(json "(lambda f: f == sorted(f))($FENCES)" <"$WORK/log.json")" true
is "no more were started than asked for" "$(orders "sum(o['verb'] == 'start' \
	for o in d)")" 4
finish
