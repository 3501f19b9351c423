# Guards against requests that block on the log: the standard output of one entry
# instance is a pipe that nobody reads. See blocked_log () of hosts_standin.py.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

start_hosts
kill "$(pid e1)"
wait_for 10 sh -c "! kill -0 $(pid e1)"
mkfifo "$DIR/pipe"
python3 -c 'import os, sys, time; os.open(sys.argv[1], os.O_RDONLY | os.O_NONBLOCK); time.sleep(600)' "$DIR/pipe" &
PIDS="$PIDS $!"
"$BUILD/jaycove-entry" --settings "$DIR/e1.json" >"$DIR/pipe" 2>"$DIR/e1.log" &
echo $! >"$DIR/e1.pid"
PIDS="$PIDS $!"
python3 tests/process/hosts_standin.py blocked_log "$DIR" || { tail -n 30 "$DIR"/*.out "$DIR"/*.log; exit 1; }
