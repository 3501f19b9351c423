# Guards against callers that are told that their request has not run, since it was
# refused when it was sent again over a new connection, though it ran the first
# time. See sent_again () of promise_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/promise_standin.py sent_again "$DIR" || { tail -n 5 "$DIR"/e1.out; exit 1; }
