"""Fake endpoints, operator and callers that speak the platform's protocol to a cluster with host-based routing.
Usage: hosts_standin.py SCRIPT DIR [ARGUMENTS], where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import json
import os
import random
import resource
import signal
import subprocess
import sys
import time

DIR = ""
ADDRESSES = {}
HEARTBEAT_S = 0.2
WAIT_S = 60


def use(directory):
    """Sets the cluster whose addresses and process ids are in DIRECTORY."""
    global DIR
    DIR = directory
    ADDRESSES.update(json.load(open(os.path.join(DIR, "addresses.json"))))


def show_values(kind, error, trace):
    """Prints an exception and the local variables of the frame that raised it: what a failed assertion compared."""
    sys.__excepthook__(kind, error, trace)
    while trace.tb_next:
        trace = trace.tb_next
    for name, value in trace.tb_frame.f_locals.items():
        print(f"  {name} = {repr(value)[:400]}", file=sys.stderr)


sys.excepthook = show_values


class Reply:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict((k.lower(), v.strip()) for k, _, v in (line.partition(":") for line in head[1:] if line))
    return head[0], fields


async def read_body(reader, fields, on_chunk=None):
    """Returns the body and whether it is complete. ON_CHUNK is called with the body so far after each chunk."""
    body = b""
    try:
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"])), True
        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += data[:-2]
                if on_chunk:
                    on_chunk(body)
        return await reader.read(), True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def ask(address, method, path, headers=(), body=b"", on_chunk=None):
    host, port = address.rsplit(":", 1)
    # asyncio.wait_for loses a cancellation that arrives at the same time as the connection, and the task never ends.
    async with asyncio.timeout(5):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
        if not any(k == "Host" for k, _ in headers):
            lines.append("Host: x")
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        start, fields = await read_head(reader)
        data, whole = await read_body(reader, fields, on_chunk)
        return Reply(int(start.split()[1]), fields, data, whole)
    finally:
        writer.close()


class Endpoint:
    """An endpoint of SERVICE. Its streams have EVENTS events, one each PAUSE_S seconds. The first endpoint that
    reaches the event CRASH_AT crashes in the middle of it."""
    crash_at = None
    # The first stream that reaches the event STALL_AT pauses there for STALL_S.
    stall_at, stall_s = None, 0
    # How the next plain requests are answered, at whichever endpoint: "fail" or "refuse".
    next_answers = []
    # Header lines of all answers that ask for less work; with REFUSES requests are turned away.
    asks, refuses, signs_refusals = "", False, False
    # Header lines of all answers besides these.
    always = ""
    # Time that a request takes before its answer begins.
    work_s = 0
    # The status of a failure of its own.
    failure_status = 500
    # The version of its software.
    version = "v1"

    def __init__(self, name, service, zone, events=6, pause_s=0.02, cold_s=0):
        self.name, self.service, self.zone = name, service, zone
        self.events, self.pause_s = events, pause_s
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.ran, self.writers, self.fail_next = [], set(), 0
        self.cold_until, self.arrived = time.monotonic() + cold_s, []
        # Requests that were meant for this endpoint: time, attempt id and what the answer asked for.
        self.received = []
        # Requests that were meant for another endpoint.
        self.misdirected = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self.report())
        return self

    async def report(self):
        while True:
            await self.report_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def report_once(self):
        self.sequence += 1
        body = json.dumps({"service": self.service, "address": self.address, "zone": self.zone,
                           "version": self.version, "slots": 8, "state": self.state,
                           "warmup-left-ms": max(0, int((self.cold_until - time.monotonic()) * 1000)),
                           "sequence": self.sequence, "born": self.born}).encode()
        for control in random.sample(ADDRESSES["control"], len(ADDRESSES["control"])):
            try:
                reply = await ask(control, "POST", "/v1/Instances.Heartbeat/" + self.name, body=body)
                if reply.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
        return False

    def crash(self):
        self.task.cancel()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def is_deadly(self, start, fields, body):
        """Whether the endpoint dies when it begins to answer this request."""
        return False

    def refuses_request(self, fields):
        """Whether the endpoint turns this request away."""
        return False

    def fails_request(self, fields):
        """Whether the endpoint answers this request with a failure of its own."""
        return False

    def event_text(self, event):
        return f"token-{event}"

    def breaks_stream(self, fields, event):
        """Whether the endpoint breaks the connection in the middle of this event, which is not the first one that it
        sends on it."""
        return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        self.writers.discard(writer)
        writer.close()

    def tell_state(self, writer):
        """Answers the question which process this is."""
        text = json.dumps({"phase": "both", "sequence": 0, "born": self.born}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        return True

    async def serve_one(self, reader, writer):
        start, fields = await read_head(reader)
        body, _ = await read_body(reader, fields) if "content-length" in fields else (b"", True)
        if start.startswith("GET /v1/report "):
            return self.tell_state(writer)
        attempt = fields.get("x-jaycove-attempt-id", "")
        head = f"X-Jaycove-Attempt-Id: {attempt}\r\nX-Jaycove-Server-Load: 1,0,8\r\n{self.always}{self.asks}"
        if fields.get("x-jaycove-expect-instance") != self.name:
            self.misdirected += 1
            writer.write(f"HTTP/1.1 421 Misdirected\r\n{head}X-Jaycove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.received.append((time.monotonic(), attempt, self.asks))
        if self.is_deadly(start, fields, body):
            await self.die()
            return False
        refuses = self.refuses or self.refuses_request(fields)
        if not refuses:
            await asyncio.sleep(self.work_s)
        answer = Endpoint.next_answers.pop(0) if self.service == "plain" and Endpoint.next_answers else ""
        if answer == "refuse" or refuses:
            signature = f"X-Jaycove-Server-Stamp: {self.name}\r\n" if self.signs_refusals else ""
            writer.write(f"HTTP/1.1 503 Full\r\n{head}{signature}X-Jaycove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.ran.append((attempt, start, body, fields))
        self.arrived.append((attempt, time.monotonic()))
        head += f"X-Jaycove-Server-Stamp: {self.name}\r\n"
        if self.fail_next > 0 or answer == "fail" or self.fails_request(fields):
            self.fail_next = max(self.fail_next - 1, 0)
            writer.write(f"HTTP/1.1 {self.failure_status} Error\r\n{head}Content-Length: 0\r\n\r\n".encode())
            return True
        if "/stream/" not in start:
            text = f"{self.name} {attempt}".encode()
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(text)}\r\n\r\n".encode() + text)
            return True
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        first = int(fields.get("last-event-id", -1)) + 1
        for event in range(first, self.events):
            data = f"id: {event}\ndata: {self.event_text(event)}\n\n".encode()
            if event > first and self.breaks_stream(fields, event):
                writer.write(b"%x\r\n%s" % (len(data), data[:5]))
                await writer.drain()
                writer.transport.abort()
                return False
            if Endpoint.crash_at == event:
                Endpoint.crash_at = None
                writer.write(b"%x\r\n%s" % (len(data), data[:5]))
                await writer.drain()
                self.crash()
                return False
            if Endpoint.stall_at == event:
                Endpoint.stall_at = None
                await asyncio.sleep(Endpoint.stall_s)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        return True


def route(name, kind, service, **more):
    return {"name": name, "host": "site.example", "path-prefix": f"/{name}/", "route-kind": kind, "timeout-ms": 20000,
            "slo-ms": 2000, "priority": 0, "service": service, "max-attempts": 2, "sticky": False,
            "resumable": kind == "stream", "gap-slo-ms": 800, "home-regions": []} | more


def configuration(version, routes, cold_s=0, cold_per_s=0):
    return json.dumps({"version": version, "routes": routes,
                       "services": [{"name": n, "health-path": "/", "max-conns": 9, "warmup-s": cold_s,
                                   "warmup-per-s": cold_per_s}
                                    for n in ("plain", "engine")],
                       "limits": {"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 3000,
                                  "idle-timeout-ms": 15000}}).encode()


async def until(what, condition):
    """Polls the coroutine function CONDITION until it is true; WAIT_S is enough for a busy machine. WHAT is for the
    message on failure."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        try:
            if await condition():
                return
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)
    raise SystemExit("gave up waiting for: " + what)


