# Bad requests and bad endpoints get a clear error of the closed list, and the
# instance goes on serving without growing.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

# kind WANTED CURL-ARGUMENTS...: succeed where the answer is that error.
kind ()
{
  wanted=$1
  shift
  curl -sS -m 20 -H "Authorization: Bearer $CALLER_KEY" "$@" >"$DIR/answer" || true
  jq -e --arg k "$wanted" '.error.kind == $k' "$DIR/answer" >"$DIR/verdict" || { echo "not $wanted:"; cat "$DIR/answer"; return 1; }
}

# memory NAME: print the resident memory of a process, KB.
memory ()
{
  sed -n 's/^VmRSS: *\([0-9]*\).*/\1/p' "/proc/$(pid "$1")/status"
}

# gone: succeed once the instance knows no engine.
gone ()
{
  kind no_endpoint -d '{}' "$url"
}

# answered: succeed once an engine answers.
answered ()
{
  ask "$C1" /r/assist/v1/chat/completions '{"max_tokens": 1}' | jq -e '.choices[0].message.content == "w0"'
}

start_two_zones
apply_demo_objects
url=http://127.0.0.1:$C1/r/assist/v1/chat/completions
head -c 5000000 /dev/zero | tr '\0' x >"$DIR/big"
long=$(head -c 40000 /dev/zero | tr '\0' y)

curl -sS -H 'Authorization: Bearer wrong' -d '{}' "$url" | jq -e '.error.kind == "unauthorized"'
kind unknown_route -d '{}' "http://127.0.0.1:$C1/r/nothing/x"
kind unknown_route -d '{}' "http://127.0.0.1:$C1/elsewhere"
for d in 0 -5 99999999999999999999 1e9 x; do kind bad_request -H "X-Deadline-Ms: $d" -d '{}' "$url"; done
kind too_large --data-binary "@$DIR/big" "$url"
kind too_large -H 'Transfer-Encoding: chunked' --data-binary "@$DIR/big" "$url"
[ "$(curl -sS -m 20 -o "$DIR/skip" -w '%{http_code}' -H "X-Long: $long" "$url")" = 431 ]
kind bad_json -d 'not json' "$url"
kind deadline_unmeetable -H 'X-Deadline-Ms: 1' -d '{}' "$url"

engine=http://$(cat "$DIR/engine-1.out")
curl -sS -d '{"kind": "truncate", "count": 9}' "$engine/fault"
kind endpoint_failed -d '{"max_tokens": 4}' "$url"
curl -sS -d '{"kind": "ok", "count": 0}' "$engine/fault"
curl -sS -d '{"kind": "refuse", "count": 9}' "$engine/fault"
kind endpoint_refused -d '{"max_tokens": 4}' "$url"
curl -sS -d '{"kind": "ok", "count": 0}' "$engine/fault"
ask "$C1" /r/assist/v1/chat/completions '{"max_tokens": 1}' | jq -e '.choices[0].message.content == "w0"'

# An endpoint that does not speak HTTP.
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
wait_for 15 gone
announce='{"name": "rubbish", "incarnation": 1, "sequence": 1, "address": "'$(cat "$DIR/rubbish.out")'", "service": "assist-llm", "models": ["assist-7b-v1"], "role": "any", "slots": 8}'
curl -sS -m 5 -d "$announce" "http://127.0.0.1:$C1/v1/announce"
kind endpoint_failed -d '{}' "$url"
start engine-1 "$BUILD/tests/standin-engine" --name engine-1 --service assist-llm --model assist-7b-v1 --listen 127.0.0.1:0 --entry "127.0.0.1:$C1"
wait_for 15 answered

before=$(memory e1)
for i in 1 2 3 4 5 6 7 8 9 10; do kind too_large -H 'Transfer-Encoding: chunked' --data-binary "@$DIR/big" "$url"; done
[ "$(($(memory e1) - before))" -lt 20000 ]
ask "$C1" /r/assist/v1/chat/completions '{"max_tokens": 1}' | jq -e '.choices[0].message.content == "w0"'
