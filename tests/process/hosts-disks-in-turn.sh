# Guards against state instances that refuse changes for long, or for good, after
# their disks were full one after another, with and without a spare instance.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

# ROUNDS and SEED are for longer runs by hand, and so is GROUPS_LIST, a list of
# STATES,LOSSES,SNAPSHOT_ENTRIES,FULL_S.
ENTRIES=1
for group in ${GROUPS_LIST:-3,1,16,0.8 3,1,100000,0.8 4,1,16,4}; do
  IFS=, read -r STATES LOSSES SNAPSHOT_ENTRIES full_s <<X
$group
X
  start_hosts
  python3 tests/process/disk_standin.py in_turn "$DIR" "${ROUNDS:-1}" "${SEED:-1}" "$full_s" || { tail -n 30 "$DIR"/s*.out "$DIR"/s*.log; exit 1; }
  for i in $(seq 1 "$STATES"); do kill_now "s$i"; done
  kill_now e1
  rm -r "$DIR"/s[1-9]
done
