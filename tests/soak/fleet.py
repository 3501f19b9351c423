"""Runs real jaycove processes on loopback, each with its own IP address, and
injects faults from outside: signals, full disks, and TCP relays that stall,
delay, refuse and reset connections."""
import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../scripts"))
import port  # noqa: E402

GROUP_KEY = "%064d" % 7
ZONES = ["z1", "z2", "z3"]
RESTART_DELAY_S = 0.5
# What all API keys of callers begin with.
KEY_MARK = "api-key-"
ENTRY_GRACE_MS = 8000


async def cancel_all(tasks):
    """Cancels TASKS repeatedly until they end: asyncio.wait_for may swallow a cancellation."""
    while tasks:
        for task in tasks:
            task.cancel()
        _, tasks = await asyncio.wait(tasks, timeout=1)


def block_stop_signals():
    """Blocks SIGTERM and SIGHUP in the child before exec. The daemon inherits the mask; otherwise a signal that arrives
    before the daemon has installed its handlers would kill it."""
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM, signal.SIGHUP])


class Process:
    """A daemon that is restarted whenever it exits, as a service manager does."""

    def __init__(self, fleet, name, program, settings):
        self.fleet, self.name, self.program = fleet, name, program
        self.settings_file = os.path.join(fleet.dir, name + ".json")
        json.dump(settings, open(self.settings_file, "w"))
        self.process, self.paused, self.stopping, self.exits = None, False, False, []
        # Times at which it was paused, resumed or ended.
        self.disturbed = []

    def start(self):
        with open(self.log_path(os.path.dirname(self.program)), "ab") as log:
            self.process = subprocess.Popen([self.program, "--settings", self.settings_file], stdout=log, stderr=log,
                                            preexec_fn=block_stop_signals)
        self.paused = self.stopping = False

    def log_path(self, folder):
        """The log of the programs from FOLDER, one for each build."""
        return os.path.join(self.fleet.dir, self.name + (".log" if folder == self.fleet.build else ".replaced.log"))

    def send_signal(self, signal_number):
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def set_paused(self, paused):
        self.paused = paused
        self.disturbed.append(time.monotonic())
        self.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)

    def set_disk_full(self, full):
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE,
                         (0 if full else resource.RLIM_INFINITY, resource.RLIM_INFINITY))

    async def restart_on_exit(self):
        while True:
            code = self.process.poll()
            if code is not None:
                self.exits.append((code, self.stopping))
                self.disturbed.append(time.monotonic())
                await asyncio.sleep(RESTART_DELAY_S)
                self.start()
            await asyncio.sleep(0.05)

    def kill(self):
        if self.process.poll() is None:
            self.send_signal(signal.SIGKILL)
        self.process.wait()


class Relay:
    """TCP relay to an address. Faults: "stall" forwards nothing, "stall_replies" forwards nothing from the
    server, "delay" delays each chunk, "refuse" resets new connections. LEAKS has the blocks to servers that have an API key."""
    leaks = []

    def __init__(self, target):
        self.target, self.fault, self.writers = target, "", set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def abort_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def forward(self, reader, writer, from_server):
        try:
            while data := await reader.read(65536):
                if not from_server and KEY_MARK.encode() in data:
                    Relay.leaks.append(data)
                while self.fault == "stall" or (from_server and self.fault == "stall_replies"):
                    await asyncio.sleep(0.02)
                if self.fault == "delay":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.fault == "refuse":
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.target.rsplit(":", 1))
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, server_writer}
        self.writers |= ends
        try:
            await asyncio.gather(self.forward(reader, server_writer, False), self.forward(server_reader, writer, True))
        except asyncio.CancelledError:
            pass
        self.writers -= ends
        for end in ends:
            end.close()


class Fleet:
    """Three state instances and three entry instances in three availability zones, at the IP addresses 127.0.NET.x."""

    def __init__(self, build, directory, net):
        self.build, self.dir, self.net = build, directory, net
        self.states, self.entries = [], []

    def start(self):
        rpc, control, directory = port.allocate(), port.allocate(), port.allocate()
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
            callers.append(f"{ip}:{port.allocate()}")
            ready.append(f"{ip}:{port.allocate()}")
            self.entries.append(Process(self, f"e{i}", os.path.join(self.build, "jaycove-entry"), {
                "routing": "hosts", "group": "g", "name": f"e{i}", "region": "r1", "availability_zone": ZONES[i],
                "zones": [{"name": z, "region": "r1"} for z in ZONES], "callers": callers[i], "ready": ready[i],
                "operators": f"{ip}:{port.allocate()}", "rpc": f"{ip}:{rpc}", "handover": f"{ip}:{port.allocate()}",
                "group_key": GROUP_KEY, "operator_token": "", "state_peers": [], "state_seeds": seeds,
                "grace_ms": ENTRY_GRACE_MS, "report_ms": 200}))
        for process in self.states + self.entries:
            process.start()
        json.dump({"control": seeds, "directory": [f"{ip}:{directory}" for ip in ips], "entries": callers,
                   "ready": ready}, open(os.path.join(self.dir, "addresses.json"), "w"))

    def kill_all(self):
        for process in self.states + self.entries:
            process.kill()
