"""Real jaycove processes on loopback, each with an IP number of its own, that
are harmed from outside: signals, disks that take nothing, and relays of
connections that hold, slow, cut and reset what passes."""
import asyncio
import json
import os
import resource
import signal
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../scripts"))
import port  # noqa: E402

GROUP_KEY = "%064d" % 7
ZONES = ["z1", "z2", "z3"]
RESTART_S = 0.5
GRACE_MS = 8000


def hold_stops():
    """No program can handle a signal that comes before its first instruction: the daemon inherits them held back."""
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM, signal.SIGHUP])


class Process:
    """A daemon that is started again whenever it ends, as its users do."""

    def __init__(self, fleet, name, program, settings):
        self.fleet, self.name, self.program = fleet, name, program
        self.file = os.path.join(fleet.dir, name + ".json")
        json.dump(settings, open(self.file, "w"))
        self.log = open(os.path.join(fleet.dir, name + ".log"), "ab")
        self.process, self.paused, self.stopping, self.exits = None, False, False, []

    def start(self):
        self.process = subprocess.Popen([self.program, "--settings", self.file], stdout=self.log, stderr=self.log,
                                        preexec_fn=hold_stops)
        self.paused = self.stopping = False

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def pause(self, on):
        self.paused = on
        self.send(signal.SIGSTOP if on else signal.SIGCONT)

    def fill_disk(self, full):
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE,
                         (0 if full else resource.RLIM_INFINITY, resource.RLIM_INFINITY))

    async def watch(self):
        while True:
            code = self.process.poll()
            if code is not None:
                self.exits.append((code, self.stopping))
                await asyncio.sleep(RESTART_S)
                self.start()
            await asyncio.sleep(0.05)

    def end(self):
        if self.process.poll() is None:
            self.send(signal.SIGKILL)
        self.process.wait()


class Relay:
    """Passes connections on to an address. Harm: "hold" passes nothing, "hold_back" nothing from the
    far side, "slow" each piece late, "refuse" takes no connection."""

    def __init__(self, target):
        self.target, self.harm, self.writers = target, "", set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def pump(self, reader, writer, back):
        try:
            while data := await reader.read(65536):
                while self.harm == "hold" or (back and self.harm == "hold_back"):
                    await asyncio.sleep(0.02)
                if self.harm == "slow":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.harm == "refuse":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target.rsplit(":", 1))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        try:
            await asyncio.gather(self.pump(reader, far_writer, False), self.pump(far_reader, writer, True))
        except asyncio.CancelledError:
            pass
        self.writers -= pair
        for one in pair:
            one.close()


class Fleet:
    """Three state instances and three entry instances, an availability zone each, at 127.0.NET.x."""

    def __init__(self, build, directory, net):
        self.build, self.dir, self.net = build, directory, net
        self.states, self.entries = [], []

    def start(self):
        rpc, control, directory = port.take(), port.take(), port.take()
        ips = [f"127.0.{self.net}.{i}" for i in (1, 2, 3)]
        seeds = [f"{ip}:{control}" for ip in ips]
        for i, ip in enumerate(ips):
            folder = os.path.join(self.dir, f"s{i}")
            os.makedirs(folder, exist_ok=True)
            self.states.append(Process(self, f"s{i}", os.path.join(self.build, "jaycove-state"), {
                "routing": "hosts", "group": "g", "name": ip, "region": "r1", "availability_zone": ZONES[i],
                "rpc": f"{ip}:{rpc}", "operators": f"{ip}:{control}", "directory": f"{ip}:{directory}",
                "group_key": GROUP_KEY, "operator_token": "", "data_folder": folder, "state_seeds": seeds,
                "first_start": True, "report_ms": 200, "snapshot_entries": 16}))
        callers, ready = [], []
        for i in range(3):
            ip = f"127.0.{self.net}.1{i}"
            callers.append(f"{ip}:{port.take()}")
            ready.append(f"{ip}:{port.take()}")
            self.entries.append(Process(self, f"e{i}", os.path.join(self.build, "jaycove-entry"), {
                "routing": "hosts", "group": "g", "name": f"e{i}", "region": "r1", "availability_zone": ZONES[i],
                "zones": [{"name": z, "region": "r1"} for z in ZONES], "callers": callers[i], "ready": ready[i],
                "operators": f"{ip}:{port.take()}", "rpc": f"{ip}:{rpc}", "handover": f"{ip}:{port.take()}",
                "group_key": GROUP_KEY, "operator_token": "", "state_peers": [], "state_seeds": seeds,
                "grace_ms": GRACE_MS, "report_ms": 200}))
        for process in self.states + self.entries:
            process.start()
        json.dump({"control": seeds, "directory": [f"{ip}:{directory}" for ip in ips], "entries": callers,
                   "ready": ready}, open(os.path.join(self.dir, "addresses.json"), "w"))

    def end(self):
        for process in self.states + self.entries:
            process.end()
