#!/bin/sh
# Callers make an entry VM hold more bytes than its machine has memory.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"
. "$SOURCE_ROOT/tests/crowd/site.sh"

crowd_site entry-1
links=$ROLES_NET.101:$ROLES_LINKS
press() {
	crowd entry-1 entry "entry=$(address entry-1 callers)" \
		"links=$links" "$@"
}
press length
press expect
press chunked
press whole
press pipelined
press heads
press answers
press streams
press trickle
press links
press length expect chunked whole pipelined heads answers streams trickle links
check "nothing ran that was said not to" crowd_kept_promises
finish
