# Host-based routing while an entry instance drains: see drain () of
# hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/hosts_standin.py drain "$DIR" || { tail -n 30 "$DIR"/*.out "$DIR"/*.log; exit 1; }
