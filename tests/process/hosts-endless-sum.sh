# Guards against answers and bodies that are bounded each, but not all together: an
# entry instance kept 1.3 GB of 100 endless answers. See endless_sum_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/endless_sum_standin.py "$DIR" || { tail -n 5 "$DIR"/e1.out; exit 1; }
