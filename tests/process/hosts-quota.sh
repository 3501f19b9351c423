# Guards against a workspace's requests going over its quota, summed over six entry
# instances in two regions, and against shares that don't follow its callers: see
# quota () of quota_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

OPERATOR_TOKEN=operator
ENTRIES=6
Z2_FROM=4
Z2_REGION=r2
start_hosts
export BUILD
python3 tests/process/quota_standin.py quota "$DIR" || { grep -h what= "$DIR"/e*.out | tail -n 30; exit 1; }
