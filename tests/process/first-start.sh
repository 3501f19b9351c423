# Guards the documented first start: one state instance bootstraps the log, two
# others join as replicas, and objects are checked and applied. Then the first
# instance loses its process and its disk: changes must still be accepted, and
# the instance must have them after it rejoins with an empty data folder.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

# has_voters COUNT: succeed if COUNT replicas are voters.
has_voters ()
{
  [ "$(ctl "$O1" replicas list | jq '[.. | objects | select(.voter? == true)] | length')" = "$1" ]
}

O1=$(port); C1=$(port); R1=$(port)
for i in 1 2 3; do eval "S$i=$(port)"; done
all="$(peer s1 "$S1" at-ost at-ost-1), $(peer s2 "$S2" at-sued at-sued-1), $(peer s3 "$S3" at-west at-west-1)"
state_settings s1 at-ost at-ost-1 "$S1" "$(port)" "$(peer s2 "$S2" at-sued at-sued-1), $(peer s3 "$S3" at-west at-west-1)"
state_settings s2 at-sued at-sued-1 "$S2" "$(port)" "$(peer s1 "$S1" at-ost at-ost-1), $(peer s3 "$S3" at-west at-west-1)"
state_settings s3 at-west at-west-1 "$S3" "$(port)" "$(peer s1 "$S1" at-ost at-ost-1), $(peer s2 "$S2" at-sued at-sued-1)"
entry_settings e1 at-ost at-ost-1 "$C1" "$O1" "$R1" "$all" ""
start s1 "$BUILD/jaycove-state" --settings "$DIR/s1.json" --bootstrap
start s2 "$BUILD/jaycove-state" --settings "$DIR/s2.json"
start s3 "$BUILD/jaycove-state" --settings "$DIR/s3.json"
start e1 "$BUILD/jaycove-entry" --settings "$DIR/e1.json"
wait_for 20 has_voters 3
"$BUILD/jaycove-ctl" check examples/kassenwerk/objects.json
ctl "$O1" --expected-version 0 --change-id first apply examples/kassenwerk/objects.json
wait_for 10 has_version "$O1" 1
ctl "$O1" config history | jq -e '.changes[0].change_id == "first"'
ctl "$O1" config show >"$DIR/base.json"
echo '{"put": [{"kind": "availability_zone", "name": "at-ost-2", "region": "at-ost"}]}' >"$DIR/second.json"
"$BUILD/jaycove-ctl" --base "$DIR/base.json" check "$DIR/second.json"
kill_now s1
rm -r "$DIR/s1.data"
wait_for 20 ctl "$O1" --expected-version 1 --change-id second apply "$DIR/second.json"
start s1 "$BUILD/jaycove-state" --settings "$DIR/s1.json"
wait_for 20 has_version "$O1" 2
wait_for 20 has_voters 3
