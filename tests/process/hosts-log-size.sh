# Guards against state instances that need more memory than their machines have once
# they start after many changes of a large configuration. See log_size_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

SNAPSHOT_ENTRIES=64 ENTRIES=0
start_hosts
python3 tests/process/log_size_standin.py "$DIR" "$BUILD" || { tail -n 30 "$DIR"/*.log; exit 1; }
