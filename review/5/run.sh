#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 does
# the same without the disruption. What was sent, answered and run is written
# to record.txt in this folder.
cd "$(dirname "$0")" && TROUBLE=${TROUBLE-1} exec python3 -B case.py
