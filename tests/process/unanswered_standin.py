"""Callers whose requests are whole and must get an answer or a refusal, and streams that must not be cut.
Usage: unanswered_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import os
import random
import re
import signal
import sys
import time

from hosts_standin import ADDRESSES, WAIT_S, Endpoint, ask, configuration, in_force, order, pid, read_body, read_head, request, route, until, use

DEADLINE_MS = 800
# How long the entry instance is stopped, beyond the request's time.
STOPPED_S = 0.2
# Time for a refusal after its cause, as the users' rule on time-outs allows it.
SLACK_S = 0.5
BAD_PART = "bad1:200"
TIGHT = "7160"
LIMIT = b'"max-body-bytes": 100000'
VERSIONS = iter(range(3, 1000))
OPERATOR = [("Authorization", "Bearer operator")]


def prompt(*parts):
    tokens = sum(int(part.split(":")[1]) for part in parts)
    return [("X-Jaycove-Model", "m"), ("X-Jaycove-Token-Count", "%d,4" % tokens), ("X-Jaycove-Prompt-Prefix", ",".join(parts))]


def own_part():
    return "%08x:20" % random.getrandbits(32)


async def gauge(name):
    """The value of the metric NAME at the first entry instance."""
    text = (await ask(ADDRESSES["operators"][0], "GET", "/metrics", OPERATOR)).body.decode()
    return float(re.search(r"^%s{} (.*)$" % name, text, re.M).group(1))


class Mute(Endpoint):
    """Takes the request TIGHT and never answers it."""

    def is_deadly(self, start, fields, body):
        return fields["x-jaycove-attempt-id"] == TIGHT

    async def die(self):
        await asyncio.Event().wait()


async def queued():
    """A request waits in the queue, since much is to be read before it, while its time ends and its entry instance
    stands still. It is refused then; it doesn't go to an endpoint that never answers."""
    engine = await Mute("engine-0", "engine", "z1").start()
    routes = [route("read", "safe", "engine"), route("stream", "stream", "engine"),
              route("tight", "stream", "engine", **{"gap-slo-ms": 200, "slo-ms": 30000})]
    await order("/v1/Config.Replace", configuration(3, routes))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    # New streams are refused until the entry instance has heard the version of the endpoint.
    await in_force(ADDRESSES["entries"], "/stream/x", 200)
    Endpoint.stall_at, Endpoint.stall_s = 0, 2 * WAIT_S
    stream = asyncio.create_task(request(ADDRESSES["entries"][0], "POST", "/stream/x", headers=prompt("a1:20000", own_part())))

    async def is_read():
        return Endpoint.stall_at is None
    await until("the stream to be read", is_read)
    sent = time.monotonic()
    tight = asyncio.create_task(ask(ADDRESSES["entries"][0], "POST", "/tight/x",
                                    [("Host", "site.example"), ("X-Jaycove-Attempt-Id", TIGHT),
                                     ("X-Jaycove-Deadline-Ms", str(DEADLINE_MS)), *prompt("b1:20", own_part())]))

    async def waits():
        assert not tight.done(), "the request was not queued"
        return await gauge("jaycove_waiting") == 1
    await until("the request to wait in the queue", waits)
    os.kill(pid("e1"), signal.SIGSTOP)
    await asyncio.sleep(max(0, sent + DEADLINE_MS / 1000 - time.monotonic()) + STOPPED_S)
    os.kill(pid("e1"), signal.SIGCONT)
    resumed = time.monotonic()
    done, _ = await asyncio.wait([tight], timeout=WAIT_S / 6)
    late = time.monotonic() - resumed
    arrived = [attempt for _, attempt, _ in engine.received if attempt == TIGHT]
    print("answered: %d, after %.3f s, reached an endpoint %d times" % (len(done), late, len(arrived)), flush=True)
    for reply in (task.result() for task in done):
        print(reply.status, reply.body.decode(), flush=True)
    assert done, "neither an answer nor a refusal"
    assert late <= SLACK_S, late
    assert tight.result().status in (503, 504), tight.result().status
    assert not arrived, arrived
    stream.cancel()


class Holder(Endpoint):
    """Crashes under requests with a bad part once CRASHING is set, but for the endpoint that holds the stream: it turns
    them away. That stream pauses for STALL_S."""
    CRASHING = False
    holds = False

    def refuses_request(self, fields):
        return Holder.CRASHING and self.holds and "bad1:" in fields.get("x-jaycove-prompt-prefix", "")

    def is_deadly(self, start, fields, body):
        bad = "bad1:" in fields.get("x-jaycove-prompt-prefix", "")
        if bad and not Holder.CRASHING:
            self.holds = True
        return bad and Holder.CRASHING and not self.holds

    async def die(self):
        self.crash()


async def blocked():
    """A stream pauses for longer than another endpoint would be asked for, while requests with a part of its prompt are
    blocked since they crashed endpoints. It can't go on elsewhere, so it is waited for and comes whole."""
    engines = [await Holder(f"engine-{i}", "engine", "z1", events=8, pause_s=0.05).start() for i in range(12)]
    await Endpoint("plain-0", "plain", "z1").start()
    routes = [route("read", "safe", "plain"), route("stream", "stream", "engine", **{"sticky": True})]
    await order("/v1/Config.Replace", configuration(3, routes))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    first, stalls = asyncio.Event(), asyncio.Event()
    Endpoint.stall_at, Endpoint.stall_s = 3, 12.0

    def on_chunk(body):
        first.set()
        if b"token-2" in body:
            stalls.set()
    stream = asyncio.create_task(request(ADDRESSES["entries"][0], "POST", "/stream/x",
                                         headers=prompt("a1:20", BAD_PART, own_part()), on_chunk=on_chunk))
    async with asyncio.timeout(WAIT_S):
        await stalls.wait()
    Holder.CRASHING = True

    async def is_blocked():
        reply = await request(ADDRESSES["entries"][0], "POST", "/stream/x", headers=prompt("a1:20", BAD_PART, own_part()))
        return b"request_blocked" in reply.body
    await until("the part to be blocked", is_blocked)
    assert not stream.done(), "the stream ended before the part was blocked"
    while not stream.done():
        await is_blocked()
        await asyncio.sleep(0.05)
    reply = await stream
    print("status %d, whole %d, %d events" % (reply.status, reply.whole, reply.body.count(b"data:")), flush=True)
    assert reply.status == 200 and reply.whole, (reply.status, reply.whole, reply.body[-80:])


