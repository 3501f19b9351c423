# Guards against errors of an endpoint that callers find in the middle of their
# stream, and against streams that end there as if they were complete: an attempt
# broke off, and the next endpoint answers with an error or with something else
# that doesn't go on with the stream. See odd () of cut_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=2
Z2_FROM=2
Z2_REGION=r2
start_hosts
python3 tests/process/cut_standin.py odd "$DIR" || { tail -n 5 "$DIR"/e*.out; exit 1; }
