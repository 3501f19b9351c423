"""A small installation on loopback addresses for the cases: three core machines and some edge machines, each with an
address of its own and settings rendered from the deploy file's templates; servers, clients and an operator that speak
the published protocol. Everything that is sent, answered and run goes to the record."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = {"vantaa-a": "fi-south", "arlanda-a": "se-east", "hamburg-a": "de-north"}
# The bounds of the small site.
CONTACT_S, EVACUATE_S, CONFIG_APPLY_S, DRAIN_S = 6.0, 5.0, 4.0, 4.0
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


def lookup(name, scopes):
    if name in (".", "@"):
        return scopes[0][name]
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes):
    """Fills in a settings template as the platform does (DEPLOY.md, "Settings of a process")."""
    def section(match):
        value = lookup(match[1], scopes)
        if isinstance(value, dict):
            items = list(value.items())
        elif isinstance(value, list):
            items = list(enumerate(value))
        else:
            items = [("", value)] if value else []
        out = ""
        for at, (key, item) in enumerate(items):
            inner = match[2].replace("{{,}}", "," if at + 1 < len(items) else "")
            scope = dict(item) if isinstance(item, dict) else {}
            scope.update({".": item, "@": key})
            out += render(inner, [scope] + scopes)
        return out
    template = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^,]+)\}\}", lambda match: text_of(lookup(match[1], scopes)), template)


def free_base(count, addresses):
    """Returns the first of COUNT ports in a row that are free on all ADDRESSES."""
    for _ in range(200):
        base = random.randrange(20000, 30000 - count)
        held = []
        try:
            for address in addresses:
                for port in range(base, base + count):
                    one = socket.socket()
                    held.append(one)
                    one.bind((address, port))
            return base
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise CannotRun("no free ports")


class Machine:
    def __init__(self, name, role, zone, ip):
        self.name, self.role, self.zone, self.ip = name, role, zone, ip
        self.process, self.shift = None, 0


class Gate:
    """A link that can be cut: while it is, bytes wait on both sides and connections get no answer. Afterwards what
    waited arrives, unless its sender has closed."""

    def __init__(self, rig, name):
        self.rig, self.name, self.listeners = rig, name, []
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def open(self, ip, port, to_port):
        async def serve(reader, writer):
            task = asyncio.current_task()
            self.rig.tasks.append(task)
            other = None
            try:
                await self.is_open.wait()
                other_reader, other = await asyncio.open_connection(ip, to_port)
                first = asyncio.create_task(self.relay(reader, other))
                second = asyncio.create_task(self.relay(other_reader, writer))
                await asyncio.wait([first, second], return_when=asyncio.FIRST_COMPLETED)
                await self.is_open.wait()
                first.cancel()
                second.cancel()
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                writer.close()
                if other:
                    other.close()
        self.listeners.append(await asyncio.start_server(serve, ip, port))

    async def relay(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def cut(self):
        self.rig.record("%s is cut off from the core" % self.name)
        self.is_open.clear()

    def join(self):
        self.rig.record("%s reaches the core again" % self.name)
        self.is_open.set()


class Rig:
    def __init__(self, folder, entries):
        """ENTRIES are the zones of the edge machines, one for each."""
        self.record_file = open(os.environ.get("RECORD") or os.path.join(folder, "record.txt"), "w", buffering=1)
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="jaycove-review-")
        net = "127.%d.%d." % (random.randrange(20, 120), random.randrange(1, 250))
        self.cores = [Machine("core-%s-1" % zone, "state", zone, net + str(11 + i)) for i, zone in enumerate(ZONES)]
        self.edges = [Machine("edge-%s-%d" % (zone, i + 1), "entry", zone, net + str(41 + i))
                      for i, zone in enumerate(entries)]
        self.base = free_base(48, [machine.ip for machine in self.cores + self.edges])
        self.net, self.servers, self.tasks, self.logs = net, [], [], []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.record("base port %d, addresses %s*" % (self.base, net))

    def now(self):
        return time.monotonic() - self.started

    def record(self, text):
        self.record_file.write("%8.3f %s\n" % (self.now(), text))

    # Addresses of what machines serve; ports are the same on all machines.
    def control(self, machine):
        return "%s:%d" % (machine.ip, self.base + 16)

    def directory(self, machine):
        return "%s:%d" % (machine.ip, self.base + 17)

    def frontend(self, machine):
        return "%s:%d" % (machine.ip, self.base + 18)

    def ready(self, machine):
        return "%s:%d" % (machine.ip, self.base + 19)

    async def put_behind_gate(self, machine):
        """Puts MACHINE, not started yet, behind a gate of its own: its connections to the core's ports for traffic
        between daemons pass through a proxy. It gets another range of ports, since it dials the core at the port that
        it has itself."""
        machine.shift = 24
        gate = Gate(self, machine.name)
        for core in self.cores:
            await gate.open(core.ip, self.base + machine.shift + 15, self.base + 15)
        return gate

    def start(self, machine, first):
        role = self.deploy["roles"][machine.role]
        data = os.path.join(self.folder, machine.name + ".data")
        fields = {
            "node-name": machine.name, "role": machine.role, "zone": machine.zone, "region": ZONES[machine.zone],
            "zones": ZONES, "ip": machine.ip, "data-dir": data, "is-bootstrap": first, "heartbeat-ms": 1200,
            "listen": {"frontend": self.frontend(machine), "ready": self.ready(machine),
                       "control-plane": self.control(machine), "directory": self.directory(machine)},
            "port-range": [self.base + machine.shift, self.base + machine.shift + 15],
            "seeds": [self.control(core) for core in self.cores],
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 1},
            "bounds": {"contact-ms": 6000, "retry-ratio": 0.2, "warmup-excess": 1.5, "warmup-slack": 3}}
        settings = os.path.join(self.folder, machine.name + ".conf")
        with open(os.path.join(ROOT, role["template"])) as file:
            rendered = render(file.read(), [fields])
        with open(settings, "w") as file:
            file.write(rendered)
        command = [settings if word == "/etc/jaycove/local.conf" else word for word in role["run"].split()]
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun("the build of the deploy file has not run")
        log = open(os.path.join(self.folder, machine.name + ".log"), "a")
        self.logs.append(log)
        machine.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                           env={"PATH": os.environ["PATH"], "JAYCOVE_CONFIG": settings})
        self.record("start %s as %s, pid %d" % (machine.name, machine.ip, machine.process.pid))

    def signal(self, machine, number):
        machine.process.send_signal(number)
        self.record("%s gets %s" % (machine.name, signal.Signals(number).name))

    def log_lines(self, machine, needle):
        with open(os.path.join(self.folder, machine.name + ".log")) as file:
            return [line.rstrip() for line in file if needle in line]

    async def boot(self, state, servers):
        """Starts the machines, installs STATE, a desired state, and starts SERVERS. Returns once all take work."""
        for machine in self.cores + self.edges:
            self.start(machine, True)
        end = time.monotonic() + 25
        while not await self.operator("POST", "/v1/Config.Replace", state, limit_s=3):
            if time.monotonic() > end:
                raise CannotRun("no desired state is accepted")
            await asyncio.sleep(0.3)
        for server in servers:
            self.servers.append(server)
            await server.start(self)
        for machine in self.edges:
            while (await self.ask(self.ready(machine), "GET", "/v1/readyz"))[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun("%s isn't ready" % machine.name)
                await asyncio.sleep(0.2)
        await asyncio.sleep(3)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers:
            await server.stop()
        machines = [machine for machine in self.cores + self.edges if machine.process]
        for machine in machines:
            if machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in machines:
            machine.process.wait()
        for log in self.logs:
            log.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()

    async def ask(self, address, method, path, body=b"", headers=(), limit_s=1.0):
        """Sends one request on a new channel. Returns status, fields and body; status 0 if no whole answer came."""
        host, port = address.rsplit(":", 1)
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % header for header in headers]
                if not any(name == "Host" for name, _ in headers):
                    lines.append("Host: " + address)
                if body or method != "GET":
                    lines.append("Content-Length: %d" % len(body))
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                start, fields = await read_head(reader)
                return int(start.split()[1]), fields, await read_body(reader, fields)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            return 0, {}, b""
        finally:
            if writer:
                writer.transport.abort()

    async def order(self, core, method, path, body=b"", limit_s=1.0):
        """Sends an order to CORE once. Returns the status, 0 without an answer in time."""
        self.record("operator sends %s to %s" % (path, core.name))
        status, _, answer = await self.ask(self.control(core), method, path, body, limit_s=limit_s)
        self.record("operator hears %s of %s from %s" % (status or "nothing", path, core.name))
        return status, answer

    async def operator(self, method, path, state=None, cores=None, limit_s=1.0):
        """Sends an order as the operator does: to one daemon after another until one acknowledges it."""
        body = json.dumps(state).encode() if state else b""
        for core in cores or random.sample(self.cores, len(self.cores)):
            status, _ = await self.order(core, method, path, body, limit_s)
            if 200 <= status < 300:
                return core
        return None


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return head[0], {name.lower(): value.strip() for name, _, value in
                     (line.partition(":") for line in head[1:] if line)}


async def read_body(reader, fields):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding") != "chunked":
        return b""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


class Server:
    """A sound server of a plain service: reports itself, answers health checks and runs requests."""

    def __init__(self, name, service, zone):
        self.name, self.service, self.zone = name, service, zone
        self.sequence, self.state, self.born = 0, "ready", int(time.time() * 1000)
        self.arrived, self.ran, self.writers = [], [], set()

    async def start(self, rig):
        self.rig = rig
        self.listener = await asyncio.start_server(self.serve, rig.net + "201", 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        rig.record("server %s (%s, %s) at %s" % (self.name, self.service, self.zone, self.address))
        rig.tasks.append(asyncio.create_task(self.report()))

    async def stop(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def report(self):
        while True:
            await self.report_once()
            await asyncio.sleep(1.2)

    async def report_once(self):
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
            "state": self.state, "warmup-left-ms": 0, "sequence": self.sequence, "born": self.born}).encode()
        for core in random.sample(self.rig.cores, len(self.rig.cores)):
            status, _, _ = await self.rig.ask(self.rig.control(core), "POST",
                                              "/v1/Instances.Heartbeat/" + self.name, body)
            if 200 <= status < 300:
                break

    def connection(self):
        """Returns the header line that tells callers to close, if there is one."""
        return ""

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, fields = await read_head(reader)
                await read_body(reader, fields)
                method, path, _ = start.split()
                await self.answer(writer, method, path, fields)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, method, path, fields):
        if path == "/healthz":
            writer.write(("HTTP/1.1 200 OK\r\nX-Jaycove-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                          % self.name).encode())
            return
        attempt = fields.get("x-jaycove-attempt-id", "-")
        if fields.get("x-jaycove-expect-instance", self.name) != self.name:
            writer.write(("HTTP/1.1 421 Misdirected Request\r\nX-Jaycove-Attempt-Id: %s\r\nX-Jaycove-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n" % attempt).encode())
            return
        self.arrived.append((time.monotonic(), attempt))
        self.rig.record("server %s runs %s" % (self.name, attempt))
        await asyncio.sleep(0.015)
        body = ("answer of %s to %s\n" % (self.name, attempt)).encode()
        writer.write(("HTTP/1.1 200 OK\r\nX-Jaycove-Attempt-Id: %s\r\nX-Jaycove-Server-Stamp: 1.%s.%s\r\n"
                      "X-Jaycove-Server-Load: 1,0,6\r\n%sContent-Length: %d\r\n\r\n"
                      % (attempt, self.name, attempt, self.connection(), len(body))).encode() + body)


def desired_state(version, service="xano55b", kind="safe"):
    return {"version": version,
            "routes": [{"name": "r-1", "host": HOST, "path-prefix": "/pufi791/", "route-kind": kind,
                        "timeout-ms": 2000, "slo-ms": 600, "priority": 2, "service": service,
                        "max-attempts": 2 if kind == "safe" else 1, "sticky": False, "resumable": False,
                        "home-regions": []}],
            "services": [{"name": service, "health-path": "/healthz", "max-conns": 100, "protocol": "h1",
                          "tls": False, "warmup-s": 0.0, "warmup-per-s": 0.0}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}


async def client(rig, machine, every_s):
    """Sends safe requests to the edge machine MACHINE, one each EVERY_S."""
    while True:
        attempt = "%016x" % random.getrandbits(64)
        rig.record("client sends %s to %s" % (attempt, machine.name))
        status, fields, _ = await rig.ask(
            rig.frontend(machine), "GET", "/pufi791/2f", limit_s=4.0,
            headers=(("Host", HOST), ("X-Jaycove-Attempt-Id", attempt), ("X-Jaycove-Deadline-Ms", "4000")))
        rig.record("client gets %s for %s, stamp %s" % (status or "nothing", attempt,
                                                        fields.get("x-jaycove-server-stamp", "-")))
        await asyncio.sleep(every_s)


def main(run, folder, entries):
    """Runs the coroutine RUN (RIG, TROUBLE), which returns whether the rule held, and exits as the cases do."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rig = Rig(folder, entries)

    async def limited():
        try:
            async with asyncio.timeout(100):
                return await run(rig, trouble)
        finally:
            await rig.stop()
    try:
        held = asyncio.run(limited())
    except (CannotRun, TimeoutError) as error:
        print("could not run: %r" % error)
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
