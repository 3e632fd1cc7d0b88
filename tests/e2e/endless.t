#!/bin/sh
# Servers whose answers never end hold requests, connections and memory.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

lib_measured
roles_site
start well fake-native --id well --service scribe $controls
check "a server is known" wait_for 20 roles_known well
check "the entry VM gets ready" wait_for 20 is_ready 1

# stream I: the status of a stream that is read to its end.
stream() {
	curl -sN -o /dev/null -w '%{http_code}\n' --max-time 10 \
		-H 'Host: a.example' -H 'Authorization: Bearer k1' \
		-H "Filberthall-Attempt-Id: $1" \
		-H 'Filberthall-Deadline-Ms: 3000' -X POST -d body \
		"http://$(address entry-1 callers)/stream/r/$1" || :
}
kilobytes() {
	awk "/^VmRSS/ {print \$2}" \
		"/proc/$(cat "$WORK/entry-1.pid")/status"
}
before=$(kilobytes)
# What an entry VM reads at most, and the system's buffers between the two.
most=$((256 * 1024 + 4 * 1024 * 1024 + 6 * 1024 * 1024))
for way in junk headers interim other chunk-length trailers body lines rejected
do
	start $way fake-native --id $way --service scribe --endless $way \
		--record "$WORK/$way.record" --gap-ms 0 $controls
	check "$way: its server is known" wait_for 20 roles_known $way
	for i in 1 2 3 4 5 6
	do
		stream $way-$i &
	done >/dev/null
	tried() {
		stream "$way-again" >/dev/null
		test -s "$WORK/$way.record"
	}
	check "$way: a connection is closed" wait_for 20 tried
	check "$way: at a bounded number of bytes" \
		awk -v most=$most '$1 > most {exit 1}' "$WORK/$way.record"
	signal $way KILL
	reap $way >/dev/null || :
done
check "memory stays as it was" test $(($(kilobytes) - before)) -lt 16384
start slow fake-native --id slow --service scribe --endless interim \
	--record "$WORK/slow.record" --gap-ms 200 $controls
check "a slow one is known" wait_for 20 roles_known slow
tried() {
	stream "slow-$i" >/dev/null
	test -s "$WORK/slow.record"
}
check "its connection is closed" wait_for 20 tried
check "within the request's time" \
	awk '$2 > 8000 {exit 1}' "$WORK/slow.record"
finish
