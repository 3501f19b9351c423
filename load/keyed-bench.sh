#!/bin/sh
# Benchmarks requests with an idempotency key on loopback: their latency at a low
# rate against requests without one, and their throughput with and without group
# commit of the ledger, in turn. Set by the environment:
#   ROUNDS=N SECONDS_EACH=N RATES="..." SEED=N
set -eu
. scripts/cluster.sh
trap stop_all EXIT
trap 'exit 1' INT TERM
: "${OUT:=$BUILD/bench}" "${ROUNDS:=3}" "${SECONDS_EACH:=5}" "${SEED:=1}" "${RATES:=500 1000 2000 4000}"
mkdir -p "$OUT"
rm -f "$OUT/keyed.csv"

# profile FILE PATH RATE KEYED: write a load profile; KEYED is true or false.
profile ()
{
  cat >"$1" <<X
{"seconds": $SECONDS_EACH, "targets": [{"name": "t", "address": "127.0.0.1:$C1"}],
 "classes": [{"product": "treasury", "name": "k", "key": "$CALLER_KEY", "path": "$2", "rate_per_s": $3, "keyed": $4, "deadline_ms": 5000}]}
X
}

# load_run LABEL PROFILE SEED
load_run ()
{
  "$BUILD/jaycove-load" --profile "$2" --label "$1" --seed "$3" --csv "$OUT/keyed.csv" >"$OUT/last.txt"
}

# granted KEY: succeed if a request with the idempotency key is answered.
granted ()
{
  curl -sS -m 5 -H "Authorization: Bearer $CALLER_KEY" -H "Idempotency-Key: $1" -d '{}' "http://127.0.0.1:$C1/r/grant/book" | jq -e '.service == "kassa-ledger"'
}

# group_commit true|false ROUND: restart the state instance with that setting of
# ledger_group_commit.
group_commit ()
{
  kill "$(pid s1)"
  wait "$(pid s1)" 2>/dev/null || true
  jq ".ledger_group_commit = $1" "$DIR/s1.json" >"$DIR/s1.tmp"
  mv "$DIR/s1.tmp" "$DIR/s1.json"
  start s1 "$BUILD/jaycove-state" --settings "$DIR/s1.json"
  wait_for 30 granted "ready-$1-$2"
}

start_two_zones
start ledger "$BUILD/tests/standin-service" --name ledger --service kassa-ledger --listen 127.0.0.1:0 --delay-ms 0 --slots 1000 --entry "127.0.0.1:$C1"
kill "$(pid service-1)"
sed "s/@KEY_HASH@/$(key_hash "$CALLER_KEY")/" examples/demo-objects.json |
  jq '.put |= map(if .kind == "limit" then . + {requests_per_s: 100000, burst: 100000, concurrency: 10000, queue: 1000} else . end)
      | .put += [{"kind": "route", "name": "grant", "product": "treasury", "service": "kassa-ledger", "priority": "interactive", "idempotent": false, "home": "at-ost"}]' >"$DIR/objects.json"
wait_for 10 ctl "$O1" --expected-version 0 --change-id bench apply "$DIR/objects.json"
wait_for 10 has_version "$O1" 1
wait_for 10 has_endpoints "$O1" 2
wait_for 15 granted warm
profile "$DIR/plain.json" /r/balance/book 100 false
profile "$DIR/keyed.json" /r/grant/book 100 true
for round in $(seq "$ROUNDS"); do
  load_run unkeyed@100 "$DIR/plain.json" $((SEED + round))
  load_run keyed@100 "$DIR/keyed.json" $((SEED + round))
done
for round in $(seq "$ROUNDS"); do
  for group in true false; do
    group_commit "$group" "$round"
    for rate in $RATES; do
      profile "$DIR/rate.json" /r/grant/book "$rate" true
      load_run "group-$group@$rate" "$DIR/rate.json" $((SEED + round))
    done
  done
done
python3 load/medians.py "$OUT/keyed.csv" /nonexistent | tee "$OUT/keyed.txt"
