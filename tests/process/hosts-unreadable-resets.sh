# Guards against an answer without a length that is reset during an upload and
# reaches its caller as whole, here or over a hand-over. See
# unreadable_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

Z2_FROM=2 Z2_REGION=r2
start_hosts
python3 tests/process/unreadable_standin.py resets "$DIR" || { tail -n 20 "$DIR"/e1.out; exit 1; }
