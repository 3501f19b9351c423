"""Fault soak: real processes, stand-ins of endpoints, callers and operators,
overlapping series of faults drawn from a seed, and promises that are checked
by what callers and endpoints see. Usage: soak.py BUILD SEED SECONDS [NET].
A seed draws the same faults each time; their timing is that of the machine.
Ends with one line of counts; exits 1 where a promise was broken."""
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "process"))
import hosts_standin as standin  # noqa: E402
from fleet import ZONES, Fleet, Relay  # noqa: E402

CALLERS = 12
DEADLINE_S = 3.0
# A paused process answers after the pause; the machine may be busy with other work.
LATE_S = 4.0
# A leaving endpoint may get what was under way, and from instances out of touch.
DRAIN_S = 4.0
# Part of all requests that run and whose answer is lost, in calm too: what may not be repeated shows there.
LOST_PART = 0.03
NOT_RUN = (408, 421, 429, 503)
EVENTS = 8


class Book:
    """What was seen, and the promises that it breaks."""

    def __init__(self):
        self.broken, self.counts = [], {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def breaks(self, promise, text):
        self.broken.append(f"{promise}: {text}")

    def check(self, fine, promise, text):
        if not fine:
            self.breaks(promise, text)


class Server(standin.Endpoint):
    """An endpoint behind a relay. What it may do wrong is drawn for each request."""

    def __init__(self, name, service, zone, rand):
        super().__init__(name, service, zone, events=EVENTS, pause_s=0.03)
        self.rand, self.wrong = rand, ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.relay = await Relay("127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]).start()
        self.address = self.relay.address
        self.task = asyncio.create_task(self.report())
        return self

    async def serve_one(self, reader, writer):
        lost = self.rand.random() < LOST_PART or (self.wrong == "lost" and self.rand.random() < 0.5)
        if lost or (self.wrong == "mute" and self.rand.random() < 0.5):
            start, fields = await standin.read_head(reader)
            if fields.get("x-jaycove-expect-instance") == self.name:
                self.ran.append((fields.get("x-jaycove-attempt-id", ""), start, b"", fields))
            await asyncio.sleep(0.01 if lost else 5)
            return False
        if self.wrong == "errors" and self.rand.random() < 0.5:
            self.fail_next = 1
        if self.wrong == "cut" and self.rand.random() < 0.3:
            asyncio.get_running_loop().call_later(self.rand.random() * 0.1, writer.transport.abort)
        return await super().serve_one(reader, writer)


async def stop(tasks):
    """Cancels TASKS until they end: asyncio.wait_for may swallow a cancellation."""
    while tasks:
        for task in tasks:
            task.cancel()
        _, tasks = await asyncio.wait(tasks, timeout=1)


class Soak:
    def __init__(self, build, seed, seconds, net):
        self.rand, self.seed, self.seconds = random.Random(seed), seed, seconds
        self.dir = tempfile.mkdtemp(prefix="soak-")
        self.fleet = Fleet(build, self.dir, net)
        self.book, self.servers, self.gone = Book(), [], []
        self.version, self.acked, self.serial, self.told = 3, 3, 0, {}
        self.healing, self.calm, self.over = False, False, False

    # Callers.

    async def one_request(self, caller, conn):
        """Sends one request on the kept connection CONN, a list of reader and writer. Returns it or None."""
        self.serial += 1
        attempt = "%08x%02x%06x" % (self.seed, caller, self.serial)
        kind = self.rand.choice(["read", "write", "stream", "stream", "write"])
        method = "GET" if kind == "read" else "POST"
        begun = time.monotonic()
        if conn is None:
            address = self.rand.choice(standin.ADDRESSES["entries"])
            conn = await asyncio.wait_for(asyncio.open_connection(*address.rsplit(":", 1)), 5)
        reader, writer = conn
        writer.write((f"{method} /{kind}/a HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: {attempt}\r\n"
                      f"X-Jaycove-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Length: 0\r\n\r\n").encode())
        start, fields = await asyncio.wait_for(standin.read_head(reader), DEADLINE_S + LATE_S + 5)
        body, whole = await asyncio.wait_for(standin.read_body(reader, fields), DEADLINE_S + LATE_S + 5)
        self.judge(kind, attempt, int(start.split()[1]), body, whole, time.monotonic() - begun)
        if fields.get("connection", "").lower() == "close" or not whole:
            writer.close()
            return None
        return conn

    def judge(self, kind, attempt, status, body, whole, took):
        self.book.count(f"{kind} {status}" + ("" if whole else " broken"))
        self.told[attempt] = (kind, status)
        if status == 200 and kind != "stream" and whole:
            self.book.check(body.endswith(attempt.encode()), "own answer", f"{attempt} got {body!r}")
        if status == 200 and kind == "stream":
            events = b"".join(b"id: %d\ndata: token-%d\n\n" % (i, i) for i in range(EVENTS))
            self.book.check(events.startswith(body), "events in order", f"{attempt} got {body!r}")
            self.book.check(not whole or body == events, "whole stream", f"{attempt} ended early as whole: {body!r}")
        if took > DEADLINE_S + LATE_S and not any(p.paused for p in self.fleet.entries):
            self.book.count("late")
        if self.calm:
            self.book.count("calm %s" % ("served" if status == 200 and whole else "not served"))

    async def caller(self, number):
        conn = None
        while not self.over:
            try:
                conn = await self.one_request(number, conn)
            except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError,
                    asyncio.LimitOverrunError) as error:
                self.book.count("caller saw " + type(error).__name__)
                if conn is not None:
                    conn[1].close()
                conn = None
            await asyncio.sleep(0.05 + 0.2 * self.rand.random())

    # Operators.

    async def operator(self):
        """Sends orders; reads must never show a version older than one acknowledged before."""
        while not self.healing:
            self.version += 1
            version = self.version
            try:
                before = self.acked
                control = self.rand.choice(standin.ADDRESSES["control"])
                if self.rand.random() < 0.5:
                    reply = await asyncio.wait_for(standin.ask(control, "POST", "/v1/Config.Replace", body=(
                        standin.configuration(version, standin.ROUTES))), 5)
                    self.book.count(f"order {reply.status}")
                    self.book.check(reply.status in (200, 503), "orders", f"{version} got {reply.status}")
                    if reply.status == 200:
                        self.acked = max(self.acked, version)
                else:
                    reply = await asyncio.wait_for(standin.ask(control, "GET", "/v1/Config.Read"), 5)
                    self.book.count(f"read back {reply.status}")
                    self.check_read(reply, before)
            except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self.book.count("operator saw no answer")
            await asyncio.sleep(0.1 + 0.3 * self.rand.random())

    def check_read(self, reply, before):
        if reply.status != 200:
            return
        version = json.loads(reply.body)["version"]
        self.book.check(version >= before, "acknowledged orders last", f"read {version} after {before}")

    async def new_server(self, service, zone):
        """Starts an endpoint whose name no other one, of this run or another, has or had."""
        self.serial += 1
        return await Server(f"{service}-{self.seed}-{self.serial}", service, zone, self.rand).start()

    # Faults: each takes the time that it lasts.

    async def kill(self, last):
        self.rand.choice(self.fleet.states + self.fleet.entries).send(signal.SIGKILL)

    async def kill_states(self, last):
        for process in self.fleet.states:
            process.send(signal.SIGKILL)

    async def pause(self, last):
        process = self.rand.choice(self.fleet.states + self.fleet.entries)
        process.pause(True)
        try:
            await asyncio.sleep(last)
        finally:
            process.pause(False)

    async def roll(self, last):
        process = self.rand.choice(self.fleet.states + self.fleet.entries)
        process.stopping = True
        process.send(signal.SIGTERM)
        await asyncio.sleep(last)

    async def reload(self, last):
        for process in self.fleet.entries + self.fleet.states:
            process.send(signal.SIGHUP)

    async def full_disk(self, last):
        process = self.rand.choice(self.fleet.states)
        number = process.process.pid
        try:
            process.fill_disk(True)
            await asyncio.sleep(last)
        finally:
            if process.process.poll() is None and process.process.pid == number:
                process.fill_disk(False)

    async def harm_link(self, last):
        relay = self.rand.choice(self.servers).relay
        relay.harm = self.rand.choice(["hold", "hold_back", "slow", "refuse"])
        await asyncio.sleep(last)
        relay.harm = ""

    async def reset_links(self, last):
        for server in self.servers:
            if self.rand.random() < 0.5:
                server.relay.reset_all()

    async def misbehave(self, last):
        server = self.rand.choice(self.servers)
        server.wrong = self.rand.choice(["mute", "lost", "errors", "cut"])
        await asyncio.sleep(last)
        server.wrong = ""

    async def crash(self, last):
        """A server ends; another one takes its place under a new name."""
        index = self.rand.randrange(len(self.servers))
        old = self.servers[index]
        old.crash()
        old.relay.server.close()
        old.relay.reset_all()
        self.gone.append(old)
        self.servers[index] = await self.new_server(old.service, old.zone)

    async def drain(self, last):
        """A server leaves; once that is acknowledged it gets no more."""
        server = self.rand.choice(self.servers)
        if sum(s.service == server.service and s.state == "ready" for s in self.servers) < 2:
            return
        server.state = "draining"
        end = time.monotonic() + max(last, 2)
        while not await server.report_once() and time.monotonic() < end:
            await asyncio.sleep(0.1)
        await asyncio.sleep(DRAIN_S)
        before = len(server.ran)
        quiet = not any(p.paused for p in self.fleet.entries)
        await asyncio.sleep(1)
        if quiet and len(server.ran) > before and not any(p.paused for p in self.fleet.entries):
            self.book.count("got requests after its leave")
        server.task.cancel()
        self.gone.append(server)
        if server in self.servers:
            self.servers[self.servers.index(server)] = await self.new_server(server.service, server.zone)

    async def series(self):
        """One of the series that overlap: a fault, a pause, the next."""
        faults = [self.kill, self.kill_states, self.pause, self.roll, self.reload, self.full_disk, self.harm_link,
                  self.reset_links, self.misbehave, self.crash, self.drain]
        while not self.healing:
            await asyncio.sleep(0.2 + self.rand.random())
            fault = self.rand.choice(faults)
            self.book.count("fault " + fault.__name__)
            await fault(0.3 + 2 * self.rand.random())

    # The run.

    def heal(self):
        for process in self.fleet.states + self.fleet.entries:
            process.pause(False)
            if process.process.poll() is None:
                process.fill_disk(False)
        for server in self.servers:
            server.wrong, server.relay.harm, server.state = "", "", "ready"

    async def recovered(self):
        """Waits until all entry instances serve all kinds, and the newest acknowledged order is read."""
        async def serve():
            for entry in standin.ADDRESSES["entries"]:
                for method, path in (("GET", "/read/x"), ("POST", "/write/x"), ("POST", "/stream/x")):
                    reply = await asyncio.wait_for(standin.request(entry, method, path), 5)
                    if reply.status != 200 or not reply.whole:
                        return False
            return True
        await standin.until("all entry instances to serve again", serve)

        async def read():
            reply = await standin.ask(standin.ADDRESSES["control"][0], "GET", "/v1/Config.Read")
            self.check_read(reply, self.acked)
            return reply.status == 200
        await standin.until("the newest order to be read", read)

    def check_runs(self):
        """At most once for what may not be repeated, and "not run" is true."""
        runs = {}
        for server in set(self.servers + self.gone):
            for attempt, start, _, _ in server.ran:
                runs.setdefault(attempt, []).append(server.name)
        for attempt, (kind, status) in self.told.items():
            names = runs.get(attempt, [])
            if kind == "write":
                self.book.check(len(names) <= 1, "at most once", f"{attempt} ran at {names}")
            if status in NOT_RUN and kind == "write":
                self.book.check(not names, "not run", f"{attempt} got {status}, ran at {names}")
        for names in (n for a, n in runs.items() if a not in self.told):
            self.book.count("ran, its caller saw no answer")

    def check_exits(self):
        for process in self.fleet.states + self.fleet.entries:
            for code, stopping in process.exits:
                self.book.check(code == -signal.SIGKILL or (code == 0 and stopping), "ends",
                                f"{process.name} ended with {code}")

    async def run(self):
        self.fleet.start()
        standin.use(self.dir)
        watching = [asyncio.create_task(p.watch()) for p in self.fleet.states + self.fleet.entries]
        for i, zone in enumerate(ZONES):
            for service in ("plain", "engine"):
                self.servers.append(await self.new_server(service, zone))
        await standin.order("/v1/Config.Replace", standin.configuration(3, standin.ROUTES))
        await standin.in_force(standin.ADDRESSES["entries"], "/read/x", 200)
        callers = [asyncio.create_task(self.caller(i)) for i in range(CALLERS)]
        others = [asyncio.create_task(self.operator())]
        others += [asyncio.create_task(self.series()) for _ in range(3)]
        await asyncio.sleep(self.seconds)
        self.healing = True
        await stop(others)
        self.heal()
        await self.recovered()
        self.calm = True
        await asyncio.sleep(1)
        self.over = True
        await stop(callers + watching)
        for server in set(self.servers + self.gone):
            server.crash()
            server.relay.server.close()
            server.relay.reset_all()
        await asyncio.sleep(0.1)
        self.check_runs()
        self.check_exits()

    def close(self, keep):
        self.fleet.end()
        if not keep:
            shutil.rmtree(self.dir)


def main():
    build, seed, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit("ended by a signal"))
    soak = Soak(build, seed, seconds, int(sys.argv[4]) if len(sys.argv) > 4 else 20)
    fine = False
    try:
        asyncio.run(soak.run())
        fine = not soak.book.broken
    except SystemExit as error:
        soak.book.breaks("recovery", str(error))
    finally:
        soak.close(not fine)
    for line in soak.book.broken[:20]:
        print(f"BROKEN {line}")
    print(f"seed {seed}: {len(soak.book.broken)} broken;",
          ", ".join(f"{k} {v}" for k, v in sorted(soak.book.counts.items())), "" if fine else "logs in " + soak.dir)
    return 0 if fine else 1


if __name__ == "__main__":
    sys.exit(main())
