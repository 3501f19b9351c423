# Guards against guesses: nothing tells which software version began a stream that
# a caller takes up with an invented id. See unknown () of versions_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
Z2_REGION=r2
start_hosts
python3 tests/process/versions_standin.py unknown "$DIR" "$BUILD" || { tail -n 5 "$DIR"/e*.out; exit 1; }
