# Requests through real processes: plain and streamed answers of both services,
# from each entry instance also after the state instance was killed.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

start_two_zones
apply_demo_objects
send_request "$C1" /v1/instances | jq -e '.instances | length >= 1'
send_request "$C1" /r/assist/v1/chat/completions '{"max_tokens": 3}' | jq -e '.choices[0].message.content == "w0 w1 w2"'
send_request "$C3" /r/assist/v1/chat/completions '{"max_tokens": 2, "stream": true}' >"$DIR/stream"
[ "$(grep -c '^data: {' "$DIR/stream")" = 2 ]
tail -n 2 "$DIR/stream" | grep -q 'data: \[DONE\]'
send_request "$C2" /r/balance/lookup '{}' | jq -e '.service == "kassa-ledger"'
kill_now s1
for c in "$C1" "$C2" "$C3" "$C4"; do
  send_request "$c" /r/balance/lookup '{}' | jq -e '.service == "kassa-ledger"'
  send_request "$c" /r/assist/v1/chat/completions '{"max_tokens": 1}' | jq -e '.choices[0].message.content == "w0"'
done
