#!/bin/sh
# Settings change right after a daemon's start, and whoever changed them sends
# SIGHUP. It came before the daemon's loop listened for it, and ended the
# process. The settings are a pipe here, so the daemon stands at the reading of
# them when the signal comes.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"

mkfifo "$WORK/boot"
"$BIN/filberthalld" --check --settings "$WORK/boot" >"$WORK/out" 2>&1 &
pid=$!
lib_note daemon $pid
# Opens once the other end is open: by then the program runs.
exec 3>"$WORK/boot"
kill -HUP $pid
# A daemon that has ended reads no settings any more.
trap '' PIPE
cat >&3 2>/dev/null <<END || :
role: entry
vm: entry-1
zone: z1
site: test
listen: {callers: 127.0.0.1:0, ready: 127.0.0.1:0, links: 127.0.0.1:0}
END
exec 3>&-
status=0
wait $pid || status=$?
is "a signal before the loop listens ends nothing" "$status" 0
finish