async def order(path, body=b"", controls=None):
    """Sends an operator's order until it is acknowledged."""
    async def sent():
        reply = await ask(random.choice(controls or ADDRESSES["control"]), "POST", path, body=body)
        assert reply.status in (200, 503), reply.status
        return reply.status == 200
    await until("an acknowledgement of " + path, sent)


async def in_force(entries, path, status, headers=()):
    async def seen():
        replies = [await request(e, "GET", path, headers=headers) for e in entries]
        return all(r.status == status for r in replies)
    await until(f"{path} to give {status}", seen)


async def request(entry, method, path, body=b"", attempt=None, headers=(), on_chunk=None):
    attempt = attempt or "%016x" % random.getrandbits(64)
    return await ask(entry, method, path, [("Host", "site.example"), ("X-Jaycove-Attempt-Id", attempt),
                                           ("X-Jaycove-Deadline-Ms", "15000"), *headers], body, on_chunk)


def pid(name):
    return int(open(os.path.join(DIR, name + ".pid")).read())


async def kill_now(name):
    """Kills a process and waits for its exit, which frees its ports."""
    killed = pid(name)
    os.kill(killed, signal.SIGKILL)

    async def is_gone():
        try:
            # The state follows the name in parentheses; the shell collects a zombie later.
            return open(f"/proc/{killed}/stat").read().rpartition(")")[2].split()[0] == "Z"
        except FileNotFoundError:
            return True
    await until(name + " to end", is_gone)


