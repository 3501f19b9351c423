# Guards against streams that callers take up in a region without endpoints of the
# software version that began them, and that go on at another one or are refused
# there. See regions () of versions_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
Z2_REGION=r2
start_hosts
python3 tests/process/versions_standin.py regions "$DIR" "$BUILD" || { tail -n 5 "$DIR"/e*.out; exit 1; }
