#!/bin/sh
# Measures how processor time, memory and bytes between processes grow with
# endpoints, objects and changes, on loopback. Writes rows to $OUT (CSV), from
# which load/capacity.py works out docs/CAPACITY.md.
#   SECONDS_EACH=N MEMBERS="..." OBJECTS="..." CHANGES=N
set -eu
. scripts/cluster.sh
trap stop_all EXIT
trap 'exit 1' INT TERM
: "${OUT:=$BUILD/slopes.csv}" "${SECONDS_EACH:=8}" "${MEMBERS:=0 10 100 300}"
: "${OBJECTS:=100 1000 11000}" "${CHANGES:=20}"
PROCESSES="s1 e1 e2 e3"

# ticks NAME: print the processor time of a process in ms.
cpu_ms ()
{
  awk -v hz="$(getconf CLK_TCK)" '{ print 1000 * ($14 + $15) / hz }' "/proc/$(pid "$1")/stat"
}

# memory_kb NAME: print the memory that a process holds.
memory_kb ()
{
  awk '/^VmRSS:/ { print $2 }' "/proc/$(pid "$1")/status"
}

# rpc_bytes NAME: print the bytes that a process has sent to its peers.
rpc_bytes ()
{
  ss -tinpH 2>/dev/null | awk -v pid="pid=$(pid "$1")," -v ports="$RPC_PORTS" '
    BEGIN { count = split (ports, list, " "); for (i = 1; i <= count; i++) known[list[i]] = 1 }
    /users:/ { own = index ($0, pid) > 0; n = split ($4, a, ":"); m = split ($5, b, ":")
               own = own && ((a[n] in known) || (b[m] in known)) }
    own && match ($0, /bytes_sent:[0-9]+/) { sum += substr ($0, RSTART + 11, RLENGTH - 11) }
    END { print sum + 0 }'
}

# mark: remember processor time and bytes of all processes.
mark ()
{
  for p in $PROCESSES; do
    cpu_ms "$p" >"$DIR/$p.cpu"
    rpc_bytes "$p" >"$DIR/$p.bytes"
  done
}

# rows KIND COUNT SECONDS: write what was used since mark.
rows ()
{
  for p in $PROCESSES; do
    cpu=$(echo "$(cpu_ms "$p") $(cat "$DIR/$p.cpu")" | awk '{ print $1 - $2 }')
    bytes=$(($(rpc_bytes "$p") - $(cat "$DIR/$p.bytes")))
    echo "$1,$2,$p,$3,$cpu,$(memory_kb "$p"),$bytes" >>"$OUT"
  done
}

# ms_now: print the time in ms.
ms_now ()
{
  date +%s%3N
}

start_group ()
{
  SR=$(port); SO=$(port); R1=$(port); R2=$(port); R3=$(port)
  C1=$(port); C2=$(port); C3=$(port); O1=$(port); O2=$(port); O3=$(port)
  RPC_PORTS="$SR $R1 $R2 $R3"
  state_settings s1 at-ost at-ost-1 "$SR" "$SO" ""
  sp=$(peer s1 "$SR" at-ost at-ost-1)
  entry_settings e1 at-ost at-ost-1 "$C1" "$O1" "$R1" "$sp" "$(peer e2 "$R2" at-ost at-ost-1), $(peer e3 "$R3" at-sued at-sued-1)"
  entry_settings e2 at-ost at-ost-1 "$C2" "$O2" "$R2" "$sp" "$(peer e3 "$R3" at-sued at-sued-1)"
  entry_settings e3 at-sued at-sued-1 "$C3" "$O3" "$R3" "$sp" ""
  start s1 "$BUILD/jaycove-state" --settings "$DIR/s1.json" --bootstrap
  for i in 1 2 3; do start "e$i" "$BUILD/jaycove-entry" --settings "$DIR/e$i.json"; done
  sed "s/@KEY_HASH@/$(key_hash "$CALLER_KEY")/" examples/demo-objects.json >"$DIR/objects.json"
  VERSION=0
  publish "$DIR/objects.json"
}

# publish FILE: submit a change and wait until all instances have it.
publish ()
{
  wait_for 30 ctl "$O1" --expected-version "$VERSION" --change-id "c$VERSION" apply "$1"
  VERSION=$((VERSION + 1))
  for o in "$O1" "$O2" "$O3"; do wait_for 30 has_version "$o" "$VERSION"; done
}

# wait_members COUNT: wait until e1 knows them.
wait_members ()
{
  wait_for 30 has_endpoints "$O1" "$1"
}

measure_members ()
{
  for n in $MEMBERS; do
    if [ "$n" -gt 0 ]; then
      start "many-$n" "$BUILD/tests/standin-service" --name "many-$n" --service kassa-ledger --listen 127.0.0.1:0 --copies "$n" --entry "127.0.0.1:$C1"
      wait_members "$n"
    fi
    mark
    sleep "$SECONDS_EACH"
    rows members "$n" "$SECONDS_EACH"
    [ "$n" -eq 0 ] || kill "$(pid "many-$n")"
    wait_for 30 no_members
  done
}

no_members ()
{
  [ "$(ctl "$O1" status | jq .endpoints)" = 0 ]
}

# objects COUNT FILE: write so many products with a route each.
objects ()
{
  jq -n --argjson n "$1" '{put: [range($n) | {kind: "product", name: "p\(.)", residency: "austria", limit: "standard", key_hashes: []},
    {kind: "route", name: "r\(.)", product: "p\(.)", service: "kassa-ledger", priority: "interactive"}]}' >"$2"
}

measure_objects ()
{
  for n in $OBJECTS; do
    objects "$n" "$DIR/many.json"
    mark
    began=$(ms_now)
    publish "$DIR/many.json"
    rows objects "$n" "$(($(ms_now) - began))e-3"
    mark
    began=$(ms_now)
    for i in $(seq "$CHANGES"); do
      echo "{\"put\": [{\"kind\": \"product\", \"name\": \"p$i\", \"residency\": \"austria\", \"limit\": \"standard\"}]}" >"$DIR/one.json"
      publish "$DIR/one.json"
    done
    rows "changes-$CHANGES" "$n" "$(($(ms_now) - began))e-3"
  done
}

rm -f "$OUT"
echo "kind,count,process,seconds,cpu_ms,memory_kb,rpc_bytes" >"$OUT"
start_group
measure_members
measure_objects
cat "$OUT"
