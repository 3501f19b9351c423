# The home's ledger loses its disk: it is rebuilt from a copy and knows its
# keys. Then disk and copy are lost together: nothing is granted until an
# operator accepts the loss. At last the home is without the others.
set -eu
. scripts/cluster.sh
trap 'code=$?; [ $code = 0 ] || tail -n 5 "$DIR"/*.log "$DIR/answer"; stop_all' EXIT

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

refused () # CALLERS_PORT KEY KIND
{
  grant "$1" "$2" | jq -e ".error.kind == \"$3\" and .error.run == \"not_run\""
}

ledger_is () # STATE COPIES_HELD
{
  ctl "$O2" --state s1 ledger list | jq -e ".state == \"$1\" and .copies_held >= $2"
}

lose () # NAME
{
  kill_now "$1"
  rm -rf "$DIR/$1.data"
}

start_three_states
for i in 1 2; do
  eval "entry=127.0.0.1:\$C$i"
  start "service-$i" "$BUILD/tests/standin-service" --name "service-$i" --service kassa-ledger --listen 127.0.0.1:0 --entry "$entry"
done
sed "s/@KEY_HASH@/$(key_hash "$CALLER_KEY")/" examples/demo-objects.json \
  | jq '.put += [{"kind": "route", "name": "grant", "product": "treasury", "service": "kassa-ledger", "priority": "interactive", "deadline_ms": 5000, "idempotent": false, "home": "at-ost"}]' >"$DIR/objects.json"
wait_for 10 ctl "$O1" --expected-version 0 --change-id first apply "$DIR/objects.json"
for o in "$O1" "$O2"; do
  wait_for 10 has_version "$o" 1
  wait_for 10 has_endpoints "$o" 1
done
wait_for 20 ledger_is serving 1
wait_for 10 granted "$C2" a-1
granted "$C1" a-2
grant "$C1" a-1 >"$DIR/first"

lose s1
wait_for 10 refused "$C2" a-3 home_unreachable
start_state s1
wait_for 30 ledger_is serving 1
wait_for 20 granted "$C1" a-3
grant "$C2" a-1 >"$DIR/again"
cmp "$DIR/first" "$DIR/again"
ctl "$O1" --state s1 ledger show a-2 | jq -e '.keys[0].state == "done"'

lose s1
lose e1
start_state s1
start e1 "$BUILD/jaycove-entry" --settings "$DIR/e1.json"
wait_for 30 ledger_is recovering 0
refused "$C2" b-1 home_recovering
ctl "$O2" --state s1 ledger accept-loss
wait_for 30 ledger_is serving 1
wait_for 20 granted "$C2" b-1
wait_for 30 ledger_is serving 1
cat "$DIR"/service-*.out | sed -n 's/^ran //p' | sort | uniq -d >"$DIR/twice"
[ ! -s "$DIR/twice" ]

# Cut off from the majority of the log, the home serves on.
wait_for 10 has_endpoints "$O1" 1
kill_now s2 s3
for key in c-1 c-2 c-3; do granted "$C1" "$key"; done
ctl "$O1" --state s1 ledger show c-3 | jq -e '.keys[0].state == "done"'
