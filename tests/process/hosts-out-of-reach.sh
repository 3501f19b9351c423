# Guards against entry instances that have lost their links to the endpoints of
# their region and serve their callers badly: they must not go on trying, nor hand
# requests to others without reach, and must use the links again once they are back.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=3
Z2_FROM=3
Z2_REGION=r2
start_hosts
python3 tests/process/reach_standin.py "$DIR" || { tail -n 30 "$DIR"/e*.out; exit 1; }
