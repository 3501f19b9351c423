# Guards against requests being refused for good because the connections to the
# endpoints that they ran at were reset and refused: these endpoints go on.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
start_hosts
python3 tests/process/crash_standin.py refused_links "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
