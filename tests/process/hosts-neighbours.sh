# Guards against entry instances that lose sight of each other when they are told
# of changes alone: one that is killed is forgotten and known again once it is
# back, also after the one that counts stood still, or all state instances ended.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

counts ()
{
  python3 tests/process/hosts_standin.py counted "$DIR" "${2:-0}" "$1" || { tail -n 30 "$DIR"/*.out; exit 1; }
}

ENTRIES=3
start_hosts
counts 2
kill_now e2
counts 1
start e2 "$BUILD/jaycove-entry" --settings "$DIR/e2.json"
counts 2
# Longer than neighbours are kept without news.
kill -STOP "$(pid e1)"
sleep 9
kill -CONT "$(pid e1)"
counts 2
kill_now s1 s2 s3
counts 0
for i in 1 2 3; do start "s$i" "$BUILD/jaycove-state" --settings "$DIR/s$i.json"; done
counts 2

# Guards against a region whose state instances are all gone that forgets the
# other regions: an entry instance of it knows them by the one that it follows.
kill_now e3
counts 1
sed -i 's/"region": "r1", "availability_zone": "z1"/"region": "r2", "availability_zone": "z3"/;
  s/"zones": \[/"zones": [{"name": "z3", "region": "r2"}, /' "$DIR/e3.json"
start e3 "$BUILD/jaycove-entry" --settings "$DIR/e3.json"
counts 2
counts 2 2
