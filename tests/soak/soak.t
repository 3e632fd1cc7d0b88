#!/bin/sh
# The soak in short, with seeds that stay the same: real control and entry
# VMs under storms of faults, and what callers, servers, operators and the
# platform see of them. The first seeds are those that once failed; what they
# showed stands in tests/soak/seeds.
set -eu
. "$SOURCE_ROOT/tests/lib.sh"

seeds=$(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' "$SOURCE_ROOT/tests/soak/seeds")
for seed in $seeds 101 102
do
	"$BUILD_ROOT/tests/soak/soak" --seed "$seed" --storms 1 --verbose \
		--folder "$WORK/soak-$seed" --program "$BIN/filberthalld" \
		>"$WORK/soak-$seed.out" 2>&1 &
	lib_note "soak-$seed" $!
done
over() {
	! kill -0 "$(cat "$WORK/soak-$1.pid")" 2>/dev/null
}
kept() {
	wait_for 150 over "$1"
	tail -n 1 "$WORK/soak-$1.out" | grep -q ' 0 violations$' ||
		{ grep -v ' # ' "$WORK/soak-$1.out" && false; }
}
for seed in $seeds 101 102
do
	check "seed $seed breaks no promise" kept "$seed"
done
finish
