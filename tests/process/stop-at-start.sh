# Guards against a signal during startup that kills a daemon instead of stopping
# it with exit code 0: in a soak test, s1 ended with -15 (SIGTERM). The settings
# are read from a FIFO, which blocks each daemon before it has started.
set -eu
. scripts/cluster.sh
. scripts/hosts.sh
trap stop_all EXIT

# stops_cleanly NAME SIGNAL PROGRAM: send SIGNAL before the settings have been
# read, and SIGTERM after that if SIGNAL was another; succeed if the exit code
# is 0.
stops_cleanly ()
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
for signal in TERM HUP; do
  stops_cleanly s1 "$signal" jaycove-state
  stops_cleanly e1 "$signal" jaycove-entry
done
