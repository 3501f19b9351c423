# Guards against overload of a cold endpoint by entry instances that know of no
# other one and so each send to it. See cold () of hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
start_hosts
python3 tests/process/hosts_standin.py cold "$DIR" || { tail -n 30 "$DIR"/*.out "$DIR"/*.log; exit 1; }