ROUTES = [route("read", "safe", "plain"), route("write", "unsafe", "plain"), route("stream", "stream", "engine")]


async def start_all():
    endpoints = [await Endpoint(f"{service}-{i}", service, zone).start()
                 for i, (service, zone) in enumerate([("plain", "z1"), ("plain", "z2"), ("engine", "z1"),
                                                      ("engine", "z2")])]
    await order("/v1/Config.Replace", configuration(3, ROUTES))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    # New streams are refused until the entry instances have heard the version of an endpoint.
    await in_force(ADDRESSES["entries"], "/stream/x", 200)
    return endpoints


async def path():
    """End to end: orders, directory, metrics, and each kind of request."""
    endpoints = await start_all()
    entry = ADDRESSES["entries"][0]
    control = ADDRESSES["control"][0]

    async def listed():
        reply = await ask(ADDRESSES["directory"][0], "GET", "/v1/resolve?name=site.example&region=r1&zone=z1")
        return reply.status == 200 and sorted(json.loads(reply.body)["addresses"]) == sorted(ADDRESSES["entries"])
    await until("both entry instances in the directory", listed)
    for ready in ADDRESSES["ready"]:
        assert (await ask(ready, "GET", "/v1/readyz")).status == 200

    reply = await request(entry, "POST", "/write/a?b=%41", b"body", attempt="feed")
    assert reply.status == 200 and reply.body.endswith(b" feed"), reply.body
    ran = [r for e in endpoints for r in e.ran if r[0] == "feed"]
    assert len(ran) == 1 and ran[0][1] == "POST /write/a?b=%41 HTTP/1.1" and ran[0][2] == b"body"
    assert 0 < int(ran[0][3]["x-jaycove-deadline-ms"]) <= 15000

    reply = await request(entry, "POST", "/write/a", b"", headers=[("X-Jaycove-Hold", "h"), ("Kv-From", "k")],
                          attempt="beef")
    ran = [r for e in endpoints for r in e.ran if r[0] == "beef"]
    assert len(ran) == 1 and "x-jaycove-hold" not in ran[0][3] and "kv-from" not in ran[0][3]

    reply = await request(entry, "POST", "/stream/a")
    assert reply.status == 200 and reply.whole
    assert reply.body == b"".join(b"id: %d\ndata: token-%d\n\n" % (i, i) for i in range(6)), reply.body

    assert (await request(entry, "GET", "/none/x")).status == 404
    for _ in range(12):
        assert (await request(entry, "GET", "/read/x")).status == 200
    for endpoint in endpoints:
        endpoint.fail_next = 1 if endpoint.service == "plain" else 0
    assert (await request(entry, "GET", "/read/x")).status == 500
    assert (await request(entry, "GET", "/read/x")).status == 200

    # The metrics show what the instance knows.
    reply = await ask(ADDRESSES["operators"][0], "GET", "/metrics")
    assert reply.status == 200, reply.body
    metrics = dict(line.rsplit(" ", 1) for line in reply.body.decode().splitlines() if not line.startswith("#"))
    assert metrics["jaycove_config_version{}"] == "3" and metrics["jaycove_endpoints{}"] == "4", metrics
    assert metrics["jaycove_entry_instances{}"] == "1" and metrics["jaycove_waiting{}"] == "0", metrics
    assert float(metrics['jaycove_retries_left{service="plain"}']) >= 0, metrics
    assert metrics['jaycove_log_dropped_total{event="failed"}'] == "0", metrics

    reply = await ask(control, "GET", "/metrics")
    assert reply.status == 200, reply.body
    metrics = dict(line.rsplit(" ", 1) for line in reply.body.decode().splitlines() if not line.startswith("#"))
    assert metrics["jaycove_config_version{}"] == "3" and metrics["jaycove_entry_instances{}"] == "2", metrics
    assert metrics["jaycove_replicas{}"] == "3" and metrics["jaycove_orders_last{}"] == "1", metrics
    assert int(metrics["jaycove_log_flush_us_count{}"]) > 0, metrics

    # A report without a usable address is refused.
    for address in ("nowhere", "10.0.0.1", "10.0.0.1:x", "10.0.0.1:0", "10.0.0.1:70000"):
        body = json.dumps({"service": "plain", "address": address, "zone": "z1", "slots": 8, "state": "ready",
                           "sequence": 1, "born": 1700000000000}).encode()
        assert (await ask(control, "POST", "/v1/Instances.Heartbeat/lost", body=body)).status == 400, address

    # Orders: an older one is acknowledged and changes nothing; a bad one is refused.
    assert (await ask(control, "POST", "/v1/Config.Replace", body=configuration(2, []))).status == 200
    assert (await ask(control, "POST", "/v1/Config.Replace", body=configuration(9, [route("a", "safe", "?")]))).status == 400
    reply = await ask(control, "GET", "/v1/Config.Read")
    assert reply.status == 200 and reply.body == configuration(3, ROUTES)
    await order("/v1/Config.Replace", configuration(10, ROUTES + [route("more", "safe", "plain")]))
    await in_force(ADDRESSES["entries"], "/more/x", 200)


