# Two entry instances are drained and restarted in turn, one by a signal and one
# by an operator, while callers send requests without a pause: no request may fail,
# and the zone must serve at all times.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

# lists CALLERS_PORT NAME: succeed if the directory lists the instance NAME.
lists () { ask "$1" /v1/instances | jq -e --arg n "$2" '[.instances[].name] | index($n) != null'; }
# lists_not CALLERS_PORT NAME: succeed if the directory does not list it.
lists_not () { ask "$1" /v1/instances | jq -e --arg n "$2" '[.instances[].name] | index($n) == null'; }
# has_exited PID: succeed once the process has ended.
has_exited () { ! kill -0 "$1" 2>/dev/null; }
# start_callers NAME PATH BODY: send requests until $DIR/stop exists; counts of
# their outcomes go to $DIR/NAME.counts.
start_callers ()
{
  python3 tests/process/drain_callers.py "$CALLER_KEY" "$2" "$3" "$DIR/stop" "127.0.0.1:$C1" "127.0.0.1:$C2" >"$DIR/$1.counts" 2>"$DIR/$1.errors" &
  echo $! >"$DIR/$1.pid"
  PIDS="$PIDS $!"
}

start_two_zones
apply_demo_objects
for c in "$C1" "$C2" "$C3" "$C4"; do
  for n in e1 e2 e3 e4; do wait_for 10 lists "$c" "$n"; done
done
# The nearest zone comes first.
ask "$C3" /v1/instances | jq -e '[.instances[].name] == ["e3", "e4", "e1", "e2"]'
start_callers plain /r/balance/lookup '{}'
start_callers stream /r/assist/v1/chat/completions '{"max_tokens": 40, "stream": true}'

# A signal drains e2 while a long stream is under way; a second signal changes nothing.
ask "$C2" /r/assist/v1/chat/completions '{"max_tokens": 500, "stream": true}' >"$DIR/long" &
long=$!
wait_for 10 test -s "$DIR/long"
p=$(pid e2)
kill "$p"
wait_for 10 lists_not "$C1" e2
wait_for 10 lists_not "$C3" e2
ask "$C2" /r/balance/lookup '{}' | jq -e '.error.kind == "draining" and .error.run == "not_run"'
kill "$p"
wait "$long"
tail -n 2 "$DIR/long" | grep -q 'data: \[DONE\]'
wait_for 20 has_exited "$p"
code=0; wait "$p" || code=$?
[ "$code" = 0 ]
start e2 "$BUILD/jaycove-entry" --settings "$DIR/e2.json"
wait_for 10 lists "$C1" e2
wait_for 10 has_endpoints "$O2" 2

# An operator drains e1.
p=$(pid e1)
curl -sS -X POST -H "Authorization: Bearer $TOKEN" "http://127.0.0.1:$O1/drain" | jq -e .draining
wait_for 10 lists_not "$C2" e1
wait_for 20 has_exited "$p"
code=0; wait "$p" || code=$?
[ "$code" = 0 ]
start e1 "$BUILD/jaycove-entry" --settings "$DIR/e1.json"
wait_for 10 lists "$C2" e1
wait_for 10 has_endpoints "$O1" 2

touch "$DIR/stop"
for c in plain stream; do
  wait "$(pid $c)"
  cat "$DIR/$c.counts" "$DIR/$c.errors"
  grep -qx 'failed 0' "$DIR/$c.counts"
  [ "$(sed -n 's/^complete //p' "$DIR/$c.counts")" -gt 0 ]
done
