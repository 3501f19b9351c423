# A state instance loses its data folder: it restarts without --bootstrap, votes
# again once it has caught up, and then another one may be lost.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

has_new_disk ()
{
  all_replicas_vote && [ "$(ctl "$O1" --state "$1" replicas list | jq -r ".replicas[] | select(.name == \"$1\") | .disk")" != "$2" ]
}

start_three_states
submit_changes a 30 "$O1" "$O2" "$O3"
disk=$(ctl "$O1" replicas list | jq -r '.replicas[] | select(.name == "s2") | .disk')
kill_now s2
rm -r "$DIR/s2.data"
start_state s2
wait_for 30 has_new_disk s2 "$disk"
kill_now s3
rm -r "$DIR/s3.data"
submit_changes b 30 "$O1" "$O2"
start_state s3
wait_for 30 all_replicas_vote
last=$(sort -n "$DIR/a.accepted" "$DIR/b.accepted" | tail -n 1 | cut -d' ' -f1)
for o in "$O1" "$O2" "$O3"; do wait_for 20 has_version "$o" "$last"; done
# An empty folder does not bootstrap a log, and a log is not bootstrapped twice.
kill "$(pid s1)"
wait_for 10 sh -c "! kill -0 $(pid s1)"
! "$BUILD/jaycove-state" --settings "$DIR/s1.json" --bootstrap 2>/dev/null
