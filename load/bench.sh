#!/bin/sh
# Benchmarks the gateway on loopback. "overhead" compares requests through the
# gateway with requests sent straight to the endpoint, and measures CPU time per
# request; "policies" compares the routing policies where one of four endpoints is
# slow. Rows go to $OUT/bench.csv, medians to $OUT/bench.txt. Set by the environment:
#   ROUNDS=N SECONDS_EACH=N RATES="..." SEED=N PARTS="overhead policies"
# RATES are multiples of CAPACITY_PER_S.
set -eu
. scripts/cluster.sh
trap stop_all EXIT
trap 'exit 1' INT TERM
: "${OUT:=$BUILD/bench}" "${ROUNDS:=3}" "${SECONDS_EACH:=5}" "${SEED:=1}"
: "${RATES:=1 1.5 3}" "${PARTS:=overhead policies}"
POLICIES="nearest round-robin least-inflight predicted"
CAPACITY_PER_S=180
mkdir -p "$OUT"
rm -f "$OUT/bench.csv" "$OUT/cpu.csv"

# cpu_ticks NAME: print the clock ticks of CPU time that a process has used.
cpu_ticks ()
{
  awk '{ print $14 + $15 }' "/proc/$(pid "$1")/stat"
}

# load_run LABEL PROFILE FACTOR SEED: run the profile at FACTOR times its rate.
load_run ()
{
  "$BUILD/jaycove-load" --profile "$2" --label "$1" --rate "$3" --seed "$4" --csv "$OUT/bench.csv" >"$OUT/last.txt"
}

# start_group: start a state instance and an entry instance for each policy, all
# in one zone.
start_group ()
{
  SR=$(port); SO=$(port)
  state_settings s1 at-ost at-ost-1 "$SR" "$SO" ""
  start s1 "$BUILD/jaycove-state" --settings "$DIR/s1.json" --bootstrap
  for policy in $POLICIES; do
    c=$(port); o=$(port)
    entry_settings "$policy" at-ost at-ost-1 "$c" "$o" "$(port)" "$(peer s1 "$SR" at-ost at-ost-1)" ""
    jq ".policy = \"$policy\"" "$DIR/$policy.json" >"$DIR/$policy.tmp"
    mv "$DIR/$policy.tmp" "$DIR/$policy.json"
    start "$policy" "$BUILD/jaycove-entry" --settings "$DIR/$policy.json"
    echo "$c" >"$DIR/$policy.callers"
    echo "$o" >"$DIR/$policy.operators"
    ENTRIES="${ENTRIES:-} --entry 127.0.0.1:$c"
  done
}

# wait_ready COUNT: apply the demo objects with limits out of the way, and wait
# until all entry instances have them and know COUNT endpoints.
wait_ready ()
{
  sed "s/@KEY_HASH@/$(key_hash "$CALLER_KEY")/" examples/demo-objects.json |
    jq '.put |= map(if .kind == "limit" then . + {requests_per_s: 100000, burst: 100000, concurrency: 10000, queue: 1000} else . end)' >"$DIR/objects.json"
  wait_for 10 ctl "$(cat "$DIR/predicted.operators")" --expected-version 0 --change-id bench apply "$DIR/objects.json"
  for policy in $POLICIES; do
    wait_for 10 has_version "$(cat "$DIR/$policy.operators")" 1
    wait_for 10 has_endpoints "$(cat "$DIR/$policy.operators")" "$1"
  done
}

# profile FILE ADDRESS PATH RATE EXTRA: write a load profile with one class; EXTRA
# are further keys of the class.
profile ()
{
  cat >"$1" <<X
{"seconds": $SECONDS_EACH, "targets": [{"name": "t", "address": "$2"}],
 "classes": [{"product": "treasury", "name": "bench", "key": "$CALLER_KEY", "path": "$3", "rate_per_s": $4, $5}]}
X
}

# bench_overhead: alternate direct calls and calls through the gateway.
bench_overhead ()
{
  c=$(cat "$DIR/predicted.callers")
  for rate in 200 1000 2000; do
    profile "$DIR/direct.json" "$(cat "$DIR/ledger.out")" /lookup "$rate" '"deadline_ms": 5000'
    profile "$DIR/gateway.json" "127.0.0.1:$c" /r/balance/lookup "$rate" '"deadline_ms": 5000'
    for round in $(seq "$ROUNDS"); do
      load_run "direct@$rate" "$DIR/direct.json" 1 $((SEED + round))
      before=$(cpu_ticks predicted)
      load_run "gateway@$rate" "$DIR/gateway.json" 1 $((SEED + round))
      after=$(cpu_ticks predicted)
      echo "$rate,$((after - before)),$(getconf CLK_TCK),$(tail -n 1 "$OUT/bench.csv" | cut -d, -f6)" >>"$OUT/cpu.csv"
    done
  done
}

# bench_policies: run each rate with all policies in turn.
bench_policies ()
{
  for policy in $POLICIES; do
    profile "$DIR/$policy.load" "127.0.0.1:$(cat "$DIR/$policy.callers")" /r/assist/v1/chat/completions "$CAPACITY_PER_S" \
      '"engine": true, "stream": true, "tokens": 20, "prefixes": 100, "deadline_ms": 2000'
  done
  for round in $(seq "$ROUNDS"); do
    for rate in $RATES; do
      for policy in $POLICIES; do
        load_run "$policy@$rate" "$DIR/$policy.load" "$rate" $((SEED + round))
        wait_for 30 idle "$(cat "$DIR/$policy.operators")"
      done
    done
  done
}

# idle OPERATORS_PORT: succeed if the entry instance has no request in flight.
idle ()
{
  [ "$(ctl "$1" status | jq .in_flight)" = 0 ]
}

start_group
for i in 1 2 3 4; do
  token_ms=5
  [ "$i" != 4 ] || token_ms=20
  # shellcheck disable=SC2086
  start "engine-$i" "$BUILD/tests/standin-engine" --name "engine-$i" --service assist-llm --model assist-7b-v1 --listen 127.0.0.1:0 --token-ms "$token_ms" --lag-ms 250 --prefixes 40 $ENTRIES
done
# shellcheck disable=SC2086
start ledger "$BUILD/tests/standin-service" --name ledger --service kassa-ledger --listen 127.0.0.1:0 --delay-ms 0 --slots 1000 $ENTRIES
wait_ready 5
for part in $PARTS; do "bench_$part"; done
python3 load/medians.py "$OUT/bench.csv" "$OUT/cpu.csv" | tee "$OUT/bench.txt"
