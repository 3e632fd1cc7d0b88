#!/bin/sh
# Servers break off within the heads of their answers, and callers get 200.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"
. "$SOURCE_ROOT/tests/roles.sh"

roles_site
# Every break may be followed by another attempt.
check "an entry VM starts" start_entry 2 "retries: {share: 1, headroom: 1000}"
controls=
for n in 1 2 3 4 5
do
	controls="$controls $(roles_operators $n)"
done
check "all kinds are played" timeout 250 python3 \
	"$SOURCE_ROOT/tests/e2e/cut_heads.py" "$(address entry-2 callers)" \
	$controls
cp "$WORK/check.out" "$WORK/played"
sed 's/^/# /' "$WORK/played"

# figure KIND NAME
figure() {
	sed -n "s/^$1 .*$2=\([0-9]*\).*/\1/p" "$WORK/played"
}
for kind in read once stream resumed
do
	is "$kind: no answer that was cut passes for whole" \
		"$(figure $kind joined)" 0
	is "$kind: no whole answer is lost" "$(figure $kind lost)" 0
	check "$kind: nearly all heads were cut" test \
		$(($(figure $kind cut) * 10)) -ge \
		$(($(figure $kind planned) * 8))
done
finish
