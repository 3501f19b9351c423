# Guards against a restarted instance that can't serve while its zone is cut off
# from the other zone and from the state instance: it must get the configuration
# from the other instance of its zone and learn both endpoints.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

lists_only () { send_request "$1" /v1/instances | jq -e --arg n "$2" '[.instances[].name] | sort | join(" ") == $n'; }
serves () { send_request "$1" /r/balance/lookup '{}' | jq -e '.endpoint == "service-1"'; }

start_two_zones
apply_demo_objects
wait_for 10 lists_only "$C1" "e1 e2 e3 e4"
for n in s1 e3 e4; do kill -STOP "$(pid $n)"; done
wait_for 10 lists_only "$C1" "e1 e2"
wait_for 10 serves "$C1"
p=$(pid e2)
kill -9 "$p"
wait "$p" 2>/dev/null || true
start e2 "$BUILD/jaycove-entry" --settings "$DIR/e2.json"
wait_for 10 has_version "$O2" 1
wait_for 10 has_endpoints "$O2" 2
wait_for 10 lists_only "$C2" "e1 e2"
wait_for 10 serves "$C2"
# The stopped instances continue, and are listed again.
for n in s1 e3 e4; do kill -CONT "$(pid $n)"; done
wait_for 10 lists_only "$C2" "e1 e2 e3 e4"
