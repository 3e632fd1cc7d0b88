#!/bin/sh
# Operators, servers and strangers make a control VM hold more bytes than its
# machine has memory.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"
. "$SOURCE_ROOT/tests/crowd/site.sh"

crowd_site control-1
links=$ROLES_NET.1:$ROLES_LINKS
press() {
	crowd control-1 control "control=$(roles_operators 1)" \
		"links=$links" "$@"
}
press documents
press announcements
press unreadable
press changes
press heads
press links
press documents announcements unreadable changes heads links
finish
