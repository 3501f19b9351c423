# Guards against taking a signed refusal or failure of an endpoint for a whole
# answer, which would clear requests that crash endpoints.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
start_hosts
python3 tests/process/crash_standin.py refused_part "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
