# Guards against a run that goes on for an instance which handed it over and is
# cut off: past the deadline that it told, or until the connection is given up
# after ten seconds; and against streams that end though the link was only
# silent for a moment, or though the other instance only didn't read. See
# peer_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

ENTRIES=1
start_hosts
python3 tests/process/peer_standin.py "$DIR" || { tail -n 20 "$DIR"/e1.out; exit 1; }
