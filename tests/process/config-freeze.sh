# The leader is suspended, another one is elected, and the old one resumes: it
# accepts nothing by itself, and all entry instances end with the same version.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

other_leads ()
{
  now=$(leader "$1")
  [ -n "$now" ] && [ "$now" != "$2" ] && [ "$now" != null ]
}

start_three_states
submit_changes a 10 "$O1" "$O2" "$O3"
old=$(leader "$O1")
eval "old_address=\$O${old#s}"
for i in 1 2 3; do [ "s$i" = "$old" ] || eval "other_address=\$O$i"; done
kill -STOP "$(pid "$old")"
wait_for 30 other_leads "$other_address" "$old"
submit_changes b 20 "$other_address"
kill -CONT "$(pid "$old")"
submit_changes c 10 "$old_address"
last=$(sort -n "$DIR"/?.accepted | tail -n 1 | cut -d' ' -f1)
[ "$(sort -n "$DIR"/?.accepted | cut -d' ' -f1 | uniq -d)" = "" ]
for o in "$O1" "$O2" "$O3"; do wait_for 20 has_version "$o" "$last"; done
all_replicas_vote
