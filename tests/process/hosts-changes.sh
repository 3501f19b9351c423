# Host-based routing while endpoints crash, drain and are evacuated, and after a
# state instance is killed: see changes () of hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
# What failed comes last: a long output is cut off before its end.
python3 tests/process/hosts_standin.py changes "$DIR" 2>"$DIR/changes.err" \
  || { tail -n 30 "$DIR"/*.out "$DIR"/*.log; tail -n 20 "$DIR/changes.err"; exit 1; }
