#!/bin/sh
# Scripted runs of the reducer. Each NAME.script has a start record and events,
# one per line, in the format of recordings. NAME.expect has the effects that go
# to callers, backend servers and operators. All effects: filberthall replay FILE.
set -eu
bin=$BUILD_ROOT/bin/filberthall
data=$SOURCE_ROOT/tests/replay
got=$(mktemp)
trap 'rm -f "$got"' EXIT
n=0
failed=0

for script in "$data"/*.script
do
	n=$((n + 1))
	name=$(basename "$script" .script)
	"$bin" replay "$script" | grep -E \
		'"effect":"(answer|start-attempt|cancel-attempt|admin-answer)"' \
		>"$got" || :
	if diff "$data/$name.expect" "$got" >&2
	then
		echo "ok $n - $name"
	else
		echo "not ok $n - $name"
		failed=1
	fi
done
echo "1..$n"
test "$n" -gt 0 && exit $failed
