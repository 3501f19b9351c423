# Guards against answers that an endpoint cut, also in the middle of their head,
# and that callers get as a 200 with an empty or short body that looks complete.
# See cuts () of cut_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=2
Z2_FROM=2
Z2_REGION=r2
start_hosts
python3 tests/process/cut_standin.py cuts "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
