# Guards against endpoints that are set aside for good by one answer: after a moment
# in which they said that requests for them are for others, no instance asked them
# again, though they reported all the while. See misdirected_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/misdirected_standin.py "$DIR" || { tail -n 5 "$DIR"/e1.out; exit 1; }
