#!/bin/sh
# An operator asks each command how it is used. `explain --help` answered
# BAD_REQUEST, and `check --help` looked for a file of that name.
set -eu
bin=$BUILD_ROOT/bin/filberthall
n=0
for command in $("$bin" --help | sed -n '/^Commands:/,/^$/s/^  \([a-z]*\) .*/\1/p')
do
	n=$((n + 1))
	got=0
	out=$("$bin" "$command" --help 2>/dev/null) || got=$?
	case "$got $out" in
	"0 Usage: "*) echo "ok $n - $command --help" ;;
	*) echo "not ok $n - $command --help: $got $out" ;;
	esac
done
n=$((n + 1))
if test "$n" -gt 10
then
	echo "ok $n - all commands were asked"
else
	echo "not ok $n - only $n commands were found"
fi
echo "1..$n"
