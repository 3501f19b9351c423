# Guards against refused take-ups just after all entry instances came back, where
# only one software version has ever served. See only_killed () of
# versions_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
Z2_REGION=r2
start_hosts
python3 tests/process/versions_standin.py only_killed "$DIR" "$BUILD" || { tail -n 5 "$DIR"/e*.out; exit 1; }
