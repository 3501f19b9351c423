# jaycove-ctl trace prints the lines of one request from several logs by time. An
# id that only begins with the one asked for does not match.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

cat >"$DIR/a.log" <<X
time=12.500 event=attempt_end id=feed place=e2
time=12.100 event=attempt id=feedbeef place=e2
time=12.100 event=attempt id=feed place=e2
X
echo "prefix time=12.300 event=served id=feed" >"$DIR/b.log"
"$BUILD/jaycove-ctl" trace feed "$DIR/a.log" "$DIR/b.log" >"$DIR/out"
[ "$(cut -d= -f2 "$DIR/out" | cut -d' ' -f1 | tr '\n' ' ')" = "12.100 12.300 12.500 " ]
! grep -q feedbeef "$DIR/out"
code=0
"$BUILD/jaycove-ctl" trace none "$DIR/a.log" || code=$?
[ "$code" = 4 ]
code=0
"$BUILD/jaycove-ctl" trace feed "$DIR/none.log" 2>/dev/null || code=$?
[ "$code" = 1 ]
