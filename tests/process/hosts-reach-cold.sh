# Guards against cold endpoints that get no requests because they were granted to an
# entry instance that has lost its links to the endpoints of their service.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=2
start_hosts
python3 tests/process/reach_services_standin.py cold "$DIR" || { tail -n 30 "$DIR"/e*.out; exit 1; }
