# Guards against callers that are told by a status that their request has not run
# though an endpoint has run it, and answered with such a status itself. See
# own_failures () of promise_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=3 Z2_FROM=3 Z2_REGION=r2
start_hosts
python3 tests/process/promise_standin.py own_failures "$DIR" || { tail -n 5 "$DIR"/e1.out; exit 1; }
