# Guards against requests that run without a valid key of a workspace, or for
# another one than the key's, at six entry instances in two regions: see keys ()
# of keys_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=6
Z2_FROM=4
Z2_REGION=r2
start_hosts
python3 tests/process/keys_standin.py keys "$DIR" || { tail -n 30 "$DIR"/e*.out; exit 1; }
