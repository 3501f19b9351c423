# An endpoint reports itself and its leave to only one instance. Guards against
# other instances of the zone that don't send it requests, or still do after its
# leave, and against cutting off its requests in flight.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

start_two_zones
apply_demo_objects
start extra "$BUILD/tests/standin-service" --name extra --service kassa-ledger --listen 127.0.0.1:0 --delay-ms 1 --entry "127.0.0.1:$C1"
wait_for 10 test -s "$DIR/extra.out"
extra=$(cat "$DIR/extra.out")
total () { curl -sS "http://$extra/counts" | sed -n 's/^total //p'; }
used () { n=$(total); send_request "$1" /r/balance/lookup '{}' >"$DIR/answer"; [ "$(total)" -gt "$n" ]; }
# unused: send requests through both instances; none may reach the endpoint.
unused ()
{
  n=$(total)
  [ -n "$n" ] || return 1
  for i in 1 2 3 4 5 6 7 8; do
    for c in "$C1" "$C2"; do send_request "$c" /r/balance/lookup '{}' | jq -e '.endpoint == "service-1"' || return 1; done
  done
  [ "$(total)" = "$n" ]
}
held () { curl -sS "http://$extra/counts" | grep -qx "total $((before + 1))"; }

for o in "$O1" "$O2"; do wait_for 10 has_endpoints "$o" 3; done
wait_for 10 used "$C1"
wait_for 10 used "$C2"
# A request that never ends keeps the endpoint running, so that its count can be
# read after its leave.
curl -sS -d '{"kind": "silent", "count": 1}' "http://$extra/fault"
before=$(total)
curl -sS -d '{}' "http://$extra/hold" >"$DIR/hold" 2>&1 &
PIDS="$PIDS $!"
wait_for 10 held
kill "$(pid extra)"
wait_for 10 unused
unused
kill -0 "$(pid extra)"
