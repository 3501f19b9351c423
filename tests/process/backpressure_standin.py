"""Endpoints that ask for less in their answers, and callers that measure what becomes of their requests.
Usage: backpressure_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import random
import sys
import time

from hosts_standin import ADDRESSES, HEARTBEAT_S, ROUTES, Endpoint, ask, configuration, in_force, order, request, until, use
from missed_standin import restart_states

REQUESTS_PER_S = 40
# Time that an endpoint takes for a request; one alone is then busy for most of its slots.
WORK_S = 0.15
# An entry instance that has heard a limit must keep to it after this time.
HEARD_S = 0.5
# The limit holds from this time after an endpoint first named it.
CONTACT_S = 6.0
WINDOW_S = 4.0
# What a window may have beyond the limit.
EXCESS, SLACK = 1.5, 5
# A pause and a leave must be kept to after these times.
PAUSE_S = 6.0
DRAIN_S = 4.0
# Requests before an endpoint asks for anything; they earn the retries that it then costs.
EARNING_S = 4.0
# A request that waits longer than this for its answer waited for an endpoint that it needn't have been sent to.
ANSWER_S = 2.0
# The entry instance that each attempt id was sent to.
RECEIVED_BY = {}


class Asking(Endpoint):
    """An endpoint of which the test knows which entry instance sent each request."""
    work_s = WORK_S

    @property
    def got(self):
        """Requests as (time, entry instance)."""
        return [(t, RECEIVED_BY.get(attempt)) for t, attempt, _ in self.received]

    @property
    def asked(self):
        """Answers that asked for something as (time, entry instance)."""
        return [(t, RECEIVED_BY.get(attempt)) for t, attempt, asks in self.received if asks]

    @property
    def told(self):
        """When each entry instance first got such an answer."""
        first = {}
        for t, instance in self.asked:
            first.setdefault(instance, t)
        return first

    def from_told(self, after_s):
        """The times of requests from entry instances that had been told AFTER_S before."""
        told = self.told
        return [t for t, instance in self.got if t >= told.get(instance, t + 1) + after_s]


class Callers:
    """Callers of ENTRIES, or all entry instances, REQUESTS_PER_S requests in all; counts answers by status, and slow
    ones."""

    def __init__(self, entries=None):
        self.entries = entries or ADDRESSES["entries"]
        self.statuses, self.slow = {}, 0
        self.tasks = set()

    async def one(self, entry):
        begun = time.monotonic()
        attempt = "%016x" % random.getrandbits(64)
        RECEIVED_BY[attempt] = entry
        try:
            status = (await request(entry, "GET", "/read/x", attempt=attempt)).status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.slow += time.monotonic() - begun > ANSWER_S

    async def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            task = asyncio.create_task(self.one(random.choice(self.entries)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*self.tasks)

    def check(self):
        total = sum(self.statuses.values())
        print("answers by status %s, slow %d" % (dict(sorted(self.statuses.items())), self.slow), flush=True)
        assert self.statuses.get(200, 0) >= 0.99 * total, self.statuses
        assert self.slow == 0, self.slow


async def start_two():
    asking = await Asking("asking", "plain", "z1").start()
    free = await Asking("free", "plain", "z2").start()
    await order("/v1/Config.Replace", configuration(3, ROUTES))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    return asking, free


def most_in_window(times):
    return max((sum(1 for t in times if end - WINDOW_S < t <= end) for end in times), default=0)


async def limit():
    """One of two endpoints names a limit; it is kept in every window, and at least half of it is used."""
    per_s, run_s = 1.0, 24.0
    asking, _ = await start_two()
    asking.asks = f"Server-Limit: {per_s}\r\n"
    callers = Callers()
    begun = time.monotonic()
    await callers.run(run_s)
    first = min(asking.told.values())
    # A window counts if it ends after the limit holds.
    counted = [t for t in asking.from_told(HEARD_S) if t >= first + CONTACT_S - WINDOW_S]
    most = most_in_window(counted)
    used = sum(1 for t, _ in asking.got if t >= first + CONTACT_S) / (begun + run_s - first - CONTACT_S)
    print("at most %d in %.0f s, %.2f a second used" % (most, WINDOW_S, used), flush=True)
    assert most <= EXCESS * per_s * WINDOW_S + SLACK, most
    assert used >= per_s / 2, used
    callers.check()


async def pause():
    """One of two endpoints answers 503 with Retry-After; nothing reaches it in the pause from the instance that was
    told, and callers are served by the other one."""
    asking, free = await start_two()
    callers = Callers()
    await callers.run(EARNING_S)
    asking.asks, asking.refuses = f"Retry-After: {PAUSE_S:.0f}\r\n", True
    begun = time.monotonic()
    await callers.run(16)
    in_pause = {(t, who) for told, to in asking.asked for t, who in asking.got
                if who == to and told + HEARD_S < t < told + PAUSE_S}
    refused = sum(1 for t, _ in asking.got if t >= begun)
    print("%d requests in a pause, %d refused" % (len(in_pause), refused), flush=True)
    assert not in_pause, sorted(in_pause)[:9]
    callers.check()

    # Where all endpoints pause, callers are refused at once, with the time at which one is free again.
    free.asks, free.refuses = asking.asks, True
    await Callers().run(2)
    begun = time.monotonic()
    replies = [await request(e, "GET", "/read/x") for e in ADDRESSES["entries"] for _ in range(5)]
    after = [float(r.headers["retry-after"]) for r in replies]
    print("refused by all: %s after %.1f to %.1f s" % ({r.status for r in replies}, min(after), max(after)), flush=True)
    assert {r.status for r in replies} == {503}
    assert time.monotonic() - begun < ANSWER_S and len(set(after)) > 1
    # The pauses began in the last 2 s or, of the first endpoint, in the last pause.
    assert all(0.2 <= a <= PAUSE_S * 1.25 + 0.4 for a in after) and max(after) > 0.6, after


async def leaving():
    """One of two endpoints says in its answers that it leaves, while its reports still say that it is ready; nothing
    reaches it later from the instances that were told."""
    asking, _ = await start_two()
    callers = Callers()
    await callers.run(EARNING_S)
    asking.asks = "Server-Leaving: 1\r\n"
    await callers.run(10)
    late = asking.from_told(DRAIN_S)
    first = min(asking.told.values())
    # Instances that the endpoint has not told hear of it from the others.
    untold = sum(1 for t, _ in asking.got if t >= first + DRAIN_S)
    print("%d requests later than %.0f s after an instance was told, %d from all" % (len(late), DRAIN_S, untold), flush=True)
    assert not late and untold == 0
    callers.check()


async def leaving_unknown():
    """One of two endpoints, whose reports no longer arrive, says that it leaves to one entry instance while all state
    instances start again and don't know it yet. The others are told all the same."""
    asking, _ = await start_two()
    first, others = ADDRESSES["entries"][0], ADDRESSES["entries"][1:]
    asking.task.cancel()
    await asyncio.sleep(HEARTBEAT_S)
    started = await restart_states()
    try:
        asking.asks = "Server-Leaving: 1\r\n"
        callers = Callers([first])
        while not asking.told:
            await callers.run(0.1)
        # The state instances have a leader again.
        await order("/v1/Config.Replace", configuration(4, ROUTES))
        await asyncio.sleep(CONTACT_S)
        callers = Callers(others)
        await callers.run(5)
        untold = [t for t, instance in asking.got if instance in others and t > min(asking.told.values())]
        print("%d requests from instances that the endpoint has not told" % len(untold), flush=True)
        assert not untold, len(untold)
        callers.check()
    finally:
        for process in started:
            process.terminate()
            process.wait()


