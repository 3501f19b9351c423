# Guards against requests that a stopping entry instance sends on though they
# can't end within its grace: they were cut off without an answer.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

GRACE_MS=8000
start_hosts
python3 tests/process/stop_standin.py late "$DIR" || { tail -n 30 "$DIR"/e1.out; exit 1; }