async def changes():
    """Endpoints that crash, leave and are evacuated; a state instance that is killed."""
    endpoints = await start_all()
    entry = ADDRESSES["entries"][0]
    engines = [e for e in endpoints if e.service == "engine"]

    # A stream is resumed at another endpoint, without loss, after its endpoint crashed in the middle of an event.
    # The requests before it fill the retry budget.
    for _ in range(12):
        assert (await request(entry, "POST", "/stream/a")).whole
    Endpoint.crash_at = 3
    reply = await request(entry, "POST", "/stream/a", attempt="cafe")
    assert sorted(e.server.is_serving() for e in engines) == [False, True]
    assert reply.whole, reply.body
    assert reply.body == b"".join(b"id: %d\ndata: token-%d\n\n" % (i, i) for i in range(6)), reply.body

    # A stalled stream is not given up if there is no other endpoint. Callers lost such streams after three times
    # the gap allowed.
    Endpoint.stall_at, Endpoint.stall_s = 2, 3.5 * ROUTES[2]["gap-slo-ms"] / 1000
    reply = await request(entry, "POST", "/stream/a")
    assert reply.whole and reply.body.count(b"id: ") == 6, reply.body

    # The caller gets an endpoint's own failure if all other endpoints refuse.
    for _ in range(12):
        assert (await request(entry, "GET", "/read/x")).status == 200
    Endpoint.next_answers = ["fail", "refuse"]
    reply = await request(entry, "GET", "/read/x")
    assert not Endpoint.next_answers
    assert reply.status == 500 and "x-jaycove-server-stamp" in reply.headers, reply.status

    # A draining endpoint gets no requests once its report is acknowledged and the entry instances know.
    leaving, staying = [e for e in endpoints if e.service == "plain"]
    leaving.state = "draining"

    async def acknowledged():
        return await leaving.report_once()
    await until("the leave to be acknowledged", acknowledged)

    async def gets_nothing():
        before = len(leaving.ran)
        for e in ADDRESSES["entries"]:
            assert (await request(e, "GET", "/read/x")).status == 200
        return len(leaving.ran) == before
    await until("the leaving endpoint to get nothing", gets_nothing)
    for e in ADDRESSES["entries"]:
        for _ in range(10):
            assert (await request(e, "GET", "/read/x")).body.startswith(staying.name.encode())

    # Orders are still stored and applied while a state instance is down.
    os.kill(pid("s1"), 9)
    rest = ADDRESSES["control"][1:]
    await order("/v1/Evacuation.Begin/" + staying.zone, controls=rest)
    await in_force(ADDRESSES["entries"], "/read/x", 503)
    await order("/v1/Evacuation.Finish/" + staying.zone, controls=rest)
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    await order("/v1/Config.Replace", configuration(20, ROUTES + [route("more", "safe", "plain")]), controls=rest)
    await in_force(ADDRESSES["entries"], "/more/x", 200)

    async def read_back():
        reply = await ask(rest[0], "GET", "/v1/Config.Read")
        assert reply.status != 200 or json.loads(reply.body)["version"] == 20
        return reply.status == 200
    await until("the configuration to be read back", read_back)


