# Guards against an old belief of an endpoint's software version: it starts again
# under its name and address with another one, and its report comes late. See
# restarted () of versions_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
Z2_REGION=r2
start_hosts
python3 tests/process/versions_standin.py restarted "$DIR" "$BUILD" || { tail -n 5 "$DIR"/e*.out; exit 1; }