async def cold():
    """All endpoints say in their answers for a moment that they are cold for far longer than endpoints ever are, while
    their reports say that they are warm. All callers are served again once a cold endpoint would be warm."""
    cold_s, per_s = 2.0, 2.1
    # Endpoints keep to one state instance, as the platform's do.
    del ADDRESSES["control"][1:]
    endpoints = [await Asking(name, "plain", "z1").start() for name in ("first", "second")]
    await order("/v1/Config.Replace", configuration(3, ROUTES, cold_s, per_s))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    for endpoint in endpoints:
        endpoint.asks = "X-Jaycove-Warmup-Ms: 99999999999\r\n"
    await Callers().run(1)
    for endpoint in endpoints:
        endpoint.asks = ""
    await asyncio.sleep(cold_s + HEARD_S)
    callers = Callers()
    await callers.run(4)
    callers.check()


async def misdirected():
    """A stream is resumed at an address that now belongs to another endpoint, which answers 421 and names a limit. That
    is nobody's limit, and the endpoint that was meant is gone."""
    first = await Endpoint("first", "engine", "z1", events=2).start()
    await order("/v1/Config.Replace", configuration(3, ROUTES))
    entry, operators = ADDRESSES["entries"][0], ADDRESSES["operators"][0]
    await in_force([entry], "/stream/x", 200)

    async def metric(name):
        text = (await ask(operators, "GET", "/metrics")).body.decode()
        return next(int(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith(name + "{}"))
    # These earn the retry.
    for _ in range(20):
        assert (await request(entry, "POST", "/stream/x")).status == 200
    first.events, first.pause_s = 40, 0.1
    begun = asyncio.Event()
    stream = asyncio.create_task(request(entry, "POST", "/stream/a", on_chunk=lambda _: begun.set()))
    await begun.wait()
    second = await Endpoint("second", "engine", "z1").start()

    async def both_known():
        return await metric("jaycove_endpoints") == 2
    await until("both endpoints to be known", both_known)
    second.asks, second.name = "Server-Limit: 1\r\n", "other"
    second.task.cancel()
    first.crash()
    reply = await stream
    assert not reply.whole and second.misdirected == 1, second.misdirected
    limited = await metric("jaycove_limited_endpoints")
    print("%d limited endpoints" % limited, flush=True)
    assert limited == 0


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"limit": limit, "pause": pause, "leaving": leaving, "leaving_unknown": leaving_unknown, "cold": cold,
                 "misdirected": misdirected}[sys.argv[1]]())
