# Guards against endpoints that send bytes without end: callers waited until their
# deadline although another endpoint was free. See endless_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/endless_standin.py "$DIR" ${WITHIN_S:-} || { tail -n 30 "$DIR"/e1.out; exit 1; }
