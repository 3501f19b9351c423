# Guards against a fault in which an entry instance goes on sending to an endpoint that answered 503 with
# Retry-After, so that callers were refused although another endpoint was free. See pause ()
# of backpressure_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
start_hosts
python3 tests/process/backpressure_standin.py pause "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
