#!/bin/sh
# Plays seeds of the fault soak one after another and prints what was broken.
# Usage: run.sh FIRST COUNT SECONDS [NET]. Runs beside each other need a NET
# each (20 to 200), the third number of the processes' IP numbers.
set -u
: "${BUILD:=build}"
broken=0
for seed in $(seq "$1" $(($1 + $2 - 1))); do
  python3 tests/soak/soak.py "$BUILD" "$seed" "$3" "${4:-20}" || broken=$((broken + 1))
done
echo "$2 seeds, $broken with a broken promise"
[ "$broken" -eq 0 ]
