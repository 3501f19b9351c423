# Guards against entry instances that stop handing over requests of all services to
# one that refused a request because of the endpoints of a single service.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=2
Z2_FROM=2
Z2_REGION=r2
start_hosts
python3 tests/process/reach_services_standin.py refused "$DIR" || { tail -n 30 "$DIR"/e*.out; exit 1; }
