# Tests the stand-in endpoints that other tests rely on: echoed request marks,
# resumed streams, cancelled requests, execution counts and injected faults.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

# fails COMMAND...: succeed if the command fails.
fails ()
{
  if "$@"; then echo "did not fail: $*" >&2; return 1; fi
}

start engine "$BUILD/tests/standin-engine" --name g --service llm --model m1 --listen 127.0.0.1:0 --slots 1 --token-ms 1
start service "$BUILD/tests/standin-service" --name p --service ledger --listen 127.0.0.1:0
wait_for 10 test -s "$DIR/engine.out"
wait_for 10 test -s "$DIR/service.out"
engine=http://$(cat "$DIR/engine.out")
service=http://$(cat "$DIR/service.out")
cancelled () { curl -sS "$engine/counts" | grep -qx "cancelled $1"; }

curl -sS -d '{"user": "k1", "max_tokens": 2}' "$engine/c" | jq -e '.id == "k1" and .choices[0].message.content == "w0 w1"'
curl -sS -H 'X-Resume-From: 2' -d '{"max_tokens": 4, "stream": true}' "$engine/c" >"$DIR/stream"
[ "$(grep -c '^data: {' "$DIR/stream")" = 2 ]
grep -q '"content":" w2"' "$DIR/stream"
curl -sS -d '{"kind": "truncate", "count": 1}' "$engine/fault"
fails curl -sS -d '{"max_tokens": 8, "stream": true}' "$engine/c" >"$DIR/cut"
fails grep -q DONE "$DIR/cut"
fails curl -sS -m 0.3 -d '{"max_tokens": 100000}' "$engine/c"
wait_for 10 cancelled 1
curl -sS -d '{"max_tokens": 1}' "$engine/c" | jq -e '.choices[0].message.content == "w0"'

curl -sS -H 'Idempotency-Key: a' -d '{"mark": "k2"}' "$service/x" | jq -e '.mark == "k2" and .run == 1'
curl -sS -H 'Idempotency-Key: a' -d '{}' "$service/x" | jq -e '.run == 2'
curl -sS -d '{"kind": "refuse", "count": 1}' "$service/fault"
[ "$(curl -sS -o "$DIR/body" -w '%{http_code}' -H 'Idempotency-Key: b' -d '{}' "$service/x")" = 503 ]
curl -sS -d '{"kind": "fail", "count": 1}' "$service/fault"
[ "$(curl -sS -o "$DIR/body" -w '%{http_code}' -H 'Idempotency-Key: c' -d '{}' "$service/x")" = 500 ]
curl -sS -d '{"kind": "silent", "count": 1}' "$service/fault"
fails curl -sS -m 0.3 -H 'Idempotency-Key: d' -d '{}' "$service/x"
curl -sS "$service/counts" >"$DIR/counts"
grep -qx 'a 2' "$DIR/counts"
fails grep -q '^b ' "$DIR/counts"
grep -qx 'c 1' "$DIR/counts"
grep -qx 'd 1' "$DIR/counts"
