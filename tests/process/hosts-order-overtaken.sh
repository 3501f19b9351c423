# Guards against an order that is applied after a later one, since it waited at a suspended instance.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

# The lease of an endpoint, five times this, outlasts the suspension.
REPORT_MS=3000
start_hosts
python3 tests/process/missed_standin.py overtaken "$DIR" || { tail -n 30 "$DIR"/e1.out "$DIR"/s*.out; exit 1; }
