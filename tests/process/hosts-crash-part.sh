# Guards against sending requests with a part in their prompts that crashes each
# endpoint that begins to answer it to endpoint after endpoint.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=4
Z2_FROM=3
OPERATOR_TOKEN=operator
start_hosts
python3 tests/process/crash_standin.py prompt_part "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
