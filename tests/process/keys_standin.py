"""Callers with and without keys of workspaces, at entry instances of two regions, and endpoints that keep the head of
each request. Usage: keys_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import glob
import json
import os
import random
import re
import signal
import sys

import hosts_standin
from hosts_standin import ADDRESSES, Endpoint, ask, configuration, order, pid, read_body, request, route, until, use

# Distinct texts, to be found wherever they get to.
KEYS = {name: f"key-of-{name}-{random.getrandbits(64):016x}"
        for name in ("alpha", "alpha2", "beta", "gamma", "late", "nobody")}
VERSIONS = iter(range(3, 1000))
AWAY = {"home-regions": ["r2"]}
ROUTES = [route("read", "safe", "plain", priority=2), route("write", "unsafe", "plain"),
          route("stream", "stream", "engine", **{"max-attempts": 3}),
          route("tight", "stream", "engine", **{"gap-slo-ms": 200, "slo-ms": 30000, "home-regions": ["r1"]}), route("away", "safe", "plain", **AWAY),
          route("open", "safe", "plain", anonymous=True), route("openaway", "safe", "plain", anonymous=True, **AWAY)]
CLOSED = ("/read/x", "/write/x", "/stream/x", "/away/x")
ROUNDS = 6
# Long prompts, enough for all engines.
LONG = 12
# How often a caller comes back while the instances of the other region seem to be gone.
REPEATS = 20
# Requests that are refused at up to two endpoints, and as many before as earn the retries.
HELD, EARNING = 3, 40
# Notes as a caller might invent them: what the hand-over listener gets from other instances.
FORGED = [("X-Jaycove-Key-Note", "999999,," + "0" * 32), ("X-Jaycove-Tenant", "beta")]


class Head(dict):
    """The fields of a head, and its LINES in order."""


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    head = Head((k.lower(), v.strip()) for k, _, v in (line.partition(":") for line in lines[1:] if line))
    head.lines = lines[1:-2]
    if "x-held" in head:
        await Noting.release.wait()
    return lines[0], head


hosts_standin.read_head = read_head


class Noting(Endpoint):
    """An endpoint that keeps the heads of all requests that are meant for it, also of those that it refuses: where
    X-Refused-In names its zone. It begins with requests that have X-Held once RELEASE is set."""
    heads, release = [], asyncio.Event()

    def refuses_request(self, fields):
        Noting.heads.append((fields["x-jaycove-attempt-id"], self.zone, fields))
        return fields.get("x-refused-in") == self.zone


def bearer(*keys):
    return [("Authorization", f"Bearer {key}") for key in keys]


def workspace(name, *keys, **more):
    return {"name": name, "api-keys": list(keys), "priority": 1, "unit": "requests", "plain-tokens": 1, "rate-per-s": 0,
            "burst": 0, "home-regions": []} | more


ALPHA = workspace("alpha", KEYS["alpha"], KEYS["alpha2"])
BETA = workspace("beta", KEYS["beta"])
GAMMA = workspace("gamma", KEYS["gamma"], **AWAY)


def configured(version, workspaces):
    """The configuration VERSION with WORKSPACES, None for one that has no list of them."""
    text = json.loads(configuration(version, ROUTES))
    return json.dumps(text if workspaces is None else text | {"tenants": workspaces}).encode()


async def metrics(entry):
    return (await ask(ADDRESSES["operators"][entry], "GET", "/metrics")).body.decode()


async def put(workspaces, entries=None):
    """Puts a configuration with WORKSPACES in force at ENTRIES, by default all."""
    version = next(VERSIONS)
    await order("/v1/Config.Replace", configured(version, workspaces))

    async def is_in_force():
        numbers = entries if entries is not None else range(len(ADDRESSES["entries"]))
        return all([f"jaycove_config_version{{}} {version}\n" in await metrics(i) for i in numbers])
    await until(f"version {version} to be in force", is_in_force)
    return version


def heads_of(attempt):
    return [(zone, head) for id, zone, head in Noting.heads if id == attempt]


def check_head(head, name, forwards=()):
    """HEAD, as it came to an endpoint, must name the workspace NAME once, or none if it is None, and hold neither a key
    nor what instances tell each other."""
    found = [line for line in head.lines if line.lower().startswith("x-jaycove-tenant:")]
    assert found == ([f"X-Jaycove-Tenant: {name}"] if name else []), head.lines
    assert "authorization" not in head and "x-jaycove-key-note" not in head, head.lines
    assert not [key for key in KEYS.values() if key in "".join(head.lines)], head.lines


async def answer_of(entry, path, headers, repeats=0):
    """Sends a request for PATH with HEADERS to ENTRY, and up to REPEATS times again while no instance can take it.
    Returns the id of the last attempt and the answer to it."""
    method = "GET" if "read" in path else "POST"
    while True:
        attempt = "%016x" % random.getrandbits(64)
        reply = await request(entry, method, path, b"" if method == "GET" else b"body", attempt, headers)
        if reply.status != 503 or repeats == 0:
            return attempt, reply
        repeats -= 1
        await asyncio.sleep(float(reply.headers["retry-after"]))


async def served(entry, path, name, headers, zone=None, repeats=0):
    """Sends a request for PATH with HEADERS to ENTRY, which must be served for the workspace NAME, in ZONE if given.
    Returns the heads that came to endpoints."""
    attempt, reply = await answer_of(entry, path, headers, repeats)
    assert reply.status == 200 and reply.whole, (entry, path, headers, reply.status, reply.body)
    heads = heads_of(attempt)
    assert heads, "no endpoint got it"
    for _, head in heads:
        check_head(head, name)
    assert zone is None or heads[-1][0] == zone, heads
    return heads


async def refused(entry, path, headers, body=b"body"):
    """Sends the head of a request for PATH, and none of its body, to ENTRY, which must refuse its key."""
    attempt = "%016x" % random.getrandbits(64)
    host, port = entry.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = [("Host", "site.example"), ("X-Jaycove-Attempt-Id", attempt), ("Content-Length", len(body)), *headers]
    writer.write(f"POST {path} HTTP/1.1\r\n".encode() + "".join(f"{k}: {v}\r\n" for k, v in fields).encode() + b"\r\n")
    async with asyncio.timeout(hosts_standin.WAIT_S):
        start, head = await read_head(reader)
        text, _ = await read_body(reader, head)
    writer.close()
    assert start.split()[1] == "401", (path, headers, start)
    assert head["x-jaycove-error"] == "api_key_refused" and head["x-jaycove-run"] == "not_run", head
    assert not [key for key in KEYS.values() if key.encode() in text], text
    assert not heads_of(attempt), "it reached an endpoint"


async def refused_later(entry, path, headers):
    """Sends a whole request for PATH to ENTRY, which must refuse its key whichever instance finds that out."""
    attempt, reply = await answer_of(entry, path, headers, REPEATS)
    assert reply.status == 401, (path, reply.status, reply.body)
    assert reply.headers["x-jaycove-error"] == "api_key_refused", reply.headers
    assert not heads_of(attempt), "it reached an endpoint"


async def start_endpoints():
    endpoints = [await Noting(f"{service}-{zone}-{i}", service, zone).start()
                 for service in ("plain", "engine") for zone in ("z1", "z2") for i in range(2)]

    async def all_serve():
        for entry in ADDRESSES["entries"]:
            for path in (*CLOSED, "/open/x"):
                if (await request(entry, "POST", path, headers=bearer(KEYS["alpha"]))).status != 200:
                    return False
        return True
    return endpoints, all_serve


async def check_callers():
    """What callers with and without keys get, at each entry instance."""
    bad = [[], bearer(KEYS["nobody"]), bearer(""), [("Authorization", "")], [("Authorization", "Bearer")],
           [("Authorization", f"Basic {KEYS['alpha']}")], [("Authorization", KEYS["alpha"])],
           bearer(KEYS["alpha"], KEYS["alpha"]), bearer(KEYS["alpha"], KEYS["beta"]), bearer(KEYS["alpha"][:-1]),
           bearer(KEYS["alpha"] + "0"), bearer(KEYS["alpha"].upper()), [("X-Jaycove-Tenant", "alpha")], FORGED]
    for entry in ADDRESSES["entries"]:
        for headers in bad:
            for path in CLOSED:
                await refused(entry, path, headers)
        assert (await request(entry, "GET", "/none/x")).status == 404
        for path in CLOSED:
            await served(entry, path, "alpha", bearer(KEYS["alpha"]))
            await served(entry, path, "alpha", bearer(KEYS["alpha2"]) + [("X-Jaycove-Tenant", "beta")])
            await served(entry, path, "beta", [("authorization", f"bearer  {KEYS['beta']}")] + FORGED)
        for headers in ([], bearer(KEYS["alpha"]), bearer(KEYS["nobody"]), FORGED, [("X-Jaycove-Tenant", "beta")]):
            await served(entry, "/open/x", None, headers)
            await served(entry, "/openaway/x", None, headers, "z2")
        # The route's home and that of the workspace both bind.
        await served(entry, "/away/x", "alpha", bearer(KEYS["alpha"]), "z2")
        for path in ("/read/x", "/write/x", "/stream/x", "/away/x"):
            await served(entry, path, "gamma", bearer(KEYS["gamma"]), "z2")


async def check_attempts():
    """Each attempt carries the workspace: after a refusal, a failure and a crash in the middle of a stream."""
    entry = ADDRESSES["entries"][0]
    for _ in range(20):
        await served(entry, "/read/x", "beta", bearer(KEYS["beta"]))
        await served(entry, "/stream/x", "beta", bearer(KEYS["beta"]))
    for answer in ("refuse", "fail"):
        Endpoint.next_answers = [answer]
        heads = await served(entry, "/read/x", "beta", bearer(KEYS["beta"]) + [("X-Jaycove-Tenant", "alpha")])
        assert len(heads) == 2, heads
    Endpoint.crash_at = 3
    heads = await served(entry, "/stream/x", "beta", bearer(KEYS["beta"]))
    assert len(heads) >= 2 and heads[-1][1]["last-event-id"] == "2", heads


def prompt(shared):
    return [("X-Jaycove-Token-Count", f"{shared + 20},80"),
            ("X-Jaycove-Prompt-Prefix", f"{random.getrandbits(32):x}:{shared},{random.getrandbits(32):x}:20")]


async def check_queued():
    """A request that waits for its turn at an engine goes there for its workspace, though its key has gone since."""
    entry = ADDRESSES["entries"][0]
    key = bearer(KEYS["late"])
    await put([workspace("alpha", KEYS["late"]), BETA, GAMMA])
    Noting.release.clear()
    long = [asyncio.create_task(request(entry, "POST", "/stream/x", headers=bearer(KEYS["beta"]) + prompt(20000)
                                        + [("X-Held", "1")])) for _ in range(LONG)]
    await asyncio.sleep(0.3)
    tight = asyncio.create_task(served(entry, "/tight/x", "alpha", key + prompt(20)))

    async def waits():
        assert not tight.done(), "the request was not queued"
        return "jaycove_waiting{} 1\n" in await metrics(0)
    await until("a request to wait in the queue", waits)
    await put([ALPHA, BETA, GAMMA])
    await refused(entry, "/tight/x", key)
    Noting.release.set()
    await tight
    assert all(reply.status == 200 for reply in await asyncio.gather(*long))


async def check_kept_connection():
    """One connection carries requests of several workspaces."""
    host, port = ADDRESSES["entries"][0].rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    for i, name in enumerate(("alpha", "beta", "gamma", "nobody", "alpha2", None, "beta") * 3):
        attempt = "%016x" % random.getrandbits(64)
        key = f"Authorization: Bearer {KEYS[name]}\r\n" if name else ""
        path = "/read/x" if name else "/open/x"
        writer.write(f"GET {path} HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: {attempt}\r\n{key}\r\n".encode())
        start, head = await read_head(reader)
        await read_body(reader, head)
        assert start.split()[1] == ("401" if name == "nobody" else "200"), (i, name, start)
        heads = heads_of(attempt)
        assert len(heads) == (0 if name == "nobody" else 1), heads
        for _, received in heads:
            check_head(received, name.rstrip("2") if name else None)
    writer.close()


async def check_handover_listener():
    """Whoever reaches the listener for other instances still needs a key or the key of the group."""
    host, port = ADDRESSES["operators"][3].rsplit(":", 1)
    listener = f"{host}:{int(port) + 1}"
    for headers in ([], FORGED, bearer(KEYS["nobody"]), FORGED + bearer(KEYS["nobody"])):
        await refused(listener, "/read/x", headers)
    # As instances of a build that knows no workspaces hand over.
    await served(listener, "/read/x", "alpha", bearer(KEYS["alpha"]) + FORGED)


async def check_changes():
    """Keys that are added, taken away and moved."""
    entries = ADDRESSES["entries"]
    await put([workspace("alpha", KEYS["alpha2"], KEYS["late"]), workspace("beta"),
               workspace("gamma", KEYS["gamma"], KEYS["beta"])])
    for entry in entries:
        for path in CLOSED:
            await refused(entry, path, bearer(KEYS["alpha"]))
            await served(entry, path, "alpha", bearer(KEYS["alpha2"]))
            await served(entry, path, "alpha", bearer(KEYS["late"]))
            await served(entry, path, "gamma", bearer(KEYS["beta"]))
    await put([])
    for entry in entries:
        for name in KEYS:
            await refused(entry, "/read/x", bearer(KEYS[name]))
        await served(entry, "/open/x", None, bearer(KEYS["alpha"]))
    # Without a list everything is as it was before there were workspaces.
    await put(None)
    for entry in entries:
        for path in ("/read/x", "/away/x", "/open/x"):
            attempt = "%016x" % random.getrandbits(64)
            sent = bearer("any") + [("X-Jaycove-Tenant", "own")]
            assert (await request(entry, "POST", path, b"body", attempt, sent)).status == 200
            for _, head in heads_of(attempt):
                assert head["authorization"] == "Bearer any" and head["x-jaycove-tenant"] == "own", head
    await put([ALPHA, BETA, GAMMA])


async def stopped_while(names, workspaces, send):
    """Stops the entry instances NAMES while a configuration with WORKSPACES comes into force at the others, begins to
    SEND, and lets them go on."""
    numbers = [i for i in range(6) if f"e{i + 1}" not in names]
    for name in names:
        os.kill(pid(name), signal.SIGSTOP)
    try:
        await put(workspaces, numbers)
        tasks = [asyncio.create_task(send()) for _ in range(ROUNDS)]
        await asyncio.sleep(0.05)
    finally:
        for name in names:
            os.kill(pid(name), signal.SIGCONT)
    await asyncio.gather(*tasks)


async def check_behind():
    """Where the two instances of a hand-over have different versions, the newer one counts."""
    entry = ADDRESSES["entries"][0]
    others = ("e4", "e5", "e6")
    late = bearer(KEYS["late"])
    for _ in range(3):
        # Those that get the requests are behind: the key is new, and then moves.
        await stopped_while(others, [workspace("alpha", KEYS["late"]), BETA, GAMMA],
                            lambda: served(entry, "/away/x", "alpha", late, "z2", REPEATS))
        await stopped_while(others, [ALPHA, workspace("beta", KEYS["late"])],
                            lambda: served(entry, "/away/x", "beta", late, "z2", REPEATS))
        # The one that hands them over is behind: the key moves, and is then taken away, with its workspace too.
        await stopped_while(("e1",), [workspace("alpha", KEYS["late"]), BETA],
                            lambda: served(entry, "/away/x", "alpha", late, "z2", REPEATS))
        await stopped_while(("e1",), [workspace("alpha"), BETA], lambda: refused_later(entry, "/away/x", late))
        await put([workspace("alpha", KEYS["late"]), BETA])
        await stopped_while(("e1",), [BETA], lambda: refused_later(entry, "/away/x", late))
    await put([ALPHA, BETA, GAMMA])


async def retried_while(workspaces, key):
    """Sends requests with KEY that the endpoints of the first region refuse only after a configuration with WORKSPACES
    is in force, so that the first instance, which decides by the one before, hands them over to the other region.
    Returns their answers, and the heads that came to endpoints there."""
    entry = ADDRESSES["entries"][0]
    attempts = ["%016x" % random.getrandbits(64) for _ in range(HELD)]
    Noting.release.clear()
    tasks = [asyncio.create_task(request(entry, "GET", "/read/x", b"", attempt,
                                         bearer(key) + [("X-Held", "1"), ("X-Refused-In", "z1")]))
             for attempt in attempts]
    await asyncio.sleep(0.2)
    await put(workspaces)
    Noting.release.set()
    replies = await asyncio.gather(*tasks)
    heads = [heads_of(attempt) for attempt in attempts]
    assert all(each and each[0][0] == "z1" for each in heads), heads
    return replies, [head for each in heads for zone, head in each if zone == "z2"]


async def check_sender_behind():
    """An instance that hands requests over by an older configuration learns that their key is gone or has moved."""
    for gone in ([workspace("alpha"), BETA], [BETA], []):
        await put([workspace("alpha", KEYS["late"]), BETA])
        for _ in range(EARNING):
            await served(ADDRESSES["entries"][0], "/read/x", "alpha", bearer(KEYS["late"]))
        replies, heads = await retried_while(gone, KEYS["late"])
        assert [r.status for r in replies] == [401] * HELD, [r.status for r in replies]
        assert all(r.headers["x-jaycove-error"] == "api_key_refused" for r in replies)
        assert not heads, heads
    await put([workspace("alpha", KEYS["late"]), BETA])
    for _ in range(EARNING):
        await served(ADDRESSES["entries"][0], "/read/x", "alpha", bearer(KEYS["late"]))
    replies, heads = await retried_while([workspace("alpha"), workspace("beta", KEYS["late"])], KEYS["late"])
    assert [r.status for r in replies] == [200] * HELD, [r.status for r in replies]
    assert len(heads) == HELD
    for head in heads:
        check_head(head, "beta")
    await put([ALPHA, BETA, GAMMA])


async def check_faults():
    """A configuration with a faulty workspace changes nothing, and its error names the fault but no key."""
    for workspaces, parts in (([ALPHA, workspace("delta", KEYS["alpha"])], ("delta", "alpha")),
                              ([ALPHA, ALPHA], ("alpha",)), (["x"], ("tenants 0",)),
                              ([workspace("delta", KEYS["late"], **{"rate-per-s": -1})], ("delta", "rate-per-s"))):
        reply = await ask(ADDRESSES["control"][0], "POST", "/v1/Config.Replace", body=configured(999, workspaces))
        assert reply.status == 400, reply.status
        assert all(part.encode() in reply.body for part in parts), reply.body
        assert b"key-of" not in reply.body, reply.body
    await served(ADDRESSES["entries"][0], "/read/x", "alpha", bearer(KEYS["alpha"]))


async def check_logs():
    """Refused callers are counted and logged with the reason, served ones with their workspace, and no key is in a log
    or a metric."""
    text = await metrics(0)
    for reason in ("missing", "malformed", "unknown"):
        assert re.search(r'^jaycove_refused_keys_total{reason="%s"} [1-9]' % reason, text, re.M), text
    log = open(f"{hosts_standin.DIR}/e1.out").read()
    for reason in ("missing", "malformed", "unknown"):
        assert re.search(rf"event=refused .*id=[0-9a-f]{{16}} route=read outcome=api_key_refused reason={reason} "
                         r"version=\d+ guest=0", log), reason
    for name in ("alpha", "beta", "gamma", "-"):
        assert re.search(rf"event=served .* workspace={name}\b", log) or name == "-" and " workspace=-" in log, name
    for path in glob.glob(f"{hosts_standin.DIR}/*.out") + glob.glob(f"{hosts_standin.DIR}/*.log"):
        assert "key-of" not in open(path, errors="replace").read(), path
    for i in range(len(ADDRESSES["entries"])):
        assert "key-of" not in await metrics(i)


async def beside_production():
    """The first instance of each region is of production, which knows no workspaces, the second one of this build.
    What they hand over to each other keeps to the keys; only the heads of what an instance of production sends
    by itself are as its callers sent them."""
    new, old = ADDRESSES["entries"][1], ADDRESSES["entries"][0]
    await start_endpoints()
    await put([ALPHA, BETA, GAMMA])

    async def taken(entry):
        return (await request(entry, "POST", "/away/x", headers=bearer(KEYS["alpha"]))).status == 200
    for entry in (new, old):
        await until("hand-overs", lambda entry=entry: taken(entry))
    for _ in range(4 * ROUNDS):
        # To instances of both builds.
        await served(new, "/away/x", "alpha", bearer(KEYS["alpha"]) + [("X-Jaycove-Tenant", "beta")], "z2")
        await served(new, "/openaway/x", None, bearer(KEYS["alpha"]) + FORGED, "z2")
    for _ in range(4 * ROUNDS):
        attempt, reply = await answer_of(old, "/away/x", bearer(KEYS["nobody"]) + FORGED)
        passed = [head for _, head in heads_of(attempt) if "authorization" not in head]
        assert reply.status in (200, 401, 503) and not passed, (reply.status, passed)
        attempt, reply = await answer_of(old, "/away/x", bearer(KEYS["beta"]) + [("X-Jaycove-Tenant", "alpha")])
        assert reply.status == 200, reply.status
        for _, head in heads_of(attempt):
            if "authorization" not in head:
                check_head(head, "beta")

    async def both_got_some():
        # Logs are written some time after the requests.
        return handed_over(2) > 0 and handed_over(3) > 0
    await until("lines of hand-overs to both instances of the other region", both_got_some)


def handed_over(entry):
    """Returns how many requests the instance number ENTRY ended that another one handed over to it."""
    return open(f"{hosts_standin.DIR}/e{entry + 1}.out").read().count(" guest=1 ")


async def keys():
    for entry in ADDRESSES["entries"]:
        for headers in ([], bearer(KEYS["alpha"])):
            assert (await request(entry, "GET", "/read/x", headers=headers)).status == 503
    _, all_serve = await start_endpoints()
    await put([ALPHA, BETA, GAMMA])
    await until("all instances to serve", all_serve)
    for check in (check_callers, check_attempts, check_queued, check_kept_connection, check_handover_listener, check_changes,
                  check_behind, check_sender_behind, check_faults, check_logs):
        print(check.__name__, flush=True)
        await check()
    for _, _, head in Noting.heads:
        assert "key-of" not in "".join(head.lines), head.lines


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run(globals()[sys.argv[1]]())
