# Guards against entry instances that lose sight of each other when they are told
# of changes alone: one that is killed is forgotten and known again once it is
# back, also after the one that counts stood still, or all state instances ended.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

counts ()
{
  python3 tests/process/hosts_standin.py counted "$DIR" "$1" || { tail -n 30 "$DIR"/*.out; exit 1; }
}

ENTRIES=3
start_hosts
counts 2
kill -9 "$(pid e2)"
counts 1
start e2 "$BUILD/jaycove-entry" --settings "$DIR/e2.json"
counts 2
# Longer than neighbours are kept without news.
kill -STOP "$(pid e1)"
sleep 9
kill -CONT "$(pid e1)"
counts 2
kill -9 "$(pid s1)" "$(pid s2)" "$(pid s3)"
counts 0
for i in 1 2 3; do start "s$i" "$BUILD/jaycove-state" --settings "$DIR/s$i.json"; done
counts 2
