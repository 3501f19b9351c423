# Guards against refused take-ups where only one software version has ever served,
# so that any endpoint may go on. See only () of versions_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
Z2_REGION=r2
start_hosts
python3 tests/process/versions_standin.py only "$DIR" "$BUILD" || { tail -n 5 "$DIR"/e*.out; exit 1; }
