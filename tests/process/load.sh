# jaycove-load stops at the profile's count of requests, and tells complete answers
# from those that are truncated, garbled or belong to another request. A
# profile with a fault is refused with exit code 3.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

start engine "$BUILD/tests/standin-engine" --name g --service llm --model m1 --listen 127.0.0.1:0 --token-ms 1 --first-token-ms 1
start service "$BUILD/tests/standin-service" --name p --service ledger --listen 127.0.0.1:0 --delay-ms 0
wait_for 10 test -s "$DIR/engine.out"
wait_for 10 test -s "$DIR/service.out"
engine=$(cat "$DIR/engine.out")
service=$(cat "$DIR/service.out")
cat >"$DIR/profile.json" <<X
{"seconds": 60, "count": 60,
 "targets": [{"name": "engine", "address": "$engine"}, {"name": "service", "address": "$service"}],
 "classes": [
  {"product": "a", "name": "plain", "path": "/c", "engine": true, "rate_per_s": 100, "targets": ["engine"]},
  {"product": "a", "name": "stream", "path": "/c", "engine": true, "stream": true, "rate_per_s": 100, "targets": ["engine"]},
  {"product": "b", "name": "keyed", "path": "/k", "keyed": true, "rate_per_s": 100, "deadline_ms": 20000, "targets": ["service"]}]}
X
outcomes () { jq -c '[.classes[].outcomes | to_entries[]] | group_by(.key) | map({(.[0].key): (map(.value) | add)}) | add' "$DIR/$1.json"; }

"$BUILD/jaycove-load" --profile "$DIR/profile.json" --seed 7 --csv "$DIR/out.csv" --json "$DIR/whole.json"
[ "$(outcomes whole)" = '{"ok":60}' ]
[ "$(wc -l <"$DIR/out.csv")" = 4 ]
curl -sS "$service/counts" >"$DIR/counts"
[ "$(grep -c ' 1$' "$DIR/counts")" = "$(jq '.classes[2].sent' "$DIR/whole.json")" ]

curl -sS -d '{"kind": "truncate", "count": 3}' "$engine/fault"
curl -sS -d '{"kind": "garbage", "count": 2}' "$service/fault"
"$BUILD/jaycove-load" --profile "$DIR/profile.json" --label cut --json "$DIR/cut.json"
[ "$(outcomes cut)" = '{"not_whole":5,"ok":55}' ]

sed 's/"path": "\/k"/"path": "\/k", "engine": true/' "$DIR/profile.json" >"$DIR/foreign-profile.json"
"$BUILD/jaycove-load" --profile "$DIR/foreign-profile.json" --label foreign --json "$DIR/foreign.json"
[ "$(jq '.classes[2].outcomes.foreign == .classes[2].sent' "$DIR/foreign.json")" = true ]

sed 's/"seconds"/"minutes"/' "$DIR/profile.json" >"$DIR/bad.json"
code=0
"$BUILD/jaycove-load" --profile "$DIR/bad.json" 2>"$DIR/faults" || code=$?
[ "$code" = 3 ]
grep -q 'unknown key minutes' "$DIR/faults"
