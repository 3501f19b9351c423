# A stream whose engine is killed goes on at another engine without a lost or
# repeated event. A frozen engine fails no request. Work for a caller that closes
# its connection is cancelled.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

# start_engine NAME: start an engine of zone 1 that takes 20 ms for each token, so
# that a fault hits it while it answers.
start_engine ()
{
  start "$1" "$BUILD/tests/standin-engine" --name "$1" --service assist-llm --model assist-7b-v1 --listen 127.0.0.1:0 --entry "127.0.0.1:$C1" --entry "127.0.0.1:$C2" --token-ms 20
}

# has_events COUNT FILE: succeed once FILE holds so many events.
has_events ()
{
  [ "$(grep -c '^data: {' "$2")" -ge "$1" ]
}

# is_idle OPERATORS_PORT: succeed once nothing is in flight.
is_idle ()
{
  [ "$(ctl "$1" status | jq .in_flight)" = 0 ]
}

# engine_count ENGINE COUNTER: print a counter of an engine.
engine_count ()
{
  curl -sS -m 5 "http://$(cat "$DIR/$1.out")/counts" | sed -n "s/^$2 //p"
}

# work_cancelled: succeed once an engine had work cancelled.
work_cancelled ()
{
  [ "$(($(engine_count engine-a cancelled) + $(engine_count engine-b cancelled)))" -ge 1 ]
}

# stream FILE TOKENS: send a streamed request.
stream ()
{
  curl -sSN -m 60 -D "$1.head" -H "Authorization: Bearer $CALLER_KEY" -d "{\"max_tokens\": $2, \"stream\": true}" "http://127.0.0.1:$C1/r/assist/v1/chat/completions" >"$1"
}

start_two_zones
apply_demo_objects
kill "$(pid engine-1)"
start_engine engine-a
wait_for 10 has_endpoints "$O1" 2
start_engine engine-b
wait_for 10 has_endpoints "$O1" 3
stream "$DIR/whole" 40
before=$(engine_count engine-a total)
stream "$DIR/cut" 100 &
caller=$!
wait_for 20 has_events 10 "$DIR/cut"
if [ "$(engine_count engine-a total)" = "$before" ]; then victim=engine-b other=engine-a; else victim=engine-a other=engine-b; fi
kill_now $victim
wait "$caller"
[ "$(grep -c '^data: {' "$DIR/cut")" = 100 ]
[ "$(sort "$DIR/cut" | uniq -d | grep -c '^data: {')" = 0 ]
tail -n 2 "$DIR/cut" | grep -q 'data: \[DONE\]'

start_engine "$victim"
wait_for 10 has_endpoints "$O1" 3
kill -STOP "$(pid $victim)"
for i in 1 2 3 4; do
  curl -sS -m 30 -H "Authorization: Bearer $CALLER_KEY" -H 'X-Deadline-Ms: 9000' -d '{"max_tokens": 2}' "http://127.0.0.1:$C1/r/assist/v1/chat/completions" | jq -e '.choices[0].message.content == "w0 w1"'
done
kill -CONT "$(pid $victim)"

curl -sSN -m 60 -H "Authorization: Bearer $CALLER_KEY" -d '{"max_tokens": 100000, "stream": true}' "http://127.0.0.1:$C1/r/assist/v1/chat/completions" >"$DIR/left" &
caller=$!
wait_for 20 has_events 3 "$DIR/left"
kill "$caller"
wait_for 10 is_idle "$O1"
wait_for 10 work_cancelled
