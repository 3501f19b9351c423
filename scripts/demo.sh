#!/bin/sh
# Runs the whole path on one machine: two zones, four entry instances, one
# state instance, two engines and two plain services. Ends by itself.
set -eu
. scripts/cluster.sh
trap stop_all EXIT
trap 'exit 1' INT TERM

start_two_zones
apply_demo_objects
echo "Asked: which entry instances may I use?"
ask "$C1" /v1/instances; echo
echo "Asked: a chat completion in at-ost."
ask "$C1" /r/assist/v1/chat/completions '{"max_tokens": 6, "messages": [{"role": "user", "content": "Balance?"}]}'; echo
echo "Asked: the same as a stream in at-sued."
ask "$C3" /r/assist/v1/chat/completions '{"max_tokens": 3, "stream": true, "messages": []}'
echo "Asked: a call of the plain service."
ask "$C2" /r/balance/lookup '{"account": "donations"}'; echo
echo "Stopped: the state instance. Asked again."
kill_now s1
ask "$C4" /r/balance/lookup '{"account": "donations"}'; echo
