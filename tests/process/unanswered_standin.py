"""Callers whose requests are whole and must get an answer or a refusal, and streams that must not be cut.
Usage: unanswered_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import os
import random
import re
import signal
import sys
import time

from hosts_standin import ADDRESSES, WAIT_S, Endpoint, ask, configuration, in_force, order, pid, request, route, until, use

DEADLINE_MS = 800
# How long the entry instance is stopped, beyond the request's time.
STOPPED_S = 0.2
# Time for a refusal after its cause, as the users' rule on time-outs allows it.
SLACK_S = 0.5
BAD_PART = "bad1:200"
TIGHT = "7160"
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


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"queued": queued, "blocked": blocked}[sys.argv[1]]())
