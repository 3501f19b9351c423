"""Endpoints that write an earlier answer once more on a kept connection, and callers that compare what they are told
with what ran. Usage: refusal_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import random
import sys

from hosts_standin import ADDRESSES, Endpoint, configuration, order, request, route, until, use

ENDPOINTS = 4
CALLERS = 8
REQUESTS = 75
# Repeated answers that each variant must have met at least; fewer say little.
REPEATS_MIN = 20
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# What a repeated answer names: its own request, none, or an empty id.
NAMES = {"own id": lambda attempt: f"X-Jaycove-Attempt-Id: {attempt}\r\n", "no id": lambda attempt: "",
         "empty id": lambda attempt: "X-Jaycove-Attempt-Id:\r\n"}

WHEN = ("before the next request", "after the next request", "on any connection")


class Repeating(Endpoint):
    """Refuses a quarter of the requests. Each refusal, or with REPEATS_SUCCESS each success, is written once more WHEN
    the next request on its connection was sent, before it was sent as far as the endpoint can tell, or when one was
    sent on any of the endpoint's connections."""
    name_of, when, repeats_success = None, "", False
    # Answers of another variant are not repeated.
    repeats, variant = 0, None
    # Requests that were read and are not answered yet.
    running = 0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.strays = []

    async def serve(self, reader, writer):
        writer.old = None
        await super().serve(reader, writer)

    def answer(self, attempt, refused, name):
        if refused:
            return f"HTTP/1.1 503 Full\r\n{name}X-Jaycove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        text = f"{self.name} {attempt}"
        return (f"HTTP/1.1 200 OK\r\n{name}X-Jaycove-Server-Stamp: {self.name}\r\nContent-Length: {len(text)}\r\n\r\n"
                + text).encode()

    def repeat(self, writer):
        if writer.old is not None and writer.variant == Repeating.variant and not writer.is_closing():
            Repeating.repeats += 1
            writer.write(writer.old)
        writer.old = None

    def keep(self, writer, old):
        if Repeating.when == "on any connection":
            self.strays.append(old)
            return
        writer.old, writer.variant = old, Repeating.variant
        if Repeating.when == "before the next request":
            asyncio.get_running_loop().call_later(random.uniform(0, 0.01), self.repeat, writer)

    def take_stray(self, writer):
        if self.strays and Repeating.when == "on any connection":
            writer.old, writer.variant = self.strays.pop(), Repeating.variant

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict((k.lower(), v.strip()) for k, _, v in (line.partition(":") for line in head[1:] if line))
        await reader.readexactly(int(fields.get("content-length", 0)))
        attempt = fields["x-jaycove-attempt-id"]
        self.take_stray(writer)
        if Repeating.when != "before the next request":
            self.repeat(writer)
        refused = random.random() < 0.25
        Repeating.running += 1
        try:
            await asyncio.sleep(random.uniform(0, 0.01))
        finally:
            Repeating.running -= 1
        if not refused:
            self.ran.append((attempt, head[0], b"", fields))
        writer.write(self.answer(attempt, refused, NAMES["own id"](attempt)))
        if Repeating.name_of is not None and refused != Repeating.repeats_success:
            self.keep(writer, self.answer(attempt, refused, Repeating.name_of(attempt)))
        return True


class Callers:
    """Callers of both entry instances: the status and body that each attempt got."""

    def __init__(self):
        self.got = {}

    async def run(self, path):
        async def one_caller():
            for _ in range(REQUESTS):
                attempt = "%016x" % random.getrandbits(64)
                try:
                    reply = await request(random.choice(ADDRESSES["entries"]), "POST", path, b"", attempt=attempt)
                    self.got[attempt] = (reply.status, reply.body.decode())
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    self.got[attempt] = (0, "")
        await asyncio.gather(*(one_caller() for _ in range(CALLERS)))


async def variant(name, when, repeats_success, writes):
    """Adds the callers of unsafe requests to WRITES, and returns how many callers got the answer of another request."""
    Repeating.when, Repeating.repeats_success, Repeating.repeats = when, repeats_success, 0
    Repeating.name_of, Repeating.variant = NAMES[name], (name, when, repeats_success)
    foreign = 0
    for path in ("/write/x", "/read/x"):
        callers = Callers()
        await callers.run(path)
        if path == "/write/x":
            writes.append((Repeating.variant, callers))
        foreign += sum(status == 200 and not body.endswith(" " + attempt)
                       for attempt, (status, body) in callers.got.items())
        statuses = {}
        for status, _ in callers.got.values():
            statuses[status] = statuses.get(status, 0) + 1
        print("%s again with %s, %s, %s: answers by status %s"
              % ("success" if repeats_success else "refusal", name, when, path, dict(sorted(statuses.items()))),
              flush=True)
    print("  repeated %d, answer of another request %d" % (Repeating.repeats, foreign), flush=True)
    assert Repeating.repeats >= REPEATS_MIN, Repeating.repeats
    return foreign


def count_wrong(endpoints, writes):
    """Returns how many callers were told "not run" of unsafe requests that ran, and how many of these ran twice. A
    request whose caller has its answer already may run late, so all runs are looked at once the last caller is done."""
    ran = {}
    for endpoint in endpoints:
        for attempt, *_ in endpoint.ran:
            ran[attempt] = ran.get(attempt, 0) + 1
    wrong = twice = 0
    for what, callers in writes:
        told = sum(status in PROMISES and attempt in ran for attempt, (status, _) in callers.got.items())
        again = sum(ran.get(attempt, 0) > 1 for attempt in callers.got)
        if told or again:
            print("%s: told not run though it ran %d, ran twice %d" % (what, told, again), flush=True)
        wrong, twice = wrong + told, twice + again
    return wrong, twice


async def old_refusal():
    """All variants of an earlier answer that is written once more."""
    endpoints = [await Repeating(f"plain-{i}", "plain", "z1").start() for i in range(ENDPOINTS)]
    routes = [route("read", "safe", "plain", **{"max-attempts": 3}), route("write", "unsafe", "plain")]
    await order("/v1/Config.Replace", configuration(3, routes))

    async def served():
        return all([(await request(e, "GET", "/read/x")).status == 200 for e in ADDRESSES["entries"]])
    await until("requests to be served", served)
    writes, foreign = [], 0
    for repeats_success in (False, True):
        for when in WHEN:
            for name in NAMES:
                for endpoint in endpoints:
                    endpoint.strays.clear()
                foreign += await variant(name, when, repeats_success, writes)

    async def all_ended():
        return Repeating.running == 0
    await until("the last requests to end", all_ended)
    sums = [*count_wrong(endpoints, writes), foreign]
    print("told not run though it ran %d, ran twice %d, answer of another request %d" % tuple(sums), flush=True)
    assert sums == [0, 0, 0], sums


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"old_refusal": old_refusal}[sys.argv[1]]())
