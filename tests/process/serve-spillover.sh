# Requests of a region whose endpoints are gone are answered by the other
# region, plain and streamed. A request whose residency keeps it in its region
# is refused as not run. If the instances of the other region are killed in the
# middle of a stream, the caller gets an error event and not an answer that
# looks complete.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

# no_endpoints OPERATORS_PORT: succeed once the instance knows no endpoint.
no_endpoints ()
{
  [ "$(ctl "$1" status | jq .endpoints)" = 0 ]
}

# remote_answers CALLERS_PORT: succeed once the other region answers.
remote_answers ()
{
  send_request "$1" /r/assist/v1/chat/completions '{"max_tokens": 2}' | jq -e '.choices[0].message.content == "w0 w1"'
}

# is_refused KIND: succeed if the answer on stdin is an error of KIND that was
# not run.
is_refused ()
{
  jq -e ".error.kind == \"$1\" and .error.run == \"not_run\""
}

# explain OPERATORS_PORT ROUTE: print how a request of ROUTE would be routed.
explain ()
{
  curl -sS -m 5 -H "Authorization: Bearer $TOKEN" "http://127.0.0.1:$1/explain?product=treasury&route=$2"
}

# has_events COUNT FILE: succeed once FILE holds so many events.
has_events ()
{
  [ "$(grep -c '^data: {' "$2")" -ge "$1" ]
}

# work_cancelled: succeed once the other region's engine had work cancelled.
work_cancelled ()
{
  curl -sS -m 5 "http://$(cat "$DIR/engine-2.out")/counts" | grep -q '^cancelled [1-9]'
}

# no_endpoint_left: succeed once a request is refused because no region has an
# endpoint for it.
no_endpoint_left ()
{
  send_request "$C1" /r/assist/v1/chat/completions '{"max_tokens": 2}' | is_refused no_endpoint
}

# must_fail COMMAND...: succeed if the command fails.
must_fail ()
{
  if "$@"; then echo "did not fail: $*" >&2; return 1; fi
}

start_two_zones
apply_demo_objects
echo '{"put": [{"kind": "link", "name": "ost-sued", "a": "at-ost", "b": "at-sued", "latency_ms": 1},
 {"kind": "residency", "name": "ost", "regions": ["at-ost"]},
 {"kind": "route", "name": "bound", "product": "treasury", "service": "assist-llm", "model_version": "assist-7b-v1", "priority": "interactive", "residency": "ost"}]}' >"$DIR/more.json"
ctl "$O1" --expected-version 1 --change-id more apply "$DIR/more.json"
for o in "$O1" "$O2" "$O3" "$O4"; do wait_for 10 has_version "$o" 2; done
kill "$(pid engine-1)" "$(pid service-1)"
wait_for 15 no_endpoints "$O1"
wait_for 15 remote_answers "$C1"
explain "$O1" assist | jq -e '.goes_to == "at-sued" and .allowed_here and .endpoint == null'
explain "$O3" assist | jq -e '.goes_to == "at-sued" and .endpoint == "engine-2" and (.other_regions | length) == 1'
explain "$O3" bound | jq -e '.allowed_here | not'
send_request "$C1" /r/assist/v1/chat/completions '{"max_tokens": 50, "stream": true}' >"$DIR/stream"
[ "$(grep -c '^data: {' "$DIR/stream")" = 50 ]
tail -n 2 "$DIR/stream" | grep -q 'data: \[DONE\]'
curl -sS -m 20 -D "$DIR/head" -o "$DIR/body" -H "Authorization: Bearer $CALLER_KEY" -d '{"max_tokens": 2}' "http://127.0.0.1:$C1/r/assist/v1/chat/completions"
grep -qi '^X-Jaycove-Region: at-sued' "$DIR/head"
send_request "$C1" /r/bound/v1/chat/completions '{"max_tokens": 2}' | is_refused no_endpoint
send_request "$C3" /r/bound/v1/chat/completions '{"max_tokens": 2}' | is_refused residency_denied

curl -sSN -m 60 -H "Authorization: Bearer $CALLER_KEY" -d '{"max_tokens": 100000, "stream": true}' "http://127.0.0.1:$C1/r/assist/v1/chat/completions" >"$DIR/left" &
caller=$!
wait_for 20 has_events 3 "$DIR/left"
kill "$caller"
wait_for 10 work_cancelled

curl -sSN -m 60 -H "Authorization: Bearer $CALLER_KEY" -d '{"max_tokens": 100000, "stream": true}' "http://127.0.0.1:$C1/r/assist/v1/chat/completions" >"$DIR/cut" &
caller=$!
wait_for 20 has_events 3 "$DIR/cut"
kill_now e3 e4
must_fail wait "$caller"
grep -q '^event: error' "$DIR/cut"
grep -q stream_broken "$DIR/cut"
must_fail grep -q DONE "$DIR/cut"
wait_for 15 no_endpoint_left
