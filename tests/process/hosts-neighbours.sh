# Guards against stale sets of entry instances, since state instances send changes
# only: one that is killed must be forgotten and be known again once it is back,
# also after the observing instance was suspended or all state instances restarted.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

# wait_for_count NUMBER [INDEX]: wait until the entry instance at INDEX, 0 by
# default, knows NUMBER other entry instances.
wait_for_count ()
{
  python3 tests/process/hosts_standin.py counted "$DIR" "${2:-0}" "$1" || { tail -n 30 "$DIR"/*.out; exit 1; }
}

ENTRIES=3
start_hosts
wait_for_count 2
kill_now e2
wait_for_count 1
start e2 "$BUILD/jaycove-entry" --settings "$DIR/e2.json"
wait_for_count 2
# Longer than the time after which unreported instances expire.
kill -STOP "$(pid e1)"
sleep 9
kill -CONT "$(pid e1)"
wait_for_count 2
kill_now s1 s2 s3
wait_for_count 0
for i in 1 2 3; do start "s$i" "$BUILD/jaycove-state" --settings "$DIR/s$i.json"; done
wait_for_count 2

# Guards against an entry instance that does not know the other regions because its
# own has no state instance: it must learn of them from the one that it follows.
kill_now e3
wait_for_count 1
sed -i 's/"region": "r1", "availability_zone": "z1"/"region": "r2", "availability_zone": "z3"/;
  s/"zones": \[/"zones": [{"name": "z3", "region": "r2"}, /' "$DIR/e3.json"
start e3 "$BUILD/jaycove-entry" --settings "$DIR/e3.json"
wait_for_count 2
wait_for_count 2 2
