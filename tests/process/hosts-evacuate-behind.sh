# Guards against an evacuation that a replica which lags acknowledges without an entry in the log.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

# The lease of an endpoint, five times this, outlasts the suspension.
REPORT_MS=3000
start_hosts
python3 tests/process/missed_standin.py evacuation "$DIR" || { tail -n 30 "$DIR"/e1.out "$DIR"/s*.out; exit 1; }
