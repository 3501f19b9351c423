# Guards against a stop signal during the start that ended a daemon with the
# signal instead of a stop with code 0: the soak's "s1 ended with -15". The
# settings come through a pipe, which holds each daemon in its start.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

# stops_clean NAME SIGNAL PROGRAM: send the signal before the settings are read.
stops_clean ()
{
  mkfifo "$DIR/$1.pipe"
  start "$1" "$BUILD/$3" --settings "$DIR/$1.pipe"
  exec 9>"$DIR/$1.pipe"
  kill "-$2" "$(pid "$1")"
  (cat "$DIR/$1.json" >&9) 2>/dev/null || true
  cp "$DIR/$1.json" "$DIR/$1.file"
  mv "$DIR/$1.file" "$DIR/$1.pipe"
  exec 9>&-
  [ "$2" = TERM ] || kill -TERM "$(pid "$1")"
  code=0
  wait "$(pid "$1")" || code=$?
  rm "$DIR/$1.pipe"
  [ "$code" = 0 ] || { echo "$3 ended with $code after $2" >&2; return 1; }
}

start_hosts
for name in s1 e1; do
  kill -TERM "$(pid $name)"
  wait "$(pid $name)"
done
for how in TERM HUP; do
  stops_clean s1 "$how" jaycove-state
  stops_clean e1 "$how" jaycove-entry
done
