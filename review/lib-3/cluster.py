"""A small deployment of the project's own programs on loopback addresses, and stand-ins of servers, clients and the
operator that follow the users' PROTOCOL.md. All processes are started here and ended by their ids."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, "target")
GROUP_KEY = "6a6179636f76652d6f6e652d6e6574776f726b2d666f722d616c6c2d696e2d31"
BEAT_MS = 1200
HOST = "ficu95.example"


def free_port(ips):
    """Returns a port below the ephemeral ones that is free on all IPS."""
    for port in random.sample(range(16000, 31000), 200):
        try:
            for ip in ips:
                with socket.socket() as s:
                    s.bind((ip, port))
            return port
        except OSError:
            pass
    raise SystemExit(2)


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return lines[0], {k.lower(): v.strip() for k, _, v in (l.partition(":") for l in lines[1:] if l)}


async def read_body(reader, fields):
    """Returns the body and whether it is whole."""
    body = b""
    try:
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"])), True
        if fields.get("transfer-encoding", "").lower() != "chunked":
            return b"", True
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def call(address, method, path, fields=(), body=b"", timeout_s=1.0):
    """One request on a channel of its own. Returns status, fields, body and whether the body is whole; status 0 if there
    was no answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields]
            if not any(k == "Host" for k, _ in fields):
                lines.append(f"Host: {address}")
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            start, got = await read_head(reader)
            data, whole = await read_body(reader, got)
            return int(start.split()[1]), got, data, whole
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b"", False
    finally:
        if writer is not None:
            writer.close()


class Proxy:
    """Passes the channels of processes to one state process on. A channel of a process whose name is in CUT is silent in
    both directions while it is there: nothing is passed on, nothing is reset."""
    cut = set()
    names = ()

    def __init__(self, front, back, port):
        self.front, self.back, self.port = front, back, port

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.front, self.port)

    async def pump(self, reader, writer, who, learns):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if learns and not who:
                    # The first record of the dialling side holds its name.
                    who.extend(n for n in self.names if n.encode() in data)
                while who and who[0] in self.cut:
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()

    async def serve(self, reader, writer):
        try:
            there, to = await asyncio.open_connection(self.back, self.port)
        except OSError:
            writer.close()
            return
        who = []
        await asyncio.gather(self.pump(reader, to, who, True), self.pump(there, writer, who, False))


