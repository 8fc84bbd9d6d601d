#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
TROUBLE="${TROUBLE:-1}" exec python3 -B "$(dirname "$0")/case.py"
