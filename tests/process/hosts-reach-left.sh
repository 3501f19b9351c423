# Guards against an entry instance that the directory goes on naming last because of
# a service whose endpoints it had lost its links to and which have left since.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=2
start_hosts
python3 tests/process/reach_services_standin.py left "$DIR" || { tail -n 30 "$DIR"/e*.out; exit 1; }
