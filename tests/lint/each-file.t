#!/bin/sh
# Of several files in one process clang-tidy misses findings in all but the first.
set -eu
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp "$SOURCE_ROOT/.clang-tidy" "$work"
cd "$work"
git init -q .
mkdir build
for name in first second third
do
	cat >"$name.c" <<END
#include <stdarg.h>

void $name(int n, ...);

void $name(int n, ...)
{
	va_list args;

	va_start(args, n);
}
END
	echo "{\"directory\": \"$work\", \"file\": \"$name.c\","
	echo " \"command\": \"cc -c $name.c\"},"
done | sed '$s/,$//; 1s/^/[/; $s/$/]/' >build/compile_commands.json
git add ./*.c
found=$(sh "$SOURCE_ROOT/tests/run-tidy" build | grep -c 'Unterminated' || :)
if test "$found" -eq 3
then
	echo "ok 1 - each file's finding is reported"
else
	echo "not ok 1 - $found of 3 findings are reported"
fi
echo "1..1"
