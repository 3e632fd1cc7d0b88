#!/bin/sh
# The simulation of tests/agree with one more fault (cached.patch, for a copy):
# a voter's process is killed while a write waits for its sync, starts again
# with the write still in the system's cache, acknowledges it, and loses power
# 10 to 40 ms later. Exits with 1 if a committed entry is replaced. FIXED=1
# plays the same with a log that is synced as it is opened. After `make build`;
# usage: cached.sh [SEEDS]
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/tests"
cp -r "$root/tests/agree" "$work/tests/"
patch -s -d "$work" -p1 <"$root/review/found/cached.patch"
cat >"$work/main.c" <<'END'
#include <stdio.h>
#include <stdlib.h>

#include "sim.h"

int main(int argc, char **argv)
{
	long seeds = argc > 1 ? atol(argv[1]) : 1000;
	long broken = 0;
	long kills = 0;
	long seed;

	for (seed = 1; seed <= seeds; seed++) {
		struct sim_options options = { .seed = (uint64_t)seed,
					       .duration_us = 16000000 };
		struct sim_stats stats = { 0 };
		char *violation = sim_run(&options, &stats);

		if (violation && broken++ < 3)
			printf("seed %ld: %s\n", seed, violation);
		kills += stats.orders;
		free(violation);
	}
	printf("%ld kills in a write, %ld of %ld seeds broken\n", kills,
	       broken, seeds);
	return broken > 0;
}
END
cc -O1 -I"$work/tests/agree" -I"$root/libfilberthall" -I"$root" \
	-D_GNU_SOURCE -std=gnu11 $(pkg-config --cflags glib-2.0) \
	-o "$work/sim" "$work/main.c" "$work"/tests/agree/sim*.c \
	"$work/tests/agree/saved.c" \
	"$root/build/libfilberthall/libfilberthall.a" \
	$(pkg-config --libs glib-2.0 jansson libsodium libxxhash zlib \
		libfyaml) -lmsgpackc -lm -lpthread
CACHED=1 "$work/sim" "${1-1000}"
