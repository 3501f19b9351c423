"""Callers in a region without endpoints, whose requests are handed over to instances of another region while the
configuration changes. Usage: handover_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds
addresses.json."""
import asyncio
import os
import random
import re
import signal
import sys
import time
from collections import Counter

from hosts_standin import ADDRESSES, WAIT_S, Endpoint, ask, configuration, in_force, order, pid, read_body, read_head, route, until, use

TIMEOUT_MS = 6000
# Time for a refusal after the time-out, by the users' rule on time-outs.
SLACK_S = 0.5
# How long the instances stay stopped after the requests are sent.
STOPPED_S = 0.05
# Requests for the route that a change adds: enough that some go to the instance that is behind first.
OWN_CALLS = 12
# Rounds in which one other instance is behind; on a busy machine all may seem gone in some.
ROUNDS = 4
OPERATOR = [("Authorization", "Bearer operator")]
VERSIONS = iter(range(3, 1000))
PATHS = ("/kept/x", "/moved/x", "/once/x", "/stream/x")
CALLS = 4


class Kept:
    """A kept connection to the first entry instance and its request for PATH."""

    def __init__(self, path):
        self.path, self.status, self.whole, self.body = path, 0, False, b""

    async def connect(self):
        host, port = ADDRESSES["entries"][0].rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    def send(self):
        attempt = "%016x" % random.getrandbits(64)
        self.sent = time.monotonic()
        self.writer.write(f"POST {self.path} HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: {attempt}\r\n"
                          f"X-Jaycove-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\nbody".encode())

    async def answer(self):
        try:
            async with asyncio.timeout(WAIT_S):
                start, fields = await read_head(self.reader)
                self.status = int(start.split()[1])
                self.body, self.whole = await read_body(self.reader, fields)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        self.ended = time.monotonic()
        self.writer.close()


def configured(version, changed):
    """The configuration VERSION: CHANGED moves one route, removes one, adds one and lowers the limit of bodies."""
    more = {"timeout-ms": TIMEOUT_MS}
    routes = [route("kept", "safe", "plain", **more), route("stream", "stream", "engine", **more),
              route("once", "unsafe", "plain", **more),
              route("moved", "safe", "engine" if changed else "plain", **more),
              route("added" if changed else "removed", "safe", "plain", **more)]
    return configuration(version, routes).replace(b'"max-body-bytes": 100000',
                                                  b'"max-body-bytes": %d' % (2000 if changed else 100000))


async def version_in_force(name):
    """The version of the configuration that the entry instance NAME decides by."""
    text = (await ask(ADDRESSES["operators"][int(name[1:]) - 1], "GET", "/metrics", OPERATOR)).body.decode()
    return int(re.search(r"^jaycove_config_version{} (.*)$", text, re.M).group(1))


async def change_under(stopped, changed):
    """Stops the entry instances STOPPED, changes the configuration, sends requests to the first entry instance once the
    change is in force at the others, and lets those that were stopped go on. Returns how many requests for the route
    that only this configuration has were answered. Each request gets a whole answer or refusal by its time-out, counted
    from when the instances go on; a stream that their stop delayed beyond its own may be cut."""
    own = "/added/x" if changed else "/removed/x"
    streams = [await Kept("/stream/x").connect() for _ in range(CALLS)]
    for stream in streams:
        stream.send()
    version = next(VERSIONS)

    async def is_in_force():
        return all([await version_in_force(name) == version for name in ("e1", "e2", "e3") if name not in stopped])
    for name in stopped:
        os.kill(pid(name), signal.SIGSTOP)
    try:
        await order("/v1/Config.Replace", configured(version, changed))
        await until("the change to be in force", is_in_force)
        calls = [await Kept(path).connect() for path in [path for path in PATHS for _ in range(CALLS)] + [own] * OWN_CALLS]
        for call in calls:
            call.send()
        await asyncio.sleep(STOPPED_S)
    finally:
        for name in stopped:
            os.kill(pid(name), signal.SIGCONT)
    resumed = time.monotonic()
    await asyncio.gather(*(call.answer() for call in [*calls, *streams]))
    await in_force(ADDRESSES["entries"], own, 200)
    late = [c.path for c in [*calls, *streams] if c.ended - max(c.sent, resumed) > TIMEOUT_MS / 1000 + SLACK_S]
    lost = [(c.path, c.status) for c in [*calls, *streams] if c.status not in (200, 404, 502, 503, 504)
            or not (c.whole or (c in streams and c.ended - c.sent > TIMEOUT_MS / 1000))]
    print(stopped, dict(Counter((c.path, c.status, c.whole) for c in [*calls, *streams])), flush=True)
    assert not late, late
    assert not lost, lost
    # A refusal that came before an endpoint was asked takes no retry.
    assert not [c.path for c in calls if b"budget of retries" in c.body], "a request was refused for want of a retry"
    return sum(call.status == 200 for call in calls if call.path == own)


async def changes():
    """Instances are stopped while a change comes into force at others, and go on with requests that were handed over to
    them, or hand them over. If one of two instances of the other region is behind, the other one answers."""
    for service in ("plain", "engine"):
        for i in range(3):
            await Endpoint(f"{service}-{i}", service, "z2").start()
    await order("/v1/Config.Replace", configured(next(VERSIONS), False))
    await in_force(ADDRESSES["entries"], "/removed/x", 200)
    for stopped in (("e1",), ("e2", "e3")):
        for changed in (True, False):
            await change_under(stopped, changed)
    answered = [await change_under(("e2",), i % 2 == 0) for i in range(ROUNDS)]
    assert max(answered) == OWN_CALLS, answered


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"changes": changes}[sys.argv[1]]())
