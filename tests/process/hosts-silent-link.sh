# Guards against requests that get neither an answer nor a refusal by their
# time-out because the link to their endpoint goes silent while the
# configuration changes: before the first byte, in the middle of a plain answer or
# of a stream, and on a connection that was idle before.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/silent_standin.py changes "$DIR" || { tail -n 60 "$DIR"/e*.out; exit 1; }
