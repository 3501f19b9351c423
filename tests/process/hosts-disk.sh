# Host-based routing while the disks of state instances are full: see disk () of
# hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/hosts_standin.py disk "$DIR" || { tail -n 30 "$DIR"/*.out "$DIR"/*.log; exit 1; }
