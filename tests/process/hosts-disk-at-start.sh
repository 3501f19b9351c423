# Guards against a state instance that ends because its disk takes no bytes while
# it starts. See disk_at_start () of hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/hosts_standin.py disk_at_start "$DIR" "$BUILD" || { tail -n 30 "$DIR"/*.log; exit 1; }
