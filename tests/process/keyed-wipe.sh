# The state instance with the home region's ledger loses its disk: the ledger is
# rebuilt from a copy and still knows its keys. Then disk and copy are lost
# together: no request with a key runs until an operator accepts the loss. Finally
# the other state instances are killed, and the home region's ledger still serves.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

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

# key_refused CALLERS_PORT KEY KIND: succeed if a request with KEY is refused
# with the error KIND and was not run.
key_refused ()
{
  request_key "$1" "$2" | jq -e ".error.kind == \"$3\" and .error.run == \"not_run\""
}

# ledger_is STATE COPIES: succeed if the ledger is in STATE and COPIES or more
# copies of it are held.
ledger_is ()
{
  ctl "$O2" --state s1 ledger list | jq -e ".state == \"$1\" and .copies_held >= $2"
}

# kill_and_wipe NAME: kill a process and remove its data folder.
kill_and_wipe ()
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
wait_for 10 key_served "$C2" a-1
key_served "$C1" a-2
request_key "$C1" a-1 >"$DIR/first"

kill_and_wipe s1
wait_for 10 key_refused "$C2" a-3 home_unreachable
start_state s1
wait_for 30 ledger_is serving 1
wait_for 20 key_served "$C1" a-3
request_key "$C2" a-1 >"$DIR/again"
cmp "$DIR/first" "$DIR/again"
ctl "$O1" --state s1 ledger show a-2 | jq -e '.keys[0].state == "done"'

kill_and_wipe s1
kill_and_wipe e1
start_state s1
start e1 "$BUILD/jaycove-entry" --settings "$DIR/e1.json"
wait_for 30 ledger_is recovering 0
key_refused "$C2" b-1 home_recovering
ctl "$O2" --state s1 ledger accept-loss
wait_for 30 ledger_is serving 1
wait_for 20 key_served "$C2" b-1
wait_for 30 ledger_is serving 1
cat "$DIR"/service-*.out | sed -n 's/^ran //p' | sort | uniq -d >"$DIR/twice"
[ ! -s "$DIR/twice" ]

# Without a majority of the state instances, the home still serves its keys.
wait_for 10 has_endpoints "$O1" 1
kill_now s2 s3
for key in c-1 c-2 c-3; do key_served "$C1" "$key"; done
ctl "$O1" --state s1 ledger show c-3 | jq -e '.keys[0].state == "done"'