def limit_file_size(name, size):
    import resource
    resource.prlimit(pid(name), resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


async def disk():
    """Full disks: orders are acknowledged while one of three disks is full, none while two are, and both state
    instances recover without help once there is space."""
    await start_all()
    limit_file_size("s2", 0)
    for i in range(5):
        await order("/v1/Config.Replace", configuration(30 + i, ROUTES))
    limit_file_size("s3", 0)
    for _ in range(20):
        reply = await ask(ADDRESSES["control"][0], "POST", "/v1/Config.Replace", body=configuration(40, ROUTES))
        assert reply.status == 503, reply.status
        await asyncio.sleep(0.02)
    limit_file_size("s2", -1)
    await order("/v1/Config.Replace", configuration(50, ROUTES + [route("more", "safe", "plain")]))
    limit_file_size("s3", -1)
    os.kill(pid("s1"), 9)
    await order("/v1/Config.Replace", configuration(60, ROUTES + [route("most", "safe", "plain")]),
                controls=ADDRESSES["control"][1:])
    await in_force(ADDRESSES["entries"], "/most/x", 200)


async def blocked_log():
    """The log of the first entry instance is not read: lines are dropped and counted, requests are served."""
    await start_all()
    entry = ADDRESSES["entries"][0]

    async def dropped():
        for _ in range(50):
            assert (await request(entry, "GET", "/read/x")).status == 200
        reply = await ask(ADDRESSES["operators"][0], "GET", "/metrics")
        lines = [line for line in reply.body.decode().splitlines() if line.startswith("jaycove_log_dropped_total")]
        return sum(int(line.rsplit(" ", 1)[1]) for line in lines) > 1000
    await until("lines to be dropped", dropped)


async def cold():
    """All state instances are suspended until entry instances know of no other one; meanwhile an endpoint starts cold.
    The entry instances together must keep to the rate allowed for it."""
    per_s, cold_s, requests_max, sent = 2.1, 40, 12, {}
    warm = [await Endpoint(f"plain-{i}", "plain", "z1").start() for i in range(2)]
    await order("/v1/Config.Replace", configuration(3, ROUTES, cold_s, per_s))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    for name in ("s1", "s2", "s3"):
        os.kill(pid(name), signal.SIGSTOP)
    await asyncio.sleep(4.5)
    fresh = await Endpoint("fresh", "plain", "z1", cold_s=cold_s).start()
    # The new endpoint is the only one left for the callers' requests.
    for endpoint in warm:
        endpoint.crash()
    await asyncio.sleep(0.5)
    for name in ("s1", "s2", "s3"):
        os.kill(pid(name), signal.SIGCONT)

    async def send_requests(entry):
        while time.monotonic() < fresh.cold_until and len(fresh.arrived) < requests_max:
            attempt = "%016x" % random.getrandbits(64)
            sent[attempt] = time.monotonic()
            try:
                await request(entry, "GET", "/read/x", attempt=attempt)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.01)
    await asyncio.gather(*(send_requests(e) for e in ADDRESSES["entries"]))
    # Requests that were sent and arrived within one second.
    deliveries = [(sent[a], t) for a, t in fresh.arrived if t < fresh.cold_until]
    most = max((sum(1 for sent_at, arrived_at in deliveries if t <= sent_at and arrived_at < t + 1)
                for t, _ in deliveries), default=0)
    print("%d requests while cold, at most %d in a second" % (len(deliveries), most), flush=True)
    assert most <= 1.5 * per_s + 3, most
    assert deliveries, "nothing was sent to the cold endpoint"


