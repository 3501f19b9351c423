# Guards against streams joined from two runs: an attempt broke after events
# without an id, and another endpoint was sent the request and sent them again, or
# others in their place. See bare () of cut_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=2
Z2_FROM=2
Z2_REGION=r2
start_hosts
python3 tests/process/cut_standin.py bare "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
