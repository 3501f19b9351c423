# Guards against an entry instance that starts, knows no configuration yet and
# grants others all that they ask for, as if no workspace had a quota: see
# restarted () of quota_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

OPERATOR_TOKEN=operator
start_hosts
export BUILD
mkfifo "$DIR/go"
python3 tests/process/quota_standin.py restarted "$DIR" <"$DIR/go" >"$DIR/standin.out" 2>&1 &
standin=$!
exec 3>"$DIR/go"
wait_for 60 grep -q "states stopped" "$DIR/standin.out"
kill_now e2
start e2 "$BUILD/jaycove-entry" --settings "$DIR/e2.json"
wait_for 10 grep -q "event=peer_up peer=e1" "$DIR/e2.out"
echo go >&3
wait "$standin" || { cat "$DIR/standin.out"; grep -h event=quota "$DIR"/e*.out | tail -n 20; exit 1; }
cat "$DIR/standin.out"
