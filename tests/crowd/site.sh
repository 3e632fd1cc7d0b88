# A site whose processes have MEMORY_MB each, and a crowd; after tests/roles.sh.

MEMORY_MB=64
DESCRIPTORS=400

# A sanitizer's own memory isn't the program's.
crowd_kb=$((MEMORY_MB * 1024))
lib_measured
ulimit -S -n "$DESCRIPTORS"
ROLES_MEMORY_MB=$MEMORY_MB

document() {
	cat <<END
{"version": $1, "routes": [
 {"name": "once", "host": "a.example", "path_prefix": "/once/",
  "type": "non_idempotent", "timeout_ms": 8000, "latency_goal_ms": 300,
  "priority": 0, "service": "desk", "max_attempts": 1},
 {"name": "read", "host": "a.example", "path_prefix": "/read/",
  "type": "idempotent", "timeout_ms": 8000, "latency_goal_ms": 300,
  "priority": 1, "service": "desk", "max_attempts": 2},
 {"name": "late", "host": "a.example", "path_prefix": "/late/",
  "type": "idempotent", "timeout_ms": 8000, "latency_goal_ms": 4000,
  "priority": 1, "service": "heavy", "max_attempts": 2},
 {"name": "long", "host": "a.example", "path_prefix": "/long/",
  "type": "idempotent", "timeout_ms": 8000, "latency_goal_ms": 4000,
  "priority": 1, "service": "heavy", "max_attempts": 2},
 {"name": "resumed", "host": "a.example", "path_prefix": "/stream/r/",
  "type": "streaming", "timeout_ms": 8000, "latency_goal_ms": 500,
  "priority": 1, "service": "scribe", "max_attempts": 2,
  "resumable": true, "target_itl_ms": 500}],
 "services": [{"name": "desk"}, {"name": "heavy"}, {"name": "scribe"}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
  "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "yards", "api_keys": ["$2"], "priority": 1}]}
END
}

# crowd_site PROCESS: what each test of a crowd begins with.
crowd_site() {
	roles_site
	heavy=
	for crowd_n in 1 2 3 4 5
	do
		heavy="$heavy $(roles_operators $crowd_n)"
	done
	PYTHONPATH=$SOURCE_ROOT/tests/e2e python3 \
		"$SOURCE_ROOT/tests/crowd/heavy.py" "$WORK/ran" $heavy &
	lib_note heavy $!
	start desk fake-native --id desk --service desk $controls
	for crowd_server in desk heavy-0 heavy-1 scribe-0 scribe-1
	do
		check "$crowd_server is known" wait_for 20 \
			roles_known $crowd_server
	done
	check "the entry VM is ready" wait_for 20 is_ready 1
	head -c 1048576 /dev/zero >"$WORK/body"
	crowd_bound "$1"
}

# crowd_rest PROCESS: its resident memory now, in kB.
crowd_rest() {
	awk '/^VmRSS/ {print $2}' "/proc/$(cat "$WORK/$1.pid")/status"
}

# crowd_got FIELD: of what the last crowd made its process hold.
crowd_got() {
	json "d['$1']" <"$WORK/crowd.json"
}

# crowd_bound PROCESS: what the process may hold, once it is at rest.
crowd_bound() {
	if lib_sanitized
	then
		crowd_kb=$((crowd_kb + $(crowd_rest "$1")))
	fi
}

# crowd PROCESS entry|control|all NAME=ADDRESS... WAY...
crowd() {
	crowd_on=$1
	crowd_what=$2
	shift
	PID=$(cat "$WORK/$crowd_on.pid") PROMISED=$WORK/promised \
		DOCUMENT=$(document 2 k1) \
		PYTHONPATH=$SOURCE_ROOT/tests/e2e python3 \
		"$SOURCE_ROOT/tests/crowd/crowd.py" "$@" >"$WORK/crowd.json" || :
	shift
	while test "$1" != "${1#*=}"
	do
		shift
	done
	echo "# $*: $(cat "$WORK/crowd.json")"
	is "$*: the process lives" "$(crowd_got lives)" true
	check "$*: it keeps within its memory" \
		test "$(crowd_got held_kb)" -le "$crowd_kb"
	check "$*: it keeps descriptors free" \
		test "$(crowd_got descriptors)" -lt "$DESCRIPTORS"
	is "$*: an ordinary request is answered beside them" \
		"$(crowd_got answered)" true
	crowd_after_"$crowd_what" "$*"
}

crowd_served() {
	test "$(ask_status 1 "$1" k1 ${2+--data-binary "@$2"})" = 200
}

crowd_after_entry() {
	check "$1: an ordinary request is answered after them" \
		wait_for 30 crowd_served /read/1
	check "$1: and a whole body of the largest size" \
		wait_for 30 crowd_served /read/2 "$WORK/body"
}

crowd_accepts() {
	crowd_version=$((crowd_version + 1))
	roles_accepts 1 $crowd_version k1
}
crowd_version=10

crowd_after_control() {
	check "$1: a document is accepted after them" \
		wait_for 30 crowd_accepts
	check "$1: and read" wait_for 30 test -n "$(read_document 1)"
}

# Whether anything ran of what a caller was told that it didn't run.
crowd_kept_promises() {
	sort -u "$WORK/promised" >"$WORK/promised.sorted"
	sort -u "$WORK/ran" >"$WORK/ran.sorted"
	test -z "$(comm -12 "$WORK/promised.sorted" "$WORK/ran.sorted")"
}
