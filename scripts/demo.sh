#!/bin/sh
# Demonstrates the request path on one machine with two zones, four entry
# instances, one state instance, two stand-in engines and two stand-in services.
# Stops all processes at the end.
set -eu
. scripts/cluster.sh
trap stop_all EXIT
trap 'exit 1' INT TERM

start_two_zones
apply_demo_objects
echo "Request: list of the entry instances that a caller may use"
send_request "$C1" /v1/instances; echo
echo "Request: chat completion in region at-ost"
send_request "$C1" /r/assist/v1/chat/completions '{"max_tokens": 6, "messages": [{"role": "user", "content": "Balance?"}]}'; echo
echo "Request: streamed chat completion in region at-sued"
send_request "$C3" /r/assist/v1/chat/completions '{"max_tokens": 3, "stream": true, "messages": []}'
echo "Request: call of the plain service"
send_request "$C2" /r/balance/lookup '{"account": "donations"}'; echo
echo "Request: call of the plain service after the state instance was killed"
kill_now s1
send_request "$C4" /r/balance/lookup '{"account": "donations"}'; echo
