# jaycove-ctl outcomes counts how callers' requests ended by route, availability
# zone, workspace and second, and leaves out those that were handed over.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

cat >"$DIR/a.log" <<X
time=0.500 event=start role=entry name=e1 region=r1 zone=z1 level=2
time=1.000 event=served id=a route=ask outcome=stream ms=900 guest=0 first_ms=100 gap_ms=50 objective_ms=500 pause_max_ms=400 workspace=alpha
time=1.100 event=served id=b route=ask outcome=stream ms=900 guest=0 first_ms=600 gap_ms=50 objective_ms=500 pause_max_ms=400 workspace=alpha
time=1.200 event=served id=c route=ask outcome=stream ms=900 guest=0 first_ms=200 gap_ms=401 objective_ms=500 pause_max_ms=400 workspace=beta
time=1.300 event=served id=d route=put outcome=answer ms=70 guest=0 first_ms=0 gap_ms=0 objective_ms=60 pause_max_ms=0 workspace=-
time=2.000 event=refused id=e route=ask outcome=overloaded ms=0 guest=0 first_ms=0 gap_ms=0 objective_ms=500 pause_max_ms=400 workspace=beta
time=2.000 event=refused id=f route=ask outcome=overloaded ms=0 guest=1 first_ms=0 gap_ms=0 objective_ms=500 pause_max_ms=400 workspace=beta
time=2.000 event=attempt id=g route=ask guest=0
X
cat >"$DIR/b.log" <<X
time=0.500 event=start role=entry name=e2 region=r1 zone=z2 level=2
time=2.500 event=failed id=h route=ask outcome=stream_broken ms=900 guest=0 first_ms=100 gap_ms=50 objective_ms=500 pause_max_ms=400 workspace=beta
time=2.600 event=gone id=i route=put outcome=caller_left ms=10 guest=0 first_ms=0 gap_ms=0 objective_ms=60 pause_max_ms=0 workspace=-
X
"$BUILD/jaycove-ctl" outcomes "$DIR/a.log" - <"$DIR/b.log" >"$DIR/out"
diff - "$DIR/out" <<X
route              asked in time    late refused  failed    left  p50 ms  p99 ms
ask                    5       1       2       1       1       0     200     200
put                    2       0       1       0       0       1      70      70

zone               asked in time    late refused  failed    left  p50 ms  p99 ms
z1                     5       1       3       1       0       0     100     200
z2                     2       0       0       0       1       1       0       0

workspace          asked in time    late refused  failed    left  p50 ms  p99 ms
-                      2       0       1       0       0       1      70      70
alpha                  2       1       1       0       0       0     100     100
beta                   3       0       1       1       1       0     200     200

second             asked in time    late refused  failed    left  p50 ms  p99 ms
1                      4       1       3       0       0       0     100     200
2                      3       0       0       1       1       1       0       0
X
code=0
"$BUILD/jaycove-ctl" outcomes "$DIR/none.log" 2>/dev/null >/dev/null || code=$?
[ "$code" = 1 ]
