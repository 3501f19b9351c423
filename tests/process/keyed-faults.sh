# Requests with keys through three entry instances, which callers retry at another
# instance, while entry instances, the state instance with the ledger and the
# service are killed and frozen in turn. No key may run twice, a caller that is
# answered gets the answer of its own key, and the outcome of every key is known
# at the end.
set -eu
. scripts/cluster.sh
trap stop_all EXIT
KEYS=${KEYS:-100}
SEED=${SEED:-1}

# request_key CALLERS_PORT KEY: send a request with KEY and print its answer, which
# stays in $DIR/answer.
request_key ()
{
  curl -sS -m 20 -o "$DIR/answer" -H "Authorization: Bearer $CALLER_KEY" \
    -H "Idempotency-Key: $2" -d "{\"mark\": \"$2\"}" "http://127.0.0.1:$1/r/grant/book"
  cat "$DIR/answer"
}

# key_served CALLERS_PORT KEY: succeed if the service answers a request with KEY.
key_served ()
{
  request_key "$1" "$2" | jq -e '.service == "kassa-ledger"'
}

start_state_instance ()
{
  start s1 "$BUILD/jaycove-state" --settings "$DIR/s1.json"
}

# start_service ROUND: start the service again, with an output file for each ROUND.
start_service ()
{
  start "service-1-$1" "$BUILD/tests/standin-service" --name service-1 --service kassa-ledger --delay-ms 150 --listen 127.0.0.1:0 --entry "127.0.0.1:$C1" --entry "127.0.0.1:$C2"
}

# freeze NAME SECONDS: suspend a process for that time.
freeze ()
{
  kill -STOP "$(pid "$1")"
  sleep "$2"
  kill -CONT "$(pid "$1")"
}

# count_runs: print how often the service has run a request.
count_runs ()
{
  cat "$DIR"/service-*.out | grep -c '^ran '
}

# wait_for_runs: wait until 5 more requests have run, so that a fault hits
# requests in flight, or until the callers have ended.
wait_for_runs ()
{
  before=$(count_runs)
  wait_for 20 has_more_runs
}

has_more_runs ()
{
  [ "$(count_runs)" -ge $((before + 5)) ] || ! kill -0 "$callers"
}

start_two_zones
kill_now service-1
start_service 0
sed "s/@KEY_HASH@/$(key_hash "$CALLER_KEY")/" examples/demo-objects.json \
  | jq '.put += [{"kind": "route", "name": "grant", "product": "treasury", "service": "kassa-ledger", "priority": "interactive", "deadline_ms": 5000, "idempotent": false, "home": "at-ost"}]' >"$DIR/objects.json"
wait_for 10 ctl "$O1" --expected-version 0 --change-id first apply "$DIR/objects.json"
for o in "$O1" "$O2" "$O3"; do
  wait_for 10 has_version "$o" 1
  wait_for 10 has_endpoints "$o" 2
done
wait_for 15 key_served "$C1" warm-1
curl -sS -m 5 -H "Authorization: Bearer $CALLER_KEY" -d '{}' "http://127.0.0.1:$C1/r/grant/book" | jq -e '.error.kind == "key_required"'
request_key "$C1" warm-1 >"$DIR/first"
request_key "$C3" warm-1 >"$DIR/second"
cmp "$DIR/first" "$DIR/second"

ctl "$O1" ledger show warm-1 | jq -e '.keys[0].state == "done"'
ctl "$O1" --state s1 ledger list | jq -e '.found >= 1 and .state == "serving"'
[ "$(ctl "$O1" --state s1 ledger accept-loss | jq -r .state)" = serving ]

python3 tests/process/keyed_callers.py "$C1,$C2,$C3" "$CALLER_KEY" /r/grant/book "$KEYS" "$SEED" >"$DIR/outcomes" &
callers=$!
PIDS="$PIDS $callers"
round=0
service=service-1-0
while kill -0 "$callers" 2>/dev/null; do
  round=$((round + 1))
  wait_for_runs
  kill_now e2
  start e2 "$BUILD/jaycove-entry" --settings "$DIR/e2.json"
  wait_for_runs
  freeze e1 1
  wait_for_runs
  kill_now s1
  start_state_instance
  wait_for_runs
  freeze s1 1
  wait_for_runs
  kill_now "$service"
  service=service-1-$round
  start_service "$round"
  wait_for_runs
  freeze "$service" 1
  wait_for_runs
  freeze e3 3
  [ "$round" -lt 60 ]
done
wait "$callers"
tail -n 1 "$DIR/outcomes"

cat "$DIR"/service-*.out | sed -n 's/^ran //p' | sort | uniq -c | sort -rn >"$DIR/runs"
head -n 1 "$DIR/runs"
[ "$(awk '$1 > 1' "$DIR/runs" | wc -l)" = 0 ]
awk '$2 == "done" {print $1}' "$DIR/outcomes" | sort >"$DIR/done"
[ "$(wc -l <"$DIR/done")" -gt 0 ]
awk '{print $2}' "$DIR/runs" | sort | comm -23 "$DIR/done" - >"$DIR/done-not-run"
[ ! -s "$DIR/done-not-run" ]
! grep -q wrong_answer "$DIR/outcomes"

# Once all processes run again, each key has an answer or its outcome is reported
# as unknown.
# outcome_known KEY: succeed once a request with KEY tells its outcome.
outcome_known ()
{
  request_key "$C1" "$1" >/dev/null
  jq -e '.service == "kassa-ledger" or .error.kind == "outcome_unknown"' "$DIR/answer"
}
wait_for 30 key_served "$C1" last-1
ctl "$O1" ledger list --state unknown | jq .found
for key in $(awk 'NF == 2 && $2 != "done" {print $1}' "$DIR/outcomes"); do
  wait_for 30 outcome_known "$key"
done
cat "$DIR"/service-*.out | sed -n 's/^ran //p' | sort | uniq -d >"$DIR/twice"
[ ! -s "$DIR/twice" ]
