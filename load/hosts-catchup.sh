#!/bin/sh
# Measures how long a state instance takes to catch up after it missed 1,000
# changes, with host-based routing: see catch_up () in
# tests/process/hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/hosts_standin.py catch_up "$DIR" &
driver=$!
# The driver has killed s3 and sent the changes once s3.old exists.
while [ ! -e "$DIR/s3.old" ]; do
  kill -0 "$driver" 2>/dev/null || exit 1
  sleep 0.1
done
start s3 "$BUILD/jaycove-state" --settings "$DIR/s3.json"
wait "$driver"
