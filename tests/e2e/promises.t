#!/bin/sh
# A server's status that promises that nothing ran is passed on though it ran.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

roles_site
operators=
for n in 1 2 3 4 5
do
	operators="$operators $(roles_operators $n)"
done
# servers NAME: a server of each service, alone; failing ones get no requests.
servers() {
	python3 "$SOURCE_ROOT/tests/e2e/promises.py" $1 $operators &
	lib_note promises-$1 $!
	check "a server is known" wait_for 20 roles_known desk-$1
	check "and one of streams" wait_for 20 roles_known scribe-$1
	test -z "$LAST" || check "those before get no requests" \
		wait_for 20 silent $LAST
	check "the entry VM gets ready" wait_for 20 is_ready 1
}
LAST=
gone() {
	signal promises-$1 KILL
	reap promises-$1 2>/dev/null || :
	LAST=$1
}
silent() {
	grep -q "event=silent server=desk-$1 " "$WORK/entry-1.log" &&
		grep -q "event=silent server=scribe-$1 " "$WORK/entry-1.log"
}
# resumed STATUS: how a stream ends whose resumption is answered so.
resumed() {
	if roles_stream 1 "x-$1" "$1-resumed" >"$WORK/resumed"
	then
		echo whole
	else
		grep -q "^data: one" "$WORK/resumed" && echo cut
	fi
}
for status in 408 429 503
do
	servers $status
	is "$status of a server that ran it promises nothing" \
		"$(ask_status 1 /once/$status k1 -d x)" 502
	is "$status, repeatable: the same" \
		"$(ask_status 1 /read/$status k1)" 502
	is "$status, whose body never comes: the same" \
		"$(ask_status 1 /once/$status-head k1 -d x)" 504
	is "$status to a resumption breaks the stream off" \
		"$(resumed $status)" cut
	gone $status
	servers $status-stream
	is "$status in place of a stream promises nothing" \
		"$(ask_status 1 /stream/r/$status k1 -d x)" 502
	gone $status-stream
done
servers last
is "another failure is passed on" "$(ask_status 1 /once/500 k1 -d x)" 500
is "and what isn't one" "$(ask_status 1 /once/404 k1 -d x)" 404
finish