# How often an instance must have found its disk full, and gone on, before the test goes on. The first try counts.
STARTS_REFUSED = 4


async def disk_at_start():
    """A state instance starts on a disk that takes no bytes. It must wait for the disk and come back by itself, and end
    with 0 on SIGTERM while it waits."""
    await start_all()
    await kill_now("s3")
    command = [os.path.join(sys.argv[3], "jaycove-state"), "--settings", os.path.join(DIR, "s3.json")]

    def fill_disk():
        resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
    for stopped in (True, False):
        # A file of the test would be full too.
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, preexec_fn=fill_disk)
        os.set_blocking(process.stdout.fileno(), False)
        output = bytearray()

        async def refused_again():
            output.extend(process.stdout.read() or b"")
            assert process.poll() is None, "s3 ended with %s: %s" % (process.poll(), output[-900:].decode())
            return output.count(b"event=storage what=start ") >= STARTS_REFUSED
        try:
            await until("the instance to wait for the disk", refused_again)
            if stopped:
                process.terminate()
                assert process.wait(timeout=30) == 0
                continue
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))

            async def read():
                reply = await ask(ADDRESSES["control"][2], "GET", "/v1/Config.Read")
                return reply.status == 200 and json.loads(reply.body)["version"] == 3
            await until("the instance to come back", read)
        finally:
            process.kill()
            process.wait()


