# Guards against a request whose time ends in the wait queue and that is then sent
# without any time-out: it got neither an answer nor a refusal.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
# A stopped entry instance still counts on its endpoint.
REPORT_MS=2000
start_hosts
python3 tests/process/unanswered_standin.py queued "$DIR" || { tail -n 30 "$DIR"/e*.out; exit 1; }
