# Routing by hosts as processes, with stand-ins that speak the platform's wire:
# see path () of hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/hosts_standin.py path "$DIR" || { tail -n 30 "$DIR"/*.out "$DIR"/*.log; exit 1; }
