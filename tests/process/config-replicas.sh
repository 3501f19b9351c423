# Replicas are removed and added with jaycove-ctl, and a change is checked
# offline against the configuration in force.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

# replica_is NAME VOTER STANDING: succeed if the leader lists the replica so.
replica_is ()
{
  ctl "$O1" replicas list | jq -e ".replicas[] | select(.name == \"$1\") | (.voter == $2) and (.standing == $3)"
}

start_three_states
wait_for 20 ctl "$O1" replicas remove s3
[ "$(ctl "$O1" replicas list | jq '[.replicas[] | select(.name == "s3")] | length')" = 0 ]
wait_for 20 ctl "$O1" --non-voting replicas add s3
wait_for 20 replica_is s3 false false
wait_for 20 ctl "$O1" replicas add s3
wait_for 20 all_replicas_vote
code=0
ctl "$O1" replicas remove nobody || code=$?
[ "$code" = 4 ]
submit_changes a 3 "$O1" "$O2"
wait_for 20 has_version "$O3" 3
ctl "$O3" config history | jq -e '[.changes[].version] == [3, 2, 1]'
ctl "$O1" config show >"$DIR/base.json"
echo '{"delete": [{"kind": "region", "name": "a-1"}]}' >"$DIR/delete.json"
"$BUILD/jaycove-ctl" --base "$DIR/base.json" check "$DIR/delete.json"
code=0
"$BUILD/jaycove-ctl" check "$DIR/delete.json" || code=$?
[ "$code" = 4 ]
