# Guards against an answer whose head can't be read and whose failure is held
# back until the caller's deadline, or that is passed on, here or over a
# hand-over. See unreadable_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

Z2_FROM=2 Z2_REGION=r2
start_hosts
python3 tests/process/unreadable_standin.py heads "$DIR" || { tail -n 20 "$DIR"/e1.out; exit 1; }