class Caller:
    """A kept connection to the first entry instance."""

    async def connect(self):
        host, port = ADDRESSES["entries"][0].rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    def send_head(self, path, length, deadline_ms=15000):
        attempt = "%016x" % random.getrandbits(64)
        self.writer.write(f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: {attempt}\r\n"
                          f"X-Jaycove-Deadline-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n".encode())

    async def answer(self):
        """The status of the answer and whether it is whole."""
        async with asyncio.timeout(WAIT_S):
            start, fields = await read_head(self.reader)
            _, whole = await read_body(self.reader, fields)
        return int(start.split()[1]), whole


async def change_once(slow, engines, old, new, limits, at_once):
    """Brings callers into each state in which a configuration may meet a request, replaces the routes OLD by NEW with
    LIMITS, AT_ONCE times at the same moment, and returns what each of them got."""
    await order("/v1/Config.Replace", configuration(next(VERSIONS), old))
    await in_force(ADDRESSES["entries"], "/added/x", 404)
    callers = {name: await Caller().connect() for name in ("idle", "head", "body", "runs", "retried", "stream")}
    for name in ("idle", "stream"):
        callers[name].send_head("/read/x", 0)
        assert await callers[name].answer() == (200, True), name
    reached = len(slow.received)
    callers["head"].writer.write(b"POST /moved/x HTTP/1.1\r\nHost: site.ex")
    callers["body"].send_head("/moved/x", 2000)
    callers["body"].writer.write(b"x" * 1000)
    callers["runs"].send_head("/moved/x", 0)
    callers["retried"].send_head("/moved/fail", 0)
    callers["stream"].send_head("/events/x", 0)

    async def all_run():
        return len(slow.received) >= reached + 2 and any("/events/" in e.ran[-1][1] for e in engines if e.ran)
    await until("the requests to run", all_run)
    versions = [next(VERSIONS) for _ in range(at_once)]
    await asyncio.gather(*(order("/v1/Config.Replace", configuration(v, new).replace(LIMIT, limits)) for v in versions))
    await in_force(ADDRESSES["entries"], "/added/x", 200)
    callers["idle"].send_head("/moved/x", 0)
    callers["head"].writer.write(b"ample\r\nX-Jaycove-Attempt-Id: 77\r\nContent-Length: 0\r\n\r\n")
    callers["body"].writer.write(b"x" * 1000)
    slow.go.set()
    got = {name: await caller.answer() for name, caller in callers.items()}
    for caller in callers.values():
        caller.writer.close()
    return got


class Slow(Endpoint):
    """Holds each request until GO is set, and fails those whose path ends with "/fail"."""

    async def serve_one(self, reader, writer):
        start, fields = await read_head(reader)
        body, _ = await read_body(reader, fields) if "content-length" in fields else (b"", True)
        attempt = fields["x-jaycove-attempt-id"]
        self.received.append((time.monotonic(), attempt, ""))
        await self.go.wait()
        status = "500 Error" if "/fail " in start else "200 OK"
        writer.write(f"HTTP/1.1 {status}\r\nX-Jaycove-Attempt-Id: {attempt}\r\nX-Jaycove-Server-Stamp: {self.name}\r\n"
                     "Content-Length: 2\r\n\r\nok".encode())
        return True


async def changes():
    """Routes are removed and moved and limits lowered, once and twice at the same moment, under kept connections in
    each state. Each request ends with a whole answer or refusal."""
    slow = await Slow("plain-0", "plain", "z1").start()
    engines = [await Endpoint(f"engine-{i}", "engine", "z1", events=40, pause_s=0.05).start() for i in range(2)]
    read, added = route("read", "safe", "engine"), route("added", "safe", "engine")
    old = [read, route("moved", "safe", "plain"), route("events", "stream", "engine")]
    variants = {
        "removed": ([read, added], LIMIT, {"idle": 404, "head": 404, "body": 404}),
        "moved": ([read, added, route("moved", "safe", "engine"), route("events", "stream", "plain")], LIMIT, {}),
        "limits": ([*old, added], b'"max-body-bytes": 1500', {"body": 413}),
        "timeouts": ([*[r | {"timeout-ms": 9000} for r in old], added], LIMIT.replace(b"100000", b"90000"), {}),
    }
    # New streams are refused until the entry instance has heard the version of an endpoint.
    await order("/v1/Config.Replace", configuration(next(VERSIONS), old))
    await in_force(ADDRESSES["entries"], "/events/x", 200)
    lost = 0
    for name, (new, limits, refused) in variants.items():
        for engine in engines:
            engine.ran.clear()
        for at_once in (1, 2):
            slow.go = asyncio.Event()
            got = await change_once(slow, engines, old, new, limits, at_once)
            expected = dict.fromkeys(got, (200, True)) | {"retried": (500, True)} | {k: (v, True) for k, v in refused.items()}
            print(name, at_once, got, flush=True)
            lost += sum(got[state] != expected[state] for state in got)
    assert lost == 0, lost


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"queued": queued, "blocked": blocked, "changes": changes}[sys.argv[1]]())
