# The leader is killed during 200 submissions of two racing operators. Every
# version is assigned to one change, every accepted change is in the history at
# its version, and all entry instances end with the same version.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

accepted ()
{
  cat "$DIR/a.accepted" "$DIR/b.accepted" 2>/dev/null | wc -l
}

some_accepted ()
{
  [ "$(accepted)" -ge "$1" ]
}

start_three_states
submit_changes a 100 "$O1" "$O2" "$O3" &
A=$!
submit_changes b 100 "$O2" "$O3" "$O1" &
B=$!
PIDS="$PIDS $A $B"
wait_for 60 some_accepted 20
killed=$(leader "$O1")
kill_now "$killed"
wait_for 60 some_accepted 50
start_state "$killed"
wait "$A" "$B"
last=$(sort -n "$DIR/a.accepted" "$DIR/b.accepted" | tail -n 1 | cut -d' ' -f1)
[ "$(sort -n "$DIR/a.accepted" "$DIR/b.accepted" | cut -d' ' -f1 | uniq -d)" = "" ]
[ "$(accepted)" = "$last" ]
for o in "$O1" "$O2" "$O3"; do wait_for 20 has_version "$o" "$last"; done
while read -r version id; do
  ctl "$O2" config diff "$version" | jq -e ".objects | has(\"region/$id\")" >/dev/null
done <"$DIR/a.accepted"
echo "accepted $last of 200"
