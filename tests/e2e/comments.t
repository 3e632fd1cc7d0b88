#!/bin/sh
# What a stream holds beside its events is missing in an answer that looks whole.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

comments() {
	python3 "$SOURCE_ROOT/tests/e2e/comments.py" "$@"
}
roles_site
operators=
for n in 1 2 3 4 5
do
	operators="$operators $(roles_operators $n)"
done
comments server $operators >"$WORK/servers.log" 2>&1 &
lib_note servers $!
check "a server is known" wait_for 20 roles_known s0
check "and another" wait_for 20 roles_known s1
check "the entry VM gets ready" wait_for 20 is_ready 1
for way in whole resumed without-events
do
	comments wanted $way >"$WORK/wanted"
	for i in 1 2 3 4
	do
		check "$way: a stream ends whole" \
			roles_stream 1 "$way-$i" $way
		cp "$WORK/check.out" "$WORK/got"
		check "$way: as its servers wrote it" \
			cmp "$WORK/got" "$WORK/wanted"
	done
done
finish
