#!/bin/sh
# Prints the wake-ups per second of each process of an idle cluster with host-based
# routing: voluntary context switches over 10 s, from 5 s after the start.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

# switches NAME: print the voluntary context switches of a process so far.
switches ()
{
  sed -n 's/^voluntary_ctxt_switches:[^0-9]*//p' "/proc/$(pid "$1")/status"
}

start_hosts
sleep 5
for name in s1 s2 s3 e1 e2; do switches "$name" >"$DIR/$name.before"; done
sleep 10
for name in s1 s2 s3 e1 e2; do
  echo "$name $((($(switches "$name") - $(cat "$DIR/$name.before")) / 10)) wake-ups/s"
done