async def catch_up(changes=1000):
    """Measures how long a restarted state instance takes to catch up with 1,000 changes. It must answer a read itself,
    for which it must have applied all that the leader has."""
    await start_all()
    os.kill(pid("s3"), 9)
    begun = time.monotonic()
    for i in range(changes):
        await order("/v1/Config.Replace", configuration(100 + i, ROUTES), controls=ADDRESSES["control"][:1])
    print("%d changes acknowledged in %.2f s" % (changes, time.monotonic() - begun), flush=True)
    os.rename(os.path.join(DIR, "s3.pid"), os.path.join(DIR, "s3.old"))
    while not os.path.exists(os.path.join(DIR, "s3.pid")):
        await asyncio.sleep(0.01)
    begun = time.monotonic()

    async def caught_up():
        reply = await ask(ADDRESSES["control"][2], "GET", "/v1/Config.Read")
        return reply.status == 200 and json.loads(reply.body)["version"] == 99 + changes
    await until("the instance to catch up", caught_up)
    print("caught up %.2f s after its start" % (time.monotonic() - begun))


async def drain():
    """An entry instance drains without breaking a stream, and reloading the settings breaks none either."""
    endpoints = await start_all()
    for endpoint in endpoints:
        endpoint.events, endpoint.pause_s = 40, 0.05
    entry = ADDRESSES["entries"][0]
    begun = asyncio.Event()
    stream = asyncio.create_task(request(entry, "POST", "/stream/a", on_chunk=lambda _: begun.set()))
    await begun.wait()
    os.kill(pid("e1"), 1)
    os.kill(pid("e1"), 15)

    async def not_ready():
        return (await ask(ADDRESSES["ready"][0], "GET", "/v1/readyz")).status == 503
    await until("the instance not to be ready", not_ready)
    reply = await stream
    assert reply.whole and reply.body.count(b"id: ") == 40, reply.body

    async def listed():
        reply = await ask(ADDRESSES["directory"][0], "GET", "/v1/resolve?name=site.example&region=r1&zone=z1")
        return json.loads(reply.body)["addresses"] == [ADDRESSES["entries"][1]]
    await until("the instance to leave the directory", listed)


async def counted():
    """Waits until an entry instance knows a number of others. The arguments are the index of its address and the
    number."""
    async def seen():
        reply = await ask(ADDRESSES["operators"][int(sys.argv[3])], "GET", "/metrics")
        return "jaycove_entry_instances{} %s\n" % sys.argv[4] in reply.body.decode()
    await until(sys.argv[4] + " other entry instances", seen)


OBSERVE_S = 1.5


async def sent_to_z2(operators):
    """Returns how many messages an entry instance sent to z2, and how many of them were zone loads; None if it is down."""
    try:
        text = (await ask(operators, "GET", "/metrics")).body.decode()
    except OSError:
        return None
    rows = [line.rsplit(" ", 1) for line in text.splitlines()
            if line.startswith("jaycove_rpc_sent_total") and 'zone="z2"' in line]
    return sum(int(n) for _, n in rows), sum(int(n) for name, n in rows if 'kind="zone_loads"' in name)


async def bridges():
    """Waits until exactly the entry instances of z1 that the arguments name send messages to z2, and only the first of
    them sends zone loads."""
    names = sys.argv[3:]
    z1_entries = [f"e{i}" for i in range(1, 6)]

    async def settled():
        async def sample():
            return dict(zip(z1_entries, await asyncio.gather(*(sent_to_z2(o) for o in ADDRESSES["operators"][:5]))))
        before = await sample()
        await asyncio.sleep(OBSERVE_S)
        after = await sample()
        increase = {n: [b - a for a, b in zip(before[n], after[n])] for n in z1_entries if before[n] and after[n]}
        return ([n for n in increase if increase[n][0] > 0] == names
                and [n for n in increase if increase[n][1] > 0] == names[:1])
    await until(" ".join(names) + " to connect z1 to z2", settled)


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"path": path, "changes": changes, "disk": disk, "drain": drain, "cold": cold, "blocked_log": blocked_log,
                 "disk_at_start": disk_at_start,
                 "catch_up": catch_up, "counted": counted, "bridges": bridges}[sys.argv[1]]())
