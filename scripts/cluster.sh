# Functions that start a small cluster on loopback for the demo and the tests.
# Sourced; BUILD is the build folder. stop_all stops each process by its id.

: "${BUILD:=build}"
DIR=$(mktemp -d)
PIDS=
GROUP_KEY=$(printf '%064d' 7)
TOKEN=operator-token
CALLER_KEY=caller-key-1

# port [COUNT]: print the first of COUNT free ports in a row (default 1);
# concurrent runs don't get the same ones (see port.py).
port ()
{
  python3 scripts/port.py "$@"
}

# wait_for SECONDS COMMAND...: wait until the command succeeds. SECONDS is for an
# idle machine; the timeout is six times as long, for a busy one. Fails at once
# where a process can't bind its address.
wait_for ()
{
  tries=$(($1 * 20 * 6))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if grep -h "Can't listen at" "$DIR"/*.log >&2 2>/dev/null; then tries=0; fi
    [ "$tries" -gt 0 ] || { echo "timed out waiting for: $*" >&2; return 1; }
    sleep 0.05
  done
}

# start NAME COMMAND...: start a process. Its stdout goes to $DIR/NAME.out, its
# stderr to $DIR/NAME.log and its id to $DIR/NAME.pid.
start ()
{
  name=$1
  shift
  "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
  echo $! >"$DIR/$name.pid"
  PIDS="$PIDS $!"
}

# pid NAME: print the id of the process that start started as NAME.
pid ()
{
  cat "$DIR/$1.pid"
}

# kill_now NAME...: send SIGKILL and wait for the exit, which frees the ports.
kill_now ()
{
  for killed; do
    kill -9 "$(pid "$killed")" 2>/dev/null || true
    wait "$(pid "$killed")" 2>/dev/null || true
  done
}

# Most of each file that keep_traces copies, in bytes; the end of a log tells why.
TRACE_FILE_BYTES=4194304
LOAD_AT_START=$(cut -d' ' -f1-3 /proc/loadavg)

# keep_traces CODE: copy settings, logs and process ids of a test that ended with
# CODE to $BUILD/failed/TEST, with the exit codes of its processes and the load of
# the machine.
keep_traces ()
{
  kept=$BUILD/failed/$(basename "$0" .sh)
  rm -rf "$kept"
  mkdir -p "$kept"
  for file in "$DIR"/*; do
    [ ! -f "$file" ] || tail -c $TRACE_FILE_BYTES "$file" >"$kept/$(basename "$file")"
  done
  { echo "test $0 ended with $1"; echo "load at its start $LOAD_AT_START, at its end $(cut -d' ' -f1-3 /proc/loadavg)"
    echo "process id and exit code:"; printf '%s' "$EXIT_CODES"; } >"$kept/verdict"
  echo "settings and logs are kept in $kept"
}

# stop_all: resume and terminate all processes, kill those that still run after
# 3 seconds and remove $DIR. Called at the exit of a test, it keeps the traces of
# one that failed.
stop_all ()
{
  verdict=$?
  EXIT_CODES=
  for p in $PIDS; do kill -CONT "$p" 2>/dev/null || true; kill "$p" 2>/dev/null || true; done
  for p in $PIDS; do
    n=0
    while kill -0 "$p" 2>/dev/null && [ $n -lt 60 ]; do n=$((n + 1)); sleep 0.05; done
    kill -9 "$p" 2>/dev/null || true
    wait "$p" 2>/dev/null && ended=0 || ended=$?
    EXIT_CODES="$EXIT_CODES$p $ended
"
  done
  [ $verdict -eq 0 ] || [ $verdict -eq 77 ] || keep_traces $verdict
  rm -rf "$DIR"
}

# state_settings NAME REGION ZONE RPC OPERATORS PEERS: write the settings of a
# state instance to $DIR/NAME.json; RPC and OPERATORS are ports.
state_settings ()
{
  cat >"$DIR/$1.json" <<X
{"group": "demo", "name": "$1", "region": "$2", "availability_zone": "$3",
 "rpc": "127.0.0.1:$4", "operators": "127.0.0.1:$5", "group_key": "$GROUP_KEY",
 "operator_token": "$TOKEN", "data_folder": "$DIR/$1.data", "state_peers": [$6]}
X
}

# entry_settings NAME REGION ZONE CALLERS OPERATORS RPC STATE_PEERS ENTRY_PEERS:
# write the settings of an entry instance to $DIR/NAME.json.
entry_settings ()
{
  cat >"$DIR/$1.json" <<X
{"group": "demo", "name": "$1", "region": "$2", "availability_zone": "$3",
 "callers": "127.0.0.1:$4", "operators": "127.0.0.1:$5", "rpc": "127.0.0.1:$6",
 "group_key": "$GROUP_KEY", "operator_token": "$TOKEN",
 "state_peers": [$7], "entry_peers": [$8]}
X
}

# peer NAME PORT REGION ZONE: print the JSON object of a peer in settings.
peer ()
{
  printf '{"name": "%s", "rpc": "127.0.0.1:%s", "region": "%s", "availability_zone": "%s"}' "$1" "$2" "$3" "$4"
}

# key_hash KEY: print the BLAKE2b-256 hash of a caller's key in hex.
key_hash ()
{
  python3 -c 'import hashlib, sys; print(hashlib.blake2b(sys.argv[1].encode(), digest_size=32).hexdigest())' "$1"
}

# ctl OPERATORS_PORT ARGS...: run jaycove-ctl against an entry instance.
ctl ()
{
  ctl_port=$1
  shift
  "$BUILD/jaycove-ctl" --server "127.0.0.1:$ctl_port" --token "$TOKEN" "$@"
}

# send_request CALLERS_PORT PATH [BODY]: send a request as a caller, GET or, with
# BODY, POST, and print the answer.
send_request ()
{
  if [ $# -gt 2 ]; then
    curl -sS -m 20 -H "Authorization: Bearer $CALLER_KEY" -H 'Content-Type: application/json' -d "$3" "http://127.0.0.1:$1$2"
  else
    curl -sS -m 20 -H "Authorization: Bearer $CALLER_KEY" "http://127.0.0.1:$1$2"
  fi
}

# has_version OPERATORS_PORT VERSION: test whether that configuration version is
# in force.
has_version ()
{
  [ "$(ctl "$1" status | jq .config_version)" = "$2" ]
}

# has_endpoints OPERATORS_PORT COUNT: test whether at least COUNT endpoints are
# known.
has_endpoints ()
{
  [ "$(ctl "$1" status | jq .endpoints)" -ge "$2" ]
}

# start_two_zones: start one state instance and two zones, each with two entry
# instances, a stand-in engine and a stand-in service. Sets C1..C4 (ports for
# callers) and O1..O4 (ports for operators).
start_two_zones ()
{
  SR=$(port); SO=$(port)
  for i in 1 2 3 4; do
    eval "C$i=$(port); O$i=$(port); R$i=$(port)"
  done
  state_settings s1 at-ost at-ost-1 "$SR" "$SO" ""
  sp=$(peer s1 "$SR" at-ost at-ost-1)
  entry_settings e1 at-ost at-ost-1 "$C1" "$O1" "$R1" "$sp" "$(peer e2 "$R2" at-ost at-ost-1), $(peer e3 "$R3" at-sued at-sued-1), $(peer e4 "$R4" at-sued at-sued-1)"
  entry_settings e2 at-ost at-ost-1 "$C2" "$O2" "$R2" "$sp" "$(peer e3 "$R3" at-sued at-sued-1), $(peer e4 "$R4" at-sued at-sued-1)"
  entry_settings e3 at-sued at-sued-1 "$C3" "$O3" "$R3" "$sp" "$(peer e4 "$R4" at-sued at-sued-1)"
  entry_settings e4 at-sued at-sued-1 "$C4" "$O4" "$R4" "$sp" ""
  start s1 "$BUILD/jaycove-state" --settings "$DIR/s1.json" --bootstrap
  for i in 1 2 3 4; do start "e$i" "$BUILD/jaycove-entry" --settings "$DIR/e$i.json"; done
  for z in 1 2; do
    a=$((2 * z - 1)); b=$((2 * z))
    eval "ea=127.0.0.1:\$C$a eb=127.0.0.1:\$C$b"
    start "engine-$z" "$BUILD/tests/standin-engine" --name "engine-$z" --service assist-llm --model assist-7b-v1 --listen 127.0.0.1:0 --entry "$ea" --entry "$eb"
    start "service-$z" "$BUILD/tests/standin-service" --name "service-$z" --service kassa-ledger --listen 127.0.0.1:0 --entry "$ea" --entry "$eb"
  done
}

# start_three_states: start three regions with a state instance and an entry
# instance each. Sets C1..C3 (ports for callers) and O1..O3 (ports for operators).
start_three_states ()
{
  for i in 1 2 3; do
    eval "SR$i=$(port); SO$i=$(port); C$i=$(port); O$i=$(port); R$i=$(port)"
  done
  p1=$(peer s1 "$SR1" at-ost at-ost-1); p2=$(peer s2 "$SR2" at-sued at-sued-1); p3=$(peer s3 "$SR3" at-west at-west-1)
  state_settings s1 at-ost at-ost-1 "$SR1" "$SO1" "$p2, $p3"
  state_settings s2 at-sued at-sued-1 "$SR2" "$SO2" "$p1, $p3"
  state_settings s3 at-west at-west-1 "$SR3" "$SO3" "$p1, $p2"
  entry_settings e1 at-ost at-ost-1 "$C1" "$O1" "$R1" "$p1, $p2, $p3" ""
  entry_settings e2 at-sued at-sued-1 "$C2" "$O2" "$R2" "$p2, $p3, $p1" ""
  entry_settings e3 at-west at-west-1 "$C3" "$O3" "$R3" "$p3, $p1, $p2" ""
  start s1 "$BUILD/jaycove-state" --settings "$DIR/s1.json" --bootstrap
  for i in 2 3; do start_state "s$i"; done
  for i in 1 2 3; do start "e$i" "$BUILD/jaycove-entry" --settings "$DIR/e$i.json"; done
  wait_for 20 all_replicas_vote
}

# start_state NAME: start a state instance without --bootstrap.
start_state ()
{
  start "$1" "$BUILD/jaycove-state" --settings "$DIR/$1.json"
}

# all_replicas_vote: test whether all three replicas vote according to each of
# them.
all_replicas_vote ()
{
  for i in 1 2 3; do
    eval "port=\$O$i"
    [ "$(ctl "$port" --state "s$i" replicas list | jq '[.replicas[] | select(.voter)] | length')" = 3 ] || return 1
  done
}

# leader OPERATORS_PORT: print the name of the leader known to the state instance
# nearest to that entry instance.
leader ()
{
  ctl "$1" replicas list | jq -r .leader
}

# submit_changes NAME COUNT PORT...: submit COUNT changes as one of several
# concurrent operators. A change without an answer is resent with the same id at
# the next port. After a conflict, the next change is based on the version that
# the answer gives. Writes accepted changes to $DIR/NAME.accepted as "version id".
submit_changes ()
{
  submitter=$1; change_count=$2; shift 2
  known_version=0; change_number=0
  : >"$DIR/$submitter.accepted"
  while [ "$change_number" -lt "$change_count" ]; do
    change_number=$((change_number + 1))
    id=$submitter-$change_number
    tries=0
    printf '{"put": [{"kind": "region", "name": "%s"}]}' "$id" >"$DIR/$id.json"
    while :; do
      reply=$(ctl "$1" --expected-version "$known_version" --change-id "$id" apply "$DIR/$id.json" 2>/dev/null || true)
      status=$(printf '%s' "$reply" | jq -r '.status // "none"' 2>/dev/null || echo none)
      case $status in
        ok|version_conflict) break;;
      esac
      tries=$((tries + 1))
      [ "$tries" -lt 300 ] || { echo "$id got no answer" >&2; return 1; }
      set -- "$@" "$1"; shift
      sleep 0.1
    done
    known_version=$(printf '%s' "$reply" | jq .version)
    [ "$status" != ok ] || echo "$known_version $id" >>"$DIR/$submitter.accepted"
  done
}

# apply_demo_objects: apply the objects of the demo and wait until each entry
# instance has them in force and knows at least two endpoints.
apply_demo_objects ()
{
  sed "s/@KEY_HASH@/$(key_hash "$CALLER_KEY")/" examples/demo-objects.json >"$DIR/objects.json"
  wait_for 10 ctl "$O1" --expected-version 0 --change-id first apply "$DIR/objects.json"
  for o in "$O1" "$O2" "$O3" "$O4"; do
    wait_for 10 has_version "$o" 1
    wait_for 10 has_endpoints "$o" 2
  done
}
