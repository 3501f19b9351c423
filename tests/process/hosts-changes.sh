# Host-based routing while endpoints crash, drain and are evacuated, and after a
# state instance is killed: see changes () of hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/hosts_standin.py changes "$DIR" || { tail -n 30 "$DIR"/*.out "$DIR"/*.log; exit 1; }
