# Guards against another writer's reports that take endpoints away: two for each
# of six endpoints, with a start or a sequence of 2^62, under their names or with
# their addresses, left none of the sound requests served.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

for what in numbers taken refused zones; do
  start_hosts
  python3 tests/process/odd_standin.py $what "$DIR" || { tail -n 5 "$DIR"/*.out; exit 1; }
  stop_all
  DIR=$(mktemp -d)
  PIDS=
done
