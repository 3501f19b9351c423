# Guards against streams that callers take up, at any entry instance of any region,
# and that go on at another software version or are refused. See resumed () of
# versions_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
Z2_REGION=r2
start_hosts
python3 tests/process/versions_standin.py resumed "$DIR" "$BUILD" || { tail -n 5 "$DIR"/e*.out; exit 1; }