class Server:
    """A server of SERVICE: an application with slots. It runs a request when it begins to work on it, and tells RAN of
    it."""

    def __init__(self, cluster, name, service, zone, work_s=0.015):
        self.cluster, self.name, self.service, self.zone, self.work_s = cluster, name, service, zone, work_s
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.slots, self.running, self.beat_at, self.ran = 6, 0, None, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self.beat_on())
        return self

    async def beat_on(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_MS / 1000)

    async def beat(self):
        self.sequence += 1
        body = json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                           "slots": self.slots, "state": self.state, "warmup-left-ms": 0, "sequence": self.sequence,
                           "born": self.born}).encode()
        first = [self.beat_at] if self.beat_at else []
        for control in first + self.cluster.controls_near(self.zone):
            status, _, data, _ = await call(control, "POST", "/v1/Instances.Heartbeat/" + self.name,
                                            [("Content-Type", "application/json")], body)
            if 200 <= status < 300:
                self.beat_at = json.loads(data or b"{}").get("heartbeat-addr", self.beat_at)
                return True
            if control == self.beat_at:
                self.beat_at = None
        return False

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        writer.close()

    async def serve_one(self, reader, writer):
        start, fields = await read_head(reader)
        body, whole = await read_body(reader, fields)
        if not whole:
            return False
        method, path, _ = start.split(" ")
        if path == "/v1/report":
            text = json.dumps({"phase": "both", "models": [], "busy": False, "sequence": 0, "queued": 0,
                               "active": self.running, "born": self.born}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
            return True
        attempt = fields.get("x-jaycove-attempt-id", "")
        head = (f"X-Jaycove-Attempt-Id: {attempt}\r\nX-Jaycove-Instance-Id: {self.name}\r\n"
                f"X-Jaycove-Server-Load: {self.running},0,{self.slots}\r\n")
        if fields.get("x-jaycove-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected\r\n{head}X-Jaycove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        if path == "/healthz":
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r\n".encode())
            return True
        if self.running >= self.slots + 24:
            writer.write(f"HTTP/1.1 503 Full\r\n{head}X-Jaycove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.ran.append((time.monotonic(), attempt, method, path, body))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        text = f"{self.name} {attempt}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{head}X-Jaycove-Server-Stamp: {self.name}.{attempt}\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        return True


class Cluster:
    """ZONES: a list of (zone, region, number of edge machines), each with one core machine."""

    def __init__(self, zones, report=print):
        self.zones, self.report, self.dir = zones, report, tempfile.mkdtemp(prefix="review-")
        self.processes, self.settings = {}, {}
        base = random.randrange(20, 200)
        self.state_ip = {z: f"127.{base}.1.{i + 1}" for i, (z, _, _) in enumerate(zones)}
        self.back_ip = {z: f"127.{base}.2.{i + 1}" for i, (z, _, _) in enumerate(zones)}
        self.edges = [(f"edge-{z}-{n + 1}", z, r, f"127.{base}.{10 + i}.{n + 1}")
                      for i, (z, r, count) in enumerate(zones) for n in range(count)]
        ips = list(self.state_ip.values()) + list(self.back_ip.values()) + [e[3] for e in self.edges]
        self.rpc, self.control, self.directory, self.front, self.ready = (free_port(ips) for _ in range(5))
        self.operators = free_port(ips)
        self.region_of = {z: r for z, r, _ in zones}
        self.proxies = []

    def controls_near(self, zone):
        own = [z for z in self.state_ip if z == zone]
        rest = [z for z in self.state_ip if z != zone]
        return [f"{self.state_ip[z]}:{self.control}" for z in own + random.sample(rest, len(rest))]

    def state_settings(self, zone, first):
        ip = self.state_ip[zone]
        return {"routing": "hosts", "group": "jaycove", "name": ip, "region": self.region_of[zone],
                "availability_zone": zone, "zones": [{"name": z, "region": r} for z, r, _ in self.zones],
                "rpc": f"{self.back_ip[zone]}:{self.rpc}", "operators": f"{ip}:{self.control}",
                "directory": f"{ip}:{self.directory}", "group_key": GROUP_KEY, "operator_token": "",
                "data_folder": os.path.join(self.dir, "data-" + zone), "state_seeds": self.seeds(), "first_start": first,
                "losses": 1, "report_ms": BEAT_MS, "contact_ms": 6000, "snapshot_entries": 64}

    def seeds(self):
        return [f"{ip}:{self.control}" for ip in self.state_ip.values()][:3]

    def edge_settings(self, edge):
        name, zone, region, ip = edge
        return {"routing": "hosts", "group": "jaycove", "name": name, "region": region, "availability_zone": zone,
                "zones": [{"name": z, "region": r} for z, r, _ in self.zones], "callers": f"{ip}:{self.front}",
                "ready": f"{ip}:{self.ready}", "operators": f"{ip}:{self.operators}", "rpc": f"{ip}:{self.rpc}",
                "group_key": GROUP_KEY, "operator_token": "", "state_peers": [], "state_seeds": self.seeds(),
                "grace_ms": 8000, "report_ms": BEAT_MS, "retry_ratio": 0.2, "cold_ratio": 1.5, "cold_slack": 3}

    def start_process(self, name, program, settings):
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as f:
            json.dump(settings, f)
        out = open(os.path.join(self.dir, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen([os.path.join(BUILD, program), "--settings", path], stdout=out, stderr=out,
                                                cwd=ROOT, env={**os.environ, "JAYCOVE_CONFIG": path})

    async def start(self):
        Proxy.names = [e[0] for e in self.edges] + list(self.state_ip.values())
        for zone in self.state_ip:
            os.makedirs(os.path.join(self.dir, "data-" + zone), exist_ok=True)
            proxy = Proxy(self.state_ip[zone], self.back_ip[zone], self.rpc)
            await proxy.start()
            self.proxies.append(proxy)
            self.start_process("core-" + zone, "jaycove-state", self.state_settings(zone, True))
        for edge in self.edges:
            self.start_process(edge[0], "jaycove-entry", self.edge_settings(edge))

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    async def order(self, path, body=b"", limit_s=20, controls=None):
        """Sends an operator's order, to another process each time, until it is acknowledged. Returns when."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            control = random.choice(controls or [f"{ip}:{self.control}" for ip in self.state_ip.values()])
            status, _, _, _ = await call(control, "POST", path, [("Content-Type", "application/json")], body)
            if 200 <= status < 300:
                return time.monotonic()
            if status in (400, 409, 412, 413, 422):
                raise RuntimeError(f"{path} was refused with {status}")
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{path} was not acknowledged")

    async def ready_all(self, limit_s=30):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            got = [await call(f"{e[3]}:{self.ready}", "GET", "/v1/readyz") for e in self.edges]
            if all(g[0] == 200 for g in got):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("not all edge machines are ready")

    async def resolve(self, zone):
        """The addresses that a client in ZONE is told."""
        for z in [zone] + [z for z in self.state_ip if z != zone]:
            status, _, data, _ = await call(f"{self.state_ip[z]}:{self.directory}", "GET",
                                            f"/v1/resolve?name={HOST}&region={self.region_of[zone]}&zone={zone}")
            if status == 200:
                return json.loads(data)["addresses"]
        return []

    def edge_at(self, address):
        return next(e[0] for e in self.edges if address == f"{e[3]}:{self.front}")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.dir, ignore_errors=True)


def route(name, kind, service, prefix, **more):
    return {"name": name, "host": HOST, "path-prefix": prefix, "route-kind": kind, "timeout-ms": 2000, "slo-ms": 600,
            "priority": 2, "service": service, "max-attempts": 1 if kind == "unsafe" else 2, "sticky": False,
            "resumable": False, "home-regions": []} | more


def desired_state(version, routes, services):
    return json.dumps({"version": version, "routes": routes,
                       "services": [{"name": s, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": False,
                                     "warmup-s": 0.0, "warmup-per-s": 0.0} for s in services],
                       "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                                  "idle-timeout-ms": 15000}}).encode()
