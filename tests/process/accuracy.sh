# jaycove-ctl accuracy compares the prediction of a first attempt with the times
# of its stream, and leaves out retries, attempts in another region and requests
# that failed.
set -eu
. scripts/cluster.sh
trap stop_all EXIT

cat >"$DIR/e.log" <<X
time=1.400 event=attempt id=a route=r place=p away=0 number=1 left_ms=9000 running=3 unread=0 first=100 answer=500 pause=50
time=1.050 event=attempt id=b route=r place=p away=0 number=1 left_ms=9000 running=5 unread=0 first=100 answer=400 pause=50
time=0.000 event=attempt id=c route=r place=p away=0 number=1 left_ms=9000 running=20 unread=9 first=200 answer=800 pause=90
time=1.100 event=attempt id=d route=r place=e2 away=1 number=1 left_ms=9000
time=1.200 event=attempt id=e route=r place=p away=0 number=2 left_ms=9000 running=3 unread=0 first=1 answer=1 pause=1
time=2.000 event=served id=a route=r outcome=stream place=p tried=1 sent=1 ms=600 first_ms=100 gap_ms=100
time=2.000 event=served id=b route=r outcome=stream place=p tried=1 sent=1 ms=1000 first_ms=200 gap_ms=50
time=2.000 event=served id=c route=r outcome=stream place=p tried=1 sent=1 ms=2400 first_ms=800 gap_ms=900
time=2.000 event=served id=d route=r outcome=stream place=e2 tried=1 sent=1 ms=600 first_ms=100 gap_ms=100
time=2.000 event=served id=e route=r outcome=stream place=p tried=2 sent=2 ms=600 first_ms=100 gap_ms=100
time=2.000 event=failed id=b route=r outcome=stream_broken place=p tried=1 sent=1 ms=600 first_ms=100 gap_ms=100
X
"$BUILD/jaycove-ctl" accuracy "$DIR/e.log" >"$DIR/out"
diff - "$DIR/out" <<X
route             load what   streams predicted      seen  seen p99  ratio    p90    p99
r                   0+ first        2       100       100       100   1.00   1.00   1.00
r                   0+ answer       2       400       500       500   1.00   1.00   1.00
r                   0+ pause        2        50        50        50   1.00   1.00   1.00
r                  16+ first        1       200       400       400   2.00   2.00   2.00
r                  16+ answer       1       800      1600      1600   2.00   2.00   2.00
r                  16+ pause        1        90       900       900  10.00  10.00  10.00
X
code=0
"$BUILD/jaycove-ctl" accuracy "$DIR/none.log" 2>/dev/null >/dev/null || code=$?
[ "$code" = 1 ]
