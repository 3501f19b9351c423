# Guards against a leave that an endpoint says in an answer and that is lost where the state instance which is told of
# it has just started. See leaving_unknown () of backpressure_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

# The lease of an endpoint, five times this, outlasts the test: its reports end.
REPORT_MS=9000
start_hosts
python3 tests/process/backpressure_standin.py leaving_unknown "$DIR" || { grep -h leaving= "$DIR"/*.out | tail -n 20; exit 1; }
