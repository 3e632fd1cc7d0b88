#!/bin/sh
# `filberthall tally` and `explain` on the logs of two VMs.
#
# A stream of cues stood still beside a long prompt, a caller left, a request
# was refused, and one VM lost power in the middle of a request. On-call
# engineers see which classes and seconds lost callers, and that the VM ended
# and not the request.
set -eu
bin=$BUILD_ROOT/bin/filberthall
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
n=0

line() {
	printf '{"time":"2026-01-10T09:10:%s","level":"info","module":"%s","message":"%s","vm":"%s"}\n' \
		"$2" "$3" "$4" "$1"
}

ended() {
	line "$1" "$2" request "event=ended request=$3 code=$4 run=$5 organisation=a class=$6 server=10.0.0.1:80 attempts=$7 first_ms=$8 took_ms=1000 pieces=9 pause_ms=$9 attained=${10}"
}

{
	ended one 01.500Z r1 OK ran t0-g1200-p250 1 100 20 1
	ended one 01.600Z r2 OK ran t0-g1200-p250 2 100 900 0
	ended one 01.700Z r3 OK ran t0-g1200-p250 1 1900 20 0
	ended one 04.800Z r4 CALLER_LEFT unknown t2-g2500-p1000 1 -1 0 0
} >"$work/one.log"
{
	ended two 04.900Z r5 EXPIRED not-run t2-g2500-p1000 0 -1 0 0
	ended two 04.950Z r6 BACKEND_BROKE unknown t2-g2500-p1000 1 10 0 0
	line two 05.000Z request "event=refused request=r7 code=STOPPING"
	line two 05.100Z request "event=taken request=r8 route=a"
	line two 05.200Z attempt "event=sent request=r8 attempt=1 server=10.0.0.1:80"
	line two 05.300Z fresh "event=fresh age_ms=3"
	line two 09.000Z daemon "event=start role=entry"
} >"$work/two.log"

expect() {
	name=$1
	shift
	n=$((n + 1))
	if "$bin" "$@" >"$work/out" 2>&1 && cmp -s "$work/out" "$work/expect"
	then
		echo "ok $n - $name"
	else
		echo "not ok $n - $name"
		sed 's/^/# /' "$work/out"
	fi
}

cat >"$work/expect" <<'EOT'
class           asked  in time  late first  stood still  sent again  refused  failed  caller left
t0-g1200-p250   3      1        1           1            1           0        0       0
t2-g2500-p1000  3      0        0           0            0           1        1       1
STOPPING        1      0        0           0            0           1        0       0
EOT
expect "tally by class" tally --by class "$work/one.log" "$work/two.log"

cat >"$work/expect" <<'EOT'
time  asked  in time  late first  stood still  sent again  refused  failed  caller left
0     3      1        1           1            1           0        0       0
3     3      0        0           0            0           1        1       1
EOT
expect "tally by time" tally --by time --every 3 "$work/one.log" "$work/two.log"

cat >"$work/expect" <<'EOT'
    0.000 s  two  request event=taken request=r8 route=a
    0.100 s  two  attempt event=sent request=r8 attempt=1 server=10.0.0.1:80
    0.200 s  two  logged last; it started anew at 3.900 s, and no end of the request is logged
EOT
expect "explain a VM that ended in the middle" explain r8 "$work/two.log"
echo "1..$n"
