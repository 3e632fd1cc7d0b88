# Helpers for tests of whole processes, to be sourced after 'set -eu'. Prints
# TAP. Every wait is for a condition and has a bound; only processes started
# here are ended, by their ids.

BIN=$BUILD_ROOT/bin
# A script that wants to keep its files sets WORK to a folder of its own.
KEEP=${WORK:+kept}
WORK=${WORK:-$(mktemp -d)}
STARTED=
TESTS=0
FAILED=0

# A test that dies in the middle leaves no process and no folder behind. They
# are asked first: the stand-in platform ends what it started itself.
lib_end() {
	lib_status=$?
	for lib_name in $STARTED
	do
		kill -TERM "$(cat "$WORK/$lib_name.pid")" 2>/dev/null || :
		kill -CONT "$(cat "$WORK/$lib_name.pid")" 2>/dev/null || :
	done
	for lib_name in $STARTED
	do
		case $lib_name in
		platform*)
			wait_for 3 lib_is_dead "$(cat "$WORK/$lib_name.pid")" ||
				:
			;;
		esac
	done
	for lib_name in $STARTED
	do
		kill -KILL "$(cat "$WORK/$lib_name.pid")" 2>/dev/null || :
	done
	test "$lib_status" = 0 && test "$FAILED" = 0 || lib_keep
	test -n "$KEEP" || rm -rf "$WORK"
}

# What a test that failed leaves stays in failed/ of the build folder.
lib_keep() {
	test -z "$KEEP" || return 0
	lib_kept=failed/$(basename "$0")-$$
	mkdir -p "$BUILD_ROOT/$lib_kept"
	cp -r "$WORK/." "$BUILD_ROOT/$lib_kept/" || :
	echo "# $(basename "$0") failed; its files are in" \
		"$(basename "$BUILD_ROOT")/$lib_kept" >&2
}
trap lib_end EXIT
trap 'exit 1' INT TERM

# start NAME PROGRAM ARGS...: runs build/bin/PROGRAM, which gets --publish,
# and waits for the addresses that it publishes in $WORK/NAME.yaml.
start() {
	lib_name=$1
	lib_program=$2
	shift 2
	start_plain "$lib_name" "$lib_program" "$@" \
		--publish "$WORK/$lib_name.yaml"
	wait_for 10 test -s "$WORK/$lib_name.yaml" || {
		echo "# $lib_name didn't start:"
		sed 's/^/# /' "$WORK/$lib_name.log"
		return 1
	}
}

# start_plain NAME PROGRAM ARGS...: without --publish and without waiting.
start_plain() {
	lib_name=$1
	lib_program=$2
	shift 2
	rm -f "$WORK/$lib_name.yaml"
	"$BIN/$lib_program" "$@" >>"$WORK/$lib_name.log" 2>&1 &
	lib_note "$lib_name" $!
}

# lib_note NAME PID: remembers a process to be ended at the latest at the end.
lib_note() {
	echo "$2" >"$WORK/$1.pid"
	case " $STARTED " in
	*" $1 "*) ;;
	*) STARTED="$STARTED $1" ;;
	esac
}

# address NAME [KEY]: what a program published under KEY.
address() {
	sed -n "s/^ *${2-address}: *//p" "$WORK/$1.yaml" | head -n 1
}

# signal NAME SIGNAL
signal() {
	kill "-$2" "$(cat "$WORK/$1.pid")"
}

# ended NAME: whether its process is gone.
ended() {
	! kill -0 "$(cat "$WORK/$1.pid")" 2>/dev/null
}

# reap NAME [SECONDS]: waits for its end; returns its exit status, or 124.
reap() {
	lib_pid=$(cat "$WORK/$1.pid")
	wait_for "${2-20}" lib_is_dead "$lib_pid" || return 124
	lib_forget "$1"
	wait "$lib_pid"
}

# Its id may soon be another process's.
lib_forget() {
	lib_kept=
	for lib_name in $STARTED
	do
		test "$lib_name" = "$1" || lib_kept="$lib_kept $lib_name"
	done
	STARTED=$lib_kept
}

# A zombie is dead: its parent, this shell, has yet to wait for it.
lib_is_dead() {
	! kill -0 "$1" 2>/dev/null || grep -q '^State:.Z' "/proc/$1/status"
}

# stop NAME [SECONDS]: asks for a graceful end; returns the exit status.
stop() {
	signal "$1" TERM
	reap "$@"
}

# wait_for SECONDS COMMAND...: until the command succeeds; 1 if it never does.
wait_for() {
	lib_until=$(($(date +%s) + $1))
	shift
	until "$@" >/dev/null 2>&1
	do
		test "$(date +%s)" -le "$lib_until" || return 1
		sleep 0.02
	done
}

# check DESCRIPTION COMMAND...: one test.
check() {
	lib_what=$1
	shift
	TESTS=$((TESTS + 1))
	if "$@" >"$WORK/check.out" 2>&1
	then
		echo "ok $TESTS - $lib_what"
	else
		FAILED=$((FAILED + 1))
		echo "not ok $TESTS - $lib_what"
		# To standard error: prove shows that also where it hides TAP.
		{
			echo "# failed: $lib_what"
			echo "# $*" | head -c 2000
			echo
			sed 's/^/# /' "$WORK/check.out" | head -n 20
		} >&2
	fi
}

# is DESCRIPTION GOT WANTED
is() {
	check "$1" test "$2" = "$3"
}

# finish: the plan; fails if a test failed.
finish() {
	echo "1..$TESTS"
	test "$FAILED" = 0
}

# lib_sanitized: whether the daemon holds memory of AddressSanitizer's as well.
lib_sanitized() {
	grep -q __asan_init "$BIN/filberthalld"
}

# lib_measured: memory of daemons that start from now on is measured, so
# AddressSanitizer keeps little of what was freed.
lib_measured() {
	lib_sanitized || return 0
	ASAN_OPTIONS=quarantine_size_mb=1:thread_local_quarantine_size_kb=16
	ASAN_OPTIONS=$ASAN_OPTIONS:allocator_release_to_os_interval_ms=0
	export ASAN_OPTIONS
}

# json EXPRESSION: evaluates Python over the JSON `d` on standard input.
json() {
	python3 -c "import json, sys
d = json.load(sys.stdin)
r = $1
print(r if isinstance(r, str) else json.dumps(r))"
}

# sse_text: the text of a streamed answer on standard input, joined.
sse_text() {
	python3 -c "import json, sys
out = ''
for line in sys.stdin:
    if not line.startswith('data: {'):
        continue
    chunk = json.loads(line[6:])
    for choice in chunk.get('choices', []):
        out += choice.get('delta', {}).get('content', choice.get('text', ''))
print(out)"
}

# fault ADDRESS JSON: asks a stand-in for a fault.
fault() {
	curl -s "$1/fault" -d "$2" >/dev/null
}
