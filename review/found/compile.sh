# After `make build`: compile FILE.c in a temporary folder against the
# project's libraries and run it. Sourced with $program set to its name.
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat >"$work/$program.c"
cd "$root/build"
cc -I.. -I../libfilberthall -I../tests/agree -D_GNU_SOURCE -std=gnu11 \
	$(pkg-config --cflags glib-2.0) -o "$work/$program" \
	"$work/$program.c" tests/agree/libraft_sim.a.p/raft_bed.c.o \
	daemon/libdaemon.a platform/libplatform.a \
	libfilberthall/libfilberthall.a \
	$(pkg-config --libs glib-2.0 jansson libsodium gnutls libmicrohttpd \
		neon libxxhash zlib libfyaml) \
	-lmsgpackc -lhttp_parser -lev -llog4c -lpthread -lm
"$work/$program" "$work"
