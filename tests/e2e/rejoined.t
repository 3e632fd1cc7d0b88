#!/bin/sh
# All VMs are killed, and the servers of one version replaced by those of another
# meanwhile. Streams of before are joined from both.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

roles_site
start_entry 2
for n in 1 2 3
do
	start old-$n fake-native --id old-$n --service scribe --events 24 \
		--software v1 $controls
	check "server old-$n is known" wait_for 20 roles_known old-$n
done
for n in 1 2
do
	check "entry VM $n gets ready" wait_for 20 is_ready $n
done

# stream N ID [CURL ARGS...]
stream() {
	stream_at=$1
	stream_id=$2
	shift 2
	roles_stream "$stream_at" "$stream_id" 1 "$@" || :
}

# begin N ID: left after three events.
begin() {
	stream "$1" "$2" | head -n 9 >"$WORK/$2.begun"
}

# go_on N ID: takes the stream of that id up at entry VM N; whether it runs.
go_on() {
	stream "$1" "$2-again" -H "Resumes: $2" -H "Last-Event-Id: $(
		sed -n 's/^id: //p' "$WORK/$2.begun" | tail -n 1)" \
		>"$WORK/$2.rest"
	grep -q '^id: ' "$WORK/$2.rest"
}

# versions ID: of its events.
versions() {
	cat "$WORK/$1.begun" "$WORK/$1.rest" |
		sed -n 's/^data: .* of //p' | sort -u | wc -l
}

kill_all() {
	for name in control-1 control-2 control-3 control-4 control-5 \
		entry-1 entry-2
	do
		signal $name KILL
		reap $name >/dev/null || :
	done
}

start_all() {
	for n in 5 4 3 2 1
	do
		start_control $n
	done
	start_entry 1
	start_entry 2
	for n in 1 2
	do
		check "entry VM $n is ready again" wait_for 20 is_ready $n
	done
}

ids="a1 a2 a3 a4 a5 a6"
for id in $ids b1
do
	begin 1 $id
done
kill_all
start_all
check "with one version a stream of before goes on" wait_for 20 go_on 2 b1
is "at that version" "$(versions b1)" 1

kill_all
for n in 1 2 3
do
	signal old-$n KILL
	reap old-$n >/dev/null || :
	start new-$n fake-native --id new-$n --service scribe --events 24 \
		--software v2 $controls
done
start_all
begins() {
	begin 2 c1
	test -s "$WORK/c1.begun"
}
check "new streams begin" wait_for 20 begins
# Control VMs take this long to have heard all servers.
sleep 4
joined=0
for id in $ids
do
	go_on 2 $id || :
	test "$(versions $id)" -le 1 || joined=$((joined + 1))
done
is "none of before is joined from two versions" $joined 0
check "a stream that began after it goes on" wait_for 20 go_on 1 c1
is "at its version" "$(versions c1)" 1
finish
