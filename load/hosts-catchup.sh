#!/bin/sh
# Measures the catch-up of a state instance after 1,000 changes, routing by
# hosts: see catch_up () of tests/process/hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/hosts_standin.py catch_up "$DIR" &
measured=$!
while [ ! -e "$DIR/s3.old" ]; do
  kill -0 "$measured" 2>/dev/null || exit 1
  sleep 0.1
done
start s3 "$BUILD/jaycove-state" --settings "$DIR/s3.json"
wait "$measured"
