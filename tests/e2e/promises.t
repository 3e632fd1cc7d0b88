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
python3 "$SOURCE_ROOT/tests/e2e/promises.py" $operators &
lib_note promises $!
check "its server is known" wait_for 20 roles_known desk
check "the entry VM gets ready" wait_for 20 is_ready 1
for status in 408 429 503
do
	is "$status of a server that ran it promises nothing" \
		"$(ask_status 1 /once/$status k1 -d x)" 502
done
is "another failure is passed on" "$(ask_status 1 /once/500 k1 -d x)" 500
is "and what isn't one" "$(ask_status 1 /once/404 k1 -d x)" 404
finish
