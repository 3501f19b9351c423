# The leader is stopped, others take over, and it wakes later: it accepts
# nothing of its own and all entry instances agree.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

other_leads ()
{
  now=$(leader "$1")
  [ -n "$now" ] && [ "$now" != "$2" ] && [ "$now" != null ]
}

start_three_states
race a 10 "$O1" "$O2" "$O3"
old=$(leader "$O1")
eval "near=\$O${old#s}"
for i in 1 2 3; do [ "s$i" = "$old" ] || eval "far=\$O$i"; done
kill -STOP "$(pid "$old")"
wait_for 30 other_leads "$far" "$old"
race b 20 "$far"
kill -CONT "$(pid "$old")"
race c 10 "$near"
last=$(sort -n "$DIR"/?.accepted | tail -n 1 | cut -d' ' -f1)
[ "$(sort -n "$DIR"/?.accepted | cut -d' ' -f1 | uniq -d)" = "" ]
for o in "$O1" "$O2" "$O3"; do wait_for 20 has_version "$o" "$last"; done
all_vote
