#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 the same without the disruption. Writes record.txt here.
exec python3 "$(dirname "$0")/run.py"
