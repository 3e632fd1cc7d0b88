#!/bin/sh
# Servers' answers have neither a length nor chunks: what is cut or reset passes
# for whole, or what is whole for cut.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

roles_site
start desk fake-native --id desk --service desk --unframed $controls
start whole fake-native --id whole --service scribe --events 24 --gap-ms 2 \
	--unframed $controls
check "its servers are known" wait_for 20 roles_known whole
check "and those of the other service" wait_for 20 roles_known desk
check "the entry VM gets ready" wait_for 20 is_ready 1

# stream ID [CURL ARGS...]: as it comes; curl's own status at the end.
stream() {
	stream_id=$1
	shift
	curl -sN --max-time 10 -H 'Host: a.example' \
		-H 'Authorization: Bearer k1' \
		-H "Filberthall-Attempt-Id: $stream_id" \
		-H 'Filberthall-Deadline-Ms: 6000' -X POST -d body "$@" \
		"http://$(address entry-1 callers)/stream/r/$stream_id" &&
		echo "curl: $?" || echo "curl: $?"
}

# tally NAME N: of N streams those that are whole and end well.
tally() {
	whole=0
	{ seq 24 && echo "curl: 0"; } >"$WORK/expected"
	for i in $(seq "$2")
	do
		stream "$1-$i" | sed -n 's/^id: //p; /^curl/p' >"$WORK/got"
		cmp -s "$WORK/expected" "$WORK/got" && whole=$((whole + 1)) || :
	done
	echo $whole
}

is "a plain answer is whole" "$(ask 1 /read/7 k1 | head -n 1)" "desk /read/7"
is "streams are whole" "$(tally whole 12)" 12
is "a caller of HTTP/1.0 gets no chunks" \
	"$(stream old -0 | sed -n 's/^id: //p; /^curl/p' | tail -n 2 | tr '\n' ' ')" \
	"24 curl: 0 "
start cut fake-native --id cut --service scribe --events 24 --gap-ms 2 \
	--unframed --cut-at 9 $controls
check "a server that ends inside an event is known" wait_for 20 roles_known cut
is "what ends inside an event goes on" "$(tally cut 12)" 12
signal cut KILL
start reset fake-native --id reset --service scribe --events 24 --gap-ms 2 \
	--unframed --reset-at 9 $controls
check "a server that resets is known" wait_for 20 roles_known reset
is "what is reset between events goes on" "$(tally reset 12)" 12
signal reset KILL
signal whole KILL
start end fake-native --id end --service scribe --events 24 --gap-ms 2 \
	--unframed --end-at 9 $controls
check "a server that ends between events is known" wait_for 20 roles_known end
ended() {
	stream "$1" | sed -n 's/^id: //p; /^curl/p' | tail -n 2 | tr '\n' ' '
}
eight() {
	test "$(ended "end-$$")" = "8 curl: 0 "
}
check "what ends between events is passed on as whole" wait_for 10 eight
finish
