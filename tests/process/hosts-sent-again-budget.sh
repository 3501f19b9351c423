# Guards against requests that are sent again over a new connection without being
# counted: endpoints that break off kept connections got more of them than the
# budget of retries allows. See budget () of promise_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/promise_standin.py budget "$DIR" || { tail -n 5 "$DIR"/e1.out; exit 1; }
