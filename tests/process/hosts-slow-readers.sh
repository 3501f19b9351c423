# Guards against answers that are lost because their callers read slowly, though
# there is room to keep them, and against an instance that takes more memory
# than it has for 200 such callers. See slow_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
# The lease of an endpoint, five times this, outlasts the moments in which the
# test, which is its endpoints and all callers at once, doesn't report.
REPORT_MS=2000
start_hosts
python3 tests/process/slow_standin.py "$DIR" || { tail -n 8 "$DIR"/e1.out; exit 1; }
