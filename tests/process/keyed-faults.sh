# Keyed calls through three entry instances whose callers ask again elsewhere,
# while owner, ledger and service are killed and frozen in turn. No key may run
# twice, a caller told done has its own key's answer, and every key has a known
# outcome at the end.
set -eu
. scripts/cluster.sh
trap 'code=$?; [ $code = 0 ] || tail -n 5 "$DIR"/*.log; stop_all' EXIT
KEYS=${KEYS:-100}
SEED=${SEED:-1}

grant () # CALLERS_PORT KEY
{
  curl -sS -m 20 -o "$DIR/answer" -H "Authorization: Bearer $CALLER_KEY" \
    -H "Idempotency-Key: $2" -d "{\"mark\": \"$2\"}" "http://127.0.0.1:$1/r/grant/book"
  cat "$DIR/answer"
}

granted () # CALLERS_PORT KEY
{
  grant "$1" "$2" | jq -e '.service == "kassa-ledger"'
}

slay () # NAME
{
  kill_now "$1"
}

restart_state ()
{
  start s1 "$BUILD/jaycove-state" --settings "$DIR/s1.json"
}

start_service () # LIFE
{
  start "service-1-$1" "$BUILD/tests/standin-service" --name service-1 --service kassa-ledger --delay-ms 150 --listen 127.0.0.1:0 --entry "127.0.0.1:$C1" --entry "127.0.0.1:$C2"
}

freeze () # NAME SECONDS
{
  kill -STOP "$(pid "$1")"
  sleep "$2"
  kill -CONT "$(pid "$1")"
}

runs ()
{
  cat "$DIR"/service-*.out | grep -c '^ran '
}

# flowing: wait until some more calls have run, so that a fault meets calls in
# flight, or until the callers are through.
flowing ()
{
  before=$(runs)
  wait_for 20 more_runs
}

more_runs ()
{
  [ "$(runs)" -ge $((before + 5)) ] || ! kill -0 "$callers"
}

start_two_zones
slay service-1
start_service 0
sed "s/@KEY_HASH@/$(key_hash "$CALLER_KEY")/" examples/demo-objects.json \
  | jq '.put += [{"kind": "route", "name": "grant", "product": "treasury", "service": "kassa-ledger", "priority": "interactive", "deadline_ms": 5000, "idempotent": false, "home": "at-ost"}]' >"$DIR/objects.json"
wait_for 10 ctl "$O1" --expected-version 0 --change-id first apply "$DIR/objects.json"
for o in "$O1" "$O2" "$O3"; do
  wait_for 10 has_version "$o" 1
  wait_for 10 has_endpoints "$o" 2
done
wait_for 15 granted "$C1" warm-1
curl -sS -m 5 -H "Authorization: Bearer $CALLER_KEY" -d '{}' "http://127.0.0.1:$C1/r/grant/book" | jq -e '.error.kind == "key_required"'
grant "$C1" warm-1 >"$DIR/first"
grant "$C3" warm-1 >"$DIR/second"
cmp "$DIR/first" "$DIR/second"

ctl "$O1" ledger show warm-1 | jq -e '.keys[0].state == "done"'
ctl "$O1" --state s1 ledger list | jq -e '.found >= 1 and .state == "serving"'
[ "$(ctl "$O1" --state s1 ledger accept-loss | jq -r .state)" = serving ]

python3 tests/process/keyed_callers.py "$C1,$C2,$C3" "$CALLER_KEY" /r/grant/book "$KEYS" "$SEED" >"$DIR/outcomes" &
callers=$!
PIDS="$PIDS $callers"
life=0
service=service-1-0
while kill -0 "$callers" 2>/dev/null; do
  life=$((life + 1))
  flowing
  slay e2
  start e2 "$BUILD/jaycove-entry" --settings "$DIR/e2.json"
  flowing
  freeze e1 1
  flowing
  slay s1
  restart_state
  flowing
  freeze s1 1
  flowing
  slay "$service"
  service=service-1-$life
  start_service "$life"
  flowing
  freeze "$service" 1
  flowing
  freeze e3 3
  [ "$life" -lt 60 ]
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

# Every key's outcome is known once all stands again.
outcome () # KEY
{
  grant "$C1" "$1" >/dev/null
  jq -e '.service == "kassa-ledger" or .error.kind == "outcome_unknown"' "$DIR/answer"
}
wait_for 30 granted "$C1" last-1
ctl "$O1" ledger list --state unknown | jq .found
for key in $(awk 'NF == 2 && $2 != "done" {print $1}' "$DIR/outcomes"); do
  wait_for 30 outcome "$key"
done
cat "$DIR"/service-*.out | sed -n 's/^ran //p' | sort | uniq -d >"$DIR/twice"
[ ! -s "$DIR/twice" ]
