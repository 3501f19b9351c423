# Guards against sending an endpoint more requests than the limit that it names
# in its answers: each entry instance kept to none, or to the limit by itself, so
# that all together went over it. See limit () of backpressure_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
start_hosts
python3 tests/process/backpressure_standin.py limit "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
