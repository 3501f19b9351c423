# Guards against requests that get neither an answer nor a refusal because they
# are handed over to an instance of another region that holds another version of
# the configuration: it may lack their route, have it at another service or have
# other limits.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=3
Z2_FROM=2
Z2_REGION=r2
start_hosts
python3 tests/process/handover_standin.py changes "$DIR" || { tail -n 60 "$DIR"/e*.out; exit 1; }
