# Guards against an entry instance that starts after a zone was readmitted, takes the
# last report of a cold endpoint for proof that it is warm, and sends to it at the
# full rate. See cold_start_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=11 Z2_FROM=2 REPORT_MS=1200
start_hosts
python3 tests/process/cold_start_standin.py "$DIR" "$BUILD" || { tail -n 30 "$DIR"/e*.out; exit 1; }
