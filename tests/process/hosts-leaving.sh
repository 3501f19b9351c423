# Guards against a fault in which an entry instance goes on sending to an endpoint whose answers say that it
# leaves, as long as its reports do not say so. See leaving ()
# of backpressure_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
start_hosts
python3 tests/process/backpressure_standin.py leaving "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
