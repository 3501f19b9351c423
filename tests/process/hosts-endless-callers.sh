# Guards against clients of any listener that send bytes without end and so hold
# connections and memory or delay other callers. See endless_callers.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/endless_callers.py "$DIR" || { tail -n 30 "$DIR"/e1.out; exit 1; }
