#!/bin/sh
# The stand-ins of review/4 to review/8 are Python programs of the standard
# library (review/site2.py and each case.py): there is nothing to compile. The
# scripts start the daemon that the build of deploy/system.toml leaves in
# target/bin.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import glob

for name in ["site2.py"] + sorted(glob.glob("[4-8]/case.py")):
    with open(name) as file:
        ast.parse(file.read(), name)
END
test -x ../target/bin/filberthalld || {
	echo "run the build of deploy/system.toml first" >&2
	exit 1
}
