"""Endpoints that run requests and then answer, or break off, in ways from which no instance may conclude that the
request has not run, and callers that compare what they are told with what ran. Usage: promise_standin.py SCRIPT DIR,
where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import os
import random
import re
import signal
import sys

from hosts_standin import (ADDRESSES, Endpoint, ask, configuration, order, pid, read_body, read_head, request, route,
                           until, use)

ENDPOINTS = 4
REQUESTS = 12
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# What an endpoint answers after it has run the request; a signature makes such an answer its own.
OWN_FAILURES = {f"{status}{', Retry-After' if later else ''}": (status, later)
                for status in (503, 429, 408) for later in (False, True)}
# Requests may be sent once more for a fifth of them, and once in each instance.
RETRY_RATIO = 0.2
OPERATOR = [("Authorization", "Bearer operator")]
# Instances that miss a change while they are stopped, for how long after requests are handed over to them, how often.
STOPPED, STOPPED_S, ROUNDS = ("e2", "e3"), 0.05, 8


class Working(Endpoint):
    """Serves requests until MODE is set. With "own" it runs them and answers FAILURE, with its signature if SIGNED; with
    "broken" it runs those that come first over a connection that was used before, breaks that off, and says of those
    that come again that they were not run; with "once more" it runs these too. With "stranger" it runs nothing and says that requests are for another."""
    mode, failure, signed = None, None, True
    # How long it serves a request.
    serving_s = 0
    # Requests that are still to be misdirected with "stranger".
    misdirected_left = 0
    # Attempt ids in the order in which they arrived, over all endpoints, those that ran, and how often.
    arrivals, runs, times = [], set(), {}

    async def serve(self, reader, writer):
        writer.used = False
        await super().serve(reader, writer)

    async def serve_one(self, reader, writer):
        start, fields = await read_head(reader)
        if "content-length" in fields:
            await read_body(reader, fields)
        if start.startswith("GET /v1/report "):
            return self.tell_state(writer)
        attempt, used = fields.get("x-jaycove-attempt-id", ""), writer.used
        echo = f"X-Jaycove-Attempt-Id: {attempt}\r\n"
        stamp = f"X-Jaycove-Server-Stamp: {self.name}\r\n"
        writer.used = True
        again = attempt in Working.arrivals
        Working.arrivals.append(attempt)
        if Working.mode == "broken" and again:
            writer.write(f"HTTP/1.1 503 Full\r\n{echo}X-Jaycove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        if Working.mode == "stranger" and Working.misdirected_left > 0:
            Working.misdirected_left -= 1
            writer.write(f"HTTP/1.1 421 Misdirected\r\n{echo}X-Jaycove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        Working.runs.add(attempt)
        Working.times[attempt] = Working.times.get(attempt, 0) + 1
        if Working.mode in ("broken", "once more") and used and not again:
            writer.transport.abort()
            return False
        if Working.mode == "own":
            status, later = Working.failure
            retry = "Retry-After: 0.1\r\n" if later else ""
            stamp = stamp if Working.signed else ""
            writer.write(f"HTTP/1.1 {status} Own\r\n{echo}{stamp}{retry}Content-Length: 4\r\n\r\nbusy".encode())
            return True
        await asyncio.sleep(Working.serving_s)
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}{stamp}Content-Length: 2\r\n\r\nok".encode())
        return True


class Callers:
    """Callers of one entry instance and what they got."""

    def __init__(self, entry, method, path):
        self.entry, self.method, self.path, self.got = entry, method, path, {}

    async def call(self):
        attempt = "%016x" % random.getrandbits(64)
        try:
            self.got[attempt] = await request(self.entry, self.method, self.path, attempt=attempt)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.got[attempt] = None
        return self.got[attempt]

    async def run(self, count=REQUESTS):
        await asyncio.gather(*(self.call() for _ in range(count)))

    def statuses(self):
        return sorted({reply.status if reply else 0 for reply in self.got.values()})

    def false_promises(self):
        """Returns how many were told that their request has not run though it has."""
        return sum(1 for attempt, reply in self.got.items()
                   if reply and reply.status in PROMISES and attempt in Working.runs)

    def repeated(self):
        """Returns how many requests ran more than once."""
        return sum(1 for attempt in self.got if Working.times.get(attempt, 0) > 1)

    def altered(self):
        """Returns how many got the signature of an endpoint with a status that no endpoint gave."""
        return sum(1 for reply in self.got.values()
                   if reply and "x-jaycove-server-stamp" in reply.headers and reply.status not in (200, Working.failure[0]))


async def all_serve():
    """Waits until all entry instances serve requests, also after a pause that an endpoint asked for."""
    Working.mode = None

    async def served():
        return all([(await request(e, "GET", "/read/x")).status == 200 for e in ADDRESSES["entries"]])
    await until("requests to be served", served)


async def start():
    """Starts endpoints and puts the routes into force."""
    routes = [route("read", "safe", "plain"), route("write", "unsafe", "plain"),
              route("once", "stream", "plain", resumable=False)]
    for i in range(ENDPOINTS):
        await Working(f"plain-{i}", "plain", "z1").start()
    await order("/v1/Config.Replace", configuration(3, routes))
    await all_serve()


async def none_set_aside():
    """Waits until no entry instance sets an endpoint aside, so that a request has another endpoint to be sent to.
    Many requests at once go on meanwhile, each for some time: one of them has to try an endpoint before it is back."""
    Working.mode, Working.serving_s = None, 0.1

    async def all_back():
        texts = []
        for entry, operator in zip(ADDRESSES["entries"], ADDRESSES["operators"]):
            await Callers(entry, "GET", "/read/x").run()
            texts.append((await ask(operator, "GET", "/metrics", OPERATOR)).body.decode())
        counts = re.findall(r"^jaycove_endpoints_set_aside\S* (.*)$", "\n".join(texts), re.M)
        assert counts, "no instance tells how many endpoints it sets aside"
        return not any(map(float, counts))
    await until("all endpoints to be back", all_back)
    Working.serving_s = 0


async def own_failures():
    """Endpoints that run requests and answer them with a status that promises the contrary. The last entry instance is
    in a region without endpoints, so that its requests are handed over."""
    await start()
    wrong = altered = 0
    for name, failure in OWN_FAILURES.items():
        for entry in (ADDRESSES["entries"][0], ADDRESSES["entries"][-1]):
            for method, path in (("POST", "/write/x"), ("POST", "/once/x"), ("GET", "/read/x")):
                await all_serve()
                Working.mode, Working.failure = "own", failure
                callers = Callers(entry, method, path)
                await callers.run()
                wrong, altered = wrong + callers.false_promises(), altered + callers.altered()
                print(f"{name}, {path}, {'handed over' if entry == ADDRESSES['entries'][-1] else 'own region'}: "
                      f"{len(callers.got)} requests, told not run though run {callers.false_promises()}, "
                      f"statuses {callers.statuses()}", flush=True)
    print(f"told not run though it ran {wrong}, signature with another status {altered}", flush=True)
    assert (wrong, altered) == (0, 0), f"told not run though it ran: {wrong}, signature with another status: {altered}"


async def misdirected():
    """Endpoints that run requests and answer them with 421, which says that the request is for another endpoint, but not
    that it has not run. The last entry instance is in a region without endpoints. Then one that says both."""
    await start()
    wrong = twice = 0
    for Working.signed in (True, False):
        for entry in (ADDRESSES["entries"][0], ADDRESSES["entries"][-1]):
            for path in ("/write/x", "/once/x"):
                await all_serve()
                Working.mode, Working.failure = "own", (421, False)
                callers = Callers(entry, "POST", path)
                await callers.run()
                wrong, twice = wrong + callers.false_promises(), twice + callers.repeated()
                print(f"{'signed' if Working.signed else 'unsigned'}, {path}, "
                      f"{'handed over' if entry == ADDRESSES['entries'][-1] else 'own region'}: {len(callers.got)} requests, "
                      f"told not run though run {callers.false_promises()}, ran twice {callers.repeated()}, "
                      f"statuses {callers.statuses()}", flush=True)
    await none_set_aside()
    Working.mode, Working.misdirected_left = "stranger", 1
    callers = Callers(ADDRESSES["entries"][0], "POST", "/write/x")
    await callers.run(1)
    print(f"told not run though it ran {wrong}, ran twice {twice}; misdirected and not run: {callers.statuses()}", flush=True)
    assert Working.misdirected_left == 0, "no request was misdirected: the test shows nothing"
    assert callers.statuses() == [200], f"what has not run is sent elsewhere: {callers.statuses()}"
    assert (wrong, twice) == (0, 0), f"told not run though it ran: {wrong}, ran twice: {twice}"


def version_at(text):
    """The version of the configuration that an entry instance with the metrics TEXT decides by."""
    return int(re.search(r"^jaycove_config_version{} (.*)$", text, re.M).group(1))


async def change(version, routes, instances):
    """Puts ROUTES as VERSION into force at the entry instances of the numbers INSTANCES."""
    await order("/v1/Config.Replace", configuration(version, routes))

    async def is_in_force():
        return all([version_at((await ask(ADDRESSES["operators"][i], "GET", "/metrics", OPERATOR)).body.decode()) == version
                    for i in instances])
    await until(f"version {version} to be in force", is_in_force)


async def judged_apart():
    """How many requests the other instances may not repeat since the one that handed them over may not."""
    texts = [(await ask(ADDRESSES["operators"][i], "GET", "/metrics", OPERATOR)).body.decode() for i in (1, 2)]
    counts = re.findall(r"^jaycove_stricter_handovers_total\S* (.*)$", "\n".join(texts), re.M)
    return sum(map(int, counts))


async def behind():
    """Requests that may not be repeated are handed over to instances in whose older configuration their path leads to a
    route that may. Their endpoints run what comes over a kept connection and break it off."""
    routes = [route("read", "safe", "plain")]
    strict = route("strict", "unsafe", "plain", **{"path-prefix": "/read/strict/"})
    for i in range(ENDPOINTS):
        await Working(f"plain-{i}", "plain", "z2").start()
    version, calls = 3, []
    for _ in range(ROUNDS):
        Working.mode = None
        await change(version, routes, range(3))
        await all_serve()
        for entry in ADDRESSES["entries"][1:]:
            # Idle connections, and requests that earn retries.
            await Callers(entry, "GET", "/read/x").run(4 * REQUESTS)
        Working.mode = "once more"
        for name in STOPPED:
            os.kill(pid(name), signal.SIGSTOP)
        try:
            await change(version + 1, [*routes, strict], [0])
            calls.append(Callers(ADDRESSES["entries"][0], "POST", "/read/strict/x"))
            running = asyncio.create_task(calls[-1].run())
            await asyncio.sleep(STOPPED_S)
        finally:
            for name in STOPPED:
                os.kill(pid(name), signal.SIGCONT)
        await running
        version += 2
    apart = await judged_apart()
    twice, wrong = sum(each.repeated() for each in calls), sum(each.false_promises() for each in calls)
    print(f"{sum(len(each.got) for each in calls)} requests, {apart} sent by an older configuration, ran twice {twice}, told "
          f"not run though run {wrong}, statuses {[each.statuses() for each in calls]}", flush=True)
    assert apart > 0, "no request was judged by an older configuration: the test shows nothing"
    assert (twice, wrong) == (0, 0), f"ran twice: {twice}, told not run though run: {wrong}"


async def sent_again():
    """Endpoints that run a request on a kept connection, break it off, and refuse the request once it is sent again
    over a new one."""
    await start()
    Working.failure = (503, False)
    callers = Callers(ADDRESSES["entries"][0], "GET", "/read/x")
    for _ in range(REQUESTS):
        # One after another, so that each endpoint has an idle connection.
        Working.mode = None
        for _ in range(2 * ENDPOINTS):
            await callers.call()
        Working.mode = "broken"
        await callers.call()
    tried = sum(1 for attempt in callers.got if Working.arrivals.count(attempt) > 1)
    wrong = callers.false_promises()
    print(f"sent again {tried}, told not run though it ran {wrong}, statuses {callers.statuses()}", flush=True)
    assert tried > 0, "no request was sent again: the test shows nothing"
    assert wrong == 0, f"told not run though it ran: {wrong} of {tried}"


async def budget():
    """Endpoints that break off all requests on kept connections: what is sent again, over all instances, keeps to the
    share of the requests that may be."""
    await start()
    Working.mode = None
    entries = ADDRESSES["entries"][:2]
    callers = [Callers(e, "GET", "/read/x") for e in entries]
    del Working.arrivals[:]
    for _ in range(20):
        # Connections for the next round.
        Working.mode = None
        await asyncio.gather(*(each.run(4) for each in callers))
        Working.mode = "broken"
        await asyncio.gather(*(each.run(8) for each in callers))
    requests = sum(len(each.got) for each in callers)
    more, bound = len(Working.arrivals) - len(set(Working.arrivals)), RETRY_RATIO * requests + len(entries)
    print(f"{requests} requests, {more} sent once more, at most {bound:.0f}", flush=True)
    assert more > 0, "no request was sent again: the test shows nothing"
    assert more <= bound, f"{more} sent once more, at most {bound}"


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"own_failures": own_failures, "sent_again": sent_again, "budget": budget,
                 "misdirected": misdirected, "behind": behind}[sys.argv[1]]())
