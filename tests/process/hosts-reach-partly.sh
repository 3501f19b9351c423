# Guards against refused requests and repeated attempts at endpoints that are down
# where one endpoint of the service can still be reached.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/reach_services_standin.py partly "$DIR" || { tail -n 30 "$DIR"/e*.out; exit 1; }
