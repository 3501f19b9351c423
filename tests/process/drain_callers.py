"""Callers that look up the entry instances in the directory, send requests
without a pause and count the outcomes:
python3 drain_callers.py KEY PATH BODY STOP_FILE ADDRESS...

They go on until STOP_FILE exists, then print "complete N", "failed N" and
"retried N". A refused connection and an answer that says "not run" count as
retried: the caller sends its next request to an instance that the directory lists."""
import http.client
import json
import os
import sys
import threading

key, path, body, stop_file, *first = sys.argv[1:]
headers = {"Authorization": "Bearer " + key, "Content-Type": "application/json"}
counts = {"complete": 0, "failed": 0, "retried": 0}
lock = threading.Lock()


def count(outcome, detail=None):
    with lock:
        counts[outcome] += 1
    if detail:
        print(detail, file=sys.stderr, flush=True)


def list_instances(known):
    for address in known:
        try:
            conn = http.client.HTTPConnection(address, timeout=5)
            conn.request("GET", "/v1/instances", headers=headers)
            reply = conn.getresponse()
            text = reply.read()
            if reply.status == 200:
                return [i["address"] for i in json.loads(text)["instances"]]
        except (OSError, http.client.HTTPException):
            pass
    return known


def ask(address):
    conn = http.client.HTTPConnection(address, timeout=20)
    try:
        conn.connect()
    except OSError:
        return "retried"
    conn.request("POST", path, body=body, headers=headers)
    reply = conn.getresponse()
    text = reply.read()
    if reply.status == 200:
        complete = b"[DONE]" in text if "stream" in body else len(text) > 0
        return "complete" if complete else "failed"
    not_run = json.loads(text)["error"].get("run") == "not_run"
    return "retried" if not_run else "failed"


def caller(number):
    known = first
    while not os.path.exists(stop_file):
        known = list_instances(known) or first
        address = known[number % len(known)]
        try:
            count(ask(address))
        except (OSError, http.client.HTTPException, ValueError) as error:
            count("failed", f"{address}: {error!r}")


threads = [threading.Thread(target=caller, args=(i,)) for i in range(8)]
for t in threads:
    t.start()
for t in threads:
    t.join()
for outcome, number in counts.items():
    print(outcome, number)
