# Guards against taking what another endpoint at the same address asks for as the
# word of the one that was meant. See misdirected () of backpressure_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/backpressure_standin.py misdirected "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
