#!/bin/sh
# Runs the process test TEST, a path, N times beside LOAD busy processes, and keeps
# the traces of each run that fails in $BUILD/repeated/. Prints how many failed,
# and ends with 1 if any did. Usage: repeat.sh TEST N LOAD.
set -u
: "${BUILD:=build}"
test=$1
runs=$2
load=$3
busy=
failed=0
kept=$BUILD/failed/$(basename "$test" .sh)
out=$(mktemp)
trap 'for p in $busy; do kill "$p" 2>/dev/null; done; rm -f "$out"' EXIT
trap 'exit 2' INT TERM
for _ in $(seq 1 "$load"); do
  sh -c 'while :; do :; done' &
  busy="$busy $!"
done
for run in $(seq 1 "$runs"); do
  rm -rf "$kept"
  BUILD=$BUILD sh "$test" >"$out" 2>&1
  code=$?
  [ $code -ne 0 ] && [ $code -ne 77 ] || continue
  failed=$((failed + 1))
  to=$BUILD/repeated/$(basename "$test" .sh)-$$-$run
  mkdir -p "$to"
  cp "$out" "$to/output"
  [ ! -d "$kept" ] || cp -r "$kept/." "$to/"
  echo "run $run ended with $code, kept in $to:"
  grep -v '^time=' "$out" | tail -n 3
done
echo "$failed of $runs runs of $test failed beside $load busy processes"
[ "$failed" -eq 0 ]
