# Guards against streams that go on, within an answer, at an endpoint of another
# software version after the first one broke the connection. See within () of
# versions_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
Z2_REGION=r2
start_hosts
python3 tests/process/versions_standin.py within "$DIR" "$BUILD" || { tail -n 5 "$DIR"/e*.out; exit 1; }
