# Guards against requests that end without an answer beside a configuration
# change: routes, limits and time-outs change, once and twice at the same moment,
# under kept connections that are idle, send a head or body, wait for an answer
# or read a stream.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/unanswered_standin.py changes "$DIR" || { tail -n 30 "$DIR"/e*.out; exit 1; }
