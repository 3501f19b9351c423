# Guards against cutting a stream that only pauses because another endpoint was
# found for it, although the next attempt is refused: requests with a part of its
# prompt are blocked.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/unanswered_standin.py blocked "$DIR" || { tail -n 30 "$DIR"/e*.out; exit 1; }
