# Guards the validation of settings at startup: all faults are printed at once,
# each with the path of its key, and the exit code is 3, so that an invalid file
# never starts a daemon. Also checks --help, --version and the usage error.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

# rejects PROGRAM PATTERN...: succeed if PROGRAM rejects the settings in
# $DIR/bad.json with exit code 3 and prints every PATTERN.
rejects ()
{
  prog=$1
  shift
  code=0
  "$BUILD/jaycove-$prog" --settings "$DIR/bad.json" 2>"$DIR/faults" || code=$?
  [ "$code" = 3 ]
  for p in "$@"; do grep -q -- "$p" "$DIR/faults"; done
}

entry_settings good at-ost at-ost-1 1 2 3 "" ""
"$BUILD/jaycove-entry" --check-settings --settings "$DIR/good.json"
jq '.nmae = 1 | .callers = "localhost:1" | .lease_ms = 1 | .policy = "best" | del(.name) | .state_peers = [{"name": "s1"}] | .log_json = "no"' "$DIR/good.json" >"$DIR/bad.json"
rejects entry 'unknown key nmae' 'settings.callers: is not IP' 'settings.lease_ms: must be from' \
  'settings.policy: is not a choice' 'settings.name: is missing' \
  'settings.state_peers\[0\].rpc: is missing' 'settings.log_json: must be true or false'
echo '{' >"$DIR/bad.json"
rejects state 'bad.json: line [0-9]*: '
state_settings s1 at-ost at-ost-1 1 2 ""
jq '.group_key = "short"' "$DIR/s1.json" >"$DIR/bad.json"
rejects state 'settings.group_key: is not 64 hex digits'
for p in entry state ctl load; do
  "$BUILD/jaycove-$p" --help >/dev/null
  "$BUILD/jaycove-$p" --version | grep -q "jaycove-$p"
done
code=0
"$BUILD/jaycove-entry" 2>/dev/null || code=$?
[ "$code" = 2 ]
