# Host-based routing end to end, from the configuration over the directory to each
# kind of request: see path () of hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
python3 tests/process/hosts_standin.py path "$DIR" || { tail -n 30 "$DIR"/*.out "$DIR"/*.log; exit 1; }

# Guards against an entry instance that fetches the orders from every state
# instance: one that starts late gets them from the one that it follows, though
# the heartbeats of all three show that it lags.
kill_now e1
start e1 "$BUILD/jaycove-entry" --settings "$DIR/e1.json"
wait_for 10 grep -q event=in_force "$DIR/e1.out"
wait_for 10 sh -c "[ \$(grep -c 'event=peer_up.*role=state' $DIR/e1.out) -ge 3 ]"
sleep 1
if grep event=orders_asked "$DIR/e1.out"; then
  exit 1
fi
