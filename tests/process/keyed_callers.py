"""Callers that send each request with its key to random instances until its
outcome is known: python3 keyed_callers.py PORTS TOKEN PATH KEYS SEED.
Prints a line "KEY OUTCOME" per key and a last line of totals as JSON."""

import concurrent.futures
import json
import random
import sys
import threading
import time
import urllib.error
import urllib.request

CALLERS = 16
TRIES_MAX = 40
RETRY_PAUSE_S = 0.25

ports, token, path, keys, seed = (sys.argv[1].split(","), sys.argv[2],
                                  sys.argv[3], int(sys.argv[4]),
                                  int(sys.argv[5]))
answers = {}
lock = threading.Lock()


def ask(port, key):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=json.dumps({"mark": key}).encode(),
        headers={"Authorization": f"Bearer {token}", "X-Deadline-Ms": "3000",
                 "Idempotency-Key": key, "Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=6) as answer:
            return "done", json.load(answer).get("mark")
    except urllib.error.HTTPError as error:
        return error.headers.get("X-Jaycove-Error", str(error.code)), None
    except (OSError, ValueError):
        return "no_answer", None


def call(key):
    rng = random.Random(f"{seed} {key}")
    kind = "none"
    for _ in range(TRIES_MAX):
        kind, mark = ask(rng.choice(ports), key)
        with lock:
            answers[kind] = answers.get(kind, 0) + 1
        if kind == "done":
            return key, "done" if mark == key else "wrong_answer"
        time.sleep(RETRY_PAUSE_S)
        if kind == "outcome_unknown" and rng.random() < 0.5:
            break
    return key, kind


with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
    outcomes = list(pool.map(call, [f"key-{seed}-{n}" for n in range(keys)]))
totals = {}
for key, kind in outcomes:
    totals[kind] = totals.get(kind, 0) + 1
    print(key, kind)
print(json.dumps({"outcomes": totals, "answers": answers}, sort_keys=True))
