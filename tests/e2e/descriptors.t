#!/bin/sh
# A VM without a free descriptor says that it is ready and takes no connection.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

# Fewer than the connections that are held below.
ulimit -S -n 400
HELD=500

# The document allows callers to rest for longer than this test takes.
document() {
	cat <<END
{"version": $1, "routes": [
 {"name": "read", "host": "a.example", "path_prefix": "/read/",
  "type": "idempotent", "timeout_ms": 4000, "latency_goal_ms": 300,
  "priority": 1, "service": "desk", "max_attempts": 2},
 {"name": "resumed", "host": "a.example", "path_prefix": "/stream/r/",
  "type": "streaming", "timeout_ms": 20000, "latency_goal_ms": 500,
  "priority": 1, "service": "scribe", "max_attempts": 2,
  "resumable": true, "target_itl_ms": 500}],
 "services": [{"name": "desk"}, {"name": "scribe"}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
  "header_timeout_ms": 3000, "idle_timeout_ms": 120000},
 "tenants": [{"name": "yards", "api_keys": ["$2"], "priority": 1}]}
END
}

roles_site
start desk fake-native --id desk --service desk $controls
start slow fake-native --id slow --service scribe --events 40 --gap-ms 200 \
	$controls
check "its servers are known" wait_for 20 roles_known desk
check "and those of streams" wait_for 20 roles_known slow
check "the entry VM gets ready" wait_for 20 is_ready 1

# hold NAME ADDRESS [TARGET]: connections that stay open.
hold() {
	hold_name=$1
	shift
	python3 "$SOURCE_ROOT/tests/e2e/hold.py" "$1" $HELD ${2+"$2"} \
		>"$WORK/$hold_name.held" &
	lib_note "$hold_name" $!
	wait_for 20 grep -q held "$WORK/$hold_name.held"
}
release() {
	signal "$1" KILL
	reap "$1" >/dev/null || :
}

# answered N PATH: how many of N new callers, each with a second, get a 200.
answered() {
	for i in $(seq "$1")
	do
		ask_status 1 "$2/$i" k1 --connect-timeout 1 --max-time 4
	done | grep -c 200 || :
}

# turns NAME: processor time of a process, in ticks of 10 ms.
ticks() {
	awk '{print $14 + $15}' "/proc/$(cat "$WORK/$1.pid")/stat"
}

# A process that sleeps uses few ticks of the 300 of three seconds.
is_calm() {
	ticks_before=$(ticks "$1")
	sleep 3
	test $(($(ticks "$1") - ticks_before)) -lt 100
}

callers=$(address entry-1 callers)
check "silent callers hold connections" hold silent "$callers"
is "new callers are answered" "$(answered 8 /read)" 8
check "the VM is ready" is_ready 1
check "and at rest" is_calm entry-1
release silent

check "idle callers hold connections" hold idle "$callers" /read/1
is "new callers are answered beside idle ones" "$(answered 8 /read)" 8
check "the VM is ready" is_ready 1
check "and at rest" is_calm entry-1
release idle

check "callers hold streams" hold streams "$callers" /stream/r/1
said_so() {
	! is_ready 1 || test "$(answered 1 /read)" = 1
}
check "a VM whose callers are all served takes more or isn't ready" said_so
check "and is at rest" is_calm entry-1
release streams
check "it is ready after them" wait_for 20 is_ready 1
is "callers are answered after them" "$(answered 8 /read)" 8

check "the balancer's port is held" hold balancer "$(address entry-1 ready)"
check "its question is answered all the same" is_ready 1
is "callers are answered beside it" "$(answered 8 /read)" 8
check "the VM is at rest" is_calm entry-1
release balancer

check "links are held" hold links \
	"$ROLES_NET.101:$ROLES_LINKS"
is "callers are answered beside strangers at the links" \
	"$(answered 8 /read)" 8
check "the VM is at rest" is_calm entry-1
release links

# A change of the settings that comes while no file can be opened.
reloaded() {
	tail -n "+$1" "$WORK/entry-1.log" | grep -q "event=reload code=$2"
}
lines=$(wc -l <"$WORK/entry-1.log")
prlimit --pid "$(cat "$WORK/entry-1.pid")" --nofile=3:
echo "# changed" >>"$WORK/entry-1.boot"
check "settings can't be read" wait_for 10 reloaded "$lines" SETTING_VALUE
prlimit --pid "$(cat "$WORK/entry-1.pid")" --nofile=400:
check "they are read once they can be" wait_for 10 reloaded "$lines" OK
is "callers are answered after it" "$(answered 8 /read)" 8

for n in 1 2 3 4 5
do
	hold operators-$n "$(roles_operators $n)" || :
	hold control-links-$n "$ROLES_NET.$n:$ROLES_LINKS" || :
done
check "a document is accepted by VMs whose ports are held" wait_for 20 \
	roles_accepts 1 2 k1
start late fake-native --id late --service desk $controls
check "a server's announcement is taken" wait_for 20 roles_known late
check "a control VM is at rest" is_calm control-1
check "another entry VM is let in" start_entry 2
check "and gets ready" wait_for 20 is_ready 2
finish
