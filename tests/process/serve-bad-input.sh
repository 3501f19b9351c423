# Invalid requests, and answers of broken endpoints, must end with an error kind of
# the API. The instance must go on serving, and refused large bodies must not make
# its memory grow.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

# expect_error KIND CURL-ARGUMENTS...: succeed if the answer is that error.
expect_error ()
{
  wanted=$1
  shift
  curl -sS -m 20 -H "Authorization: Bearer $CALLER_KEY" "$@" >"$DIR/answer" || true
  jq -e --arg k "$wanted" '.error.kind == $k' "$DIR/answer" >"$DIR/verdict" || { echo "not $wanted:"; cat "$DIR/answer"; return 1; }
}

# resident_kib NAME: print the resident memory of a process, KiB.
resident_kib ()
{
  sed -n 's/^VmRSS: *\([0-9]*\).*/\1/p' "/proc/$(pid "$1")/status"
}

# no_engine: succeed once the instance knows no engine.
no_engine ()
{
  expect_error no_endpoint -d '{}' "$url"
}

# engine_answers: succeed once an engine answers.
engine_answers ()
{
  send_request "$C1" /r/assist/v1/chat/completions '{"max_tokens": 1}' | jq -e '.choices[0].message.content == "w0"'
}

start_two_zones
apply_demo_objects
url=http://127.0.0.1:$C1/r/assist/v1/chat/completions
head -c 5000000 /dev/zero | tr '\0' x >"$DIR/big"
long=$(head -c 40000 /dev/zero | tr '\0' y)

curl -sS -H 'Authorization: Bearer wrong' -d '{}' "$url" | jq -e '.error.kind == "unauthorized"'
expect_error unknown_route -d '{}' "http://127.0.0.1:$C1/r/nothing/x"
expect_error unknown_route -d '{}' "http://127.0.0.1:$C1/elsewhere"
for d in 0 -5 99999999999999999999 1e9 x; do expect_error bad_request -H "X-Deadline-Ms: $d" -d '{}' "$url"; done
expect_error too_large --data-binary "@$DIR/big" "$url"
expect_error too_large -H 'Transfer-Encoding: chunked' --data-binary "@$DIR/big" "$url"
[ "$(curl -sS -m 20 -o "$DIR/skip" -w '%{http_code}' -H "X-Long: $long" "$url")" = 431 ]
expect_error bad_json -d 'not json' "$url"
expect_error deadline_unmeetable -H 'X-Deadline-Ms: 1' -d '{}' "$url"

engine=http://$(cat "$DIR/engine-1.out")
curl -sS -d '{"kind": "truncate", "count": 9}' "$engine/fault"
expect_error endpoint_failed -d '{"max_tokens": 4}' "$url"
curl -sS -d '{"kind": "ok", "count": 0}' "$engine/fault"
curl -sS -d '{"kind": "refuse", "count": 9}' "$engine/fault"
expect_error endpoint_refused -d '{"max_tokens": 4}' "$url"
curl -sS -d '{"kind": "ok", "count": 0}' "$engine/fault"
send_request "$C1" /r/assist/v1/chat/completions '{"max_tokens": 1}' | jq -e '.choices[0].message.content == "w0"'

# An endpoint that answers with bytes that are not HTTP.
start rubbish python3 -c '
import socket
listener = socket.create_server(("127.0.0.1", 0))
print("127.0.0.1:%d" % listener.getsockname()[1], flush=True)
while True:
    caller, _ = listener.accept()
    caller.recv(65536)
    caller.sendall(b"\\x00\\xff rubbish\\r\\n\\r\\n" * 100)
    caller.close()
'
wait_for 10 test -s "$DIR/rubbish.out"
kill "$(pid engine-1)"
wait_for 15 no_engine
announce='{"name": "rubbish", "incarnation": 1, "sequence": 1, "address": "'$(cat "$DIR/rubbish.out")'", "service": "assist-llm", "models": ["assist-7b-v1"], "role": "any", "slots": 8}'
curl -sS -m 5 -d "$announce" "http://127.0.0.1:$C1/v1/announce"
expect_error endpoint_failed -d '{}' "$url"
start engine-1 "$BUILD/tests/standin-engine" --name engine-1 --service assist-llm --model assist-7b-v1 --listen 127.0.0.1:0 --entry "127.0.0.1:$C1"
wait_for 15 engine_answers

before=$(resident_kib e1)
for i in 1 2 3 4 5 6 7 8 9 10; do expect_error too_large -H 'Transfer-Encoding: chunked' --data-binary "@$DIR/big" "$url"; done
[ "$(($(resident_kib e1) - before))" -lt 20000 ]
send_request "$C1" /r/assist/v1/chat/completions '{"max_tokens": 1}' | jq -e '.choices[0].message.content == "w0"'
