"""Callers that ask the directory, send requests without a pause and count what
came of them: python3 drain_callers.py KEY PATH BODY SECONDS_FILE ADDRESS...

They go on until SECONDS_FILE exists, then print "whole N" and "cut N". A
refused connection and an answer that says "not run" are tried elsewhere."""
import http.client
import json
import os
import sys
import threading

key, path, body, stop_file, *first = sys.argv[1:]
headers = {"Authorization": "Bearer " + key, "Content-Type": "application/json"}
counts = {"whole": 0, "cut": 0, "moved": 0}
lock = threading.Lock()


def count(word, detail=None):
    with lock:
        counts[word] += 1
    if detail:
        print(detail, file=sys.stderr, flush=True)


def directory(known):
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
        return "moved"
    conn.request("POST", path, body=body, headers=headers)
    reply = conn.getresponse()
    text = reply.read()
    if reply.status == 200:
        whole = b"[DONE]" in text if "stream" in body else len(text) > 0
        return "whole" if whole else "cut"
    return "moved" if json.loads(text)["error"].get("run") == "not_run" else "cut"


def caller(number):
    known = first
    while not os.path.exists(stop_file):
        known = directory(known) or first
        address = known[number % len(known)]
        try:
            count(ask(address))
        except (OSError, http.client.HTTPException, ValueError) as error:
            count("cut", f"{address}: {error!r}")


threads = [threading.Thread(target=caller, args=(i,)) for i in range(8)]
for t in threads:
    t.start()
for t in threads:
    t.join()
for word, number in counts.items():
    print(word, number)
