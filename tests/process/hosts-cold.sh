# Guards against entry instances that each send to a cold endpoint while they
# hear of nobody else: see cold () of hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
start_hosts
python3 tests/process/hosts_standin.py cold "$DIR" || { tail -n 30 "$DIR"/*.out "$DIR"/*.log; exit 1; }
