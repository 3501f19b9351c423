# Guards against sending a request that crashes each endpoint that runs it, and
# that comes again and again, to endpoint after endpoint, and against refusing
# sound requests that share parts of its prompt.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
start_hosts
python3 tests/process/crash_standin.py same_request "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
