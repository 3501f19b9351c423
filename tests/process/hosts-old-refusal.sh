# Guards against an earlier refusal that an endpoint writes once more on a kept
# connection and that callers get for requests that ran, or that makes such
# requests run twice. See old_refusal () of refusal_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/refusal_standin.py old_refusal "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
