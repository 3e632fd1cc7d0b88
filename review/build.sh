#!/bin/sh
# The scripts' stand-ins are plain Python, so nothing is compiled. This checks
# that the interpreter at hand reads each of them.
set -eu
cd "$(dirname "$0")"
for script in reviewsite.py [0-9]/run.py
do
	python3 -c 'import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$script"
done
