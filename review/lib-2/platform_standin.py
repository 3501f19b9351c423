"""Stand-ins of the second review: the platform, which starts, watches, kills and restarts the project's programs,
and the operator.  They follow PROTOCOL.md and DEPLOY.md.  All addresses are loopback addresses."""
import http.client
import json
import os
import shutil
import signal
import sys
import socket
import subprocess
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
REPO = os.path.dirname(os.path.dirname(HERE))
GROUP_KEY = "6a6179636f76652d6f6e652d6e6574776f726b2d666f722d616c6c2d696e2d31"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MB = 1024 * 1024


def free_ports(count, ips):
    """Return COUNT port numbers that are free at each of the loopback addresses IPS."""
    held, ports = [], []
    while len(ports) < count:
        first = socket.socket()
        first.bind((ips[0], 0))
        port = first.getsockname()[1]
        held.append(first)
        try:
            for ip in ips[1:]:
                other = socket.socket()
                held.append(other)
                other.bind((ip, port))
        except OSError:
            continue
        ports.append(port)
    for s in held:
        s.close()
    return ports


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
            self.file.flush()


class Daemon:
    """One program on one machine.  The platform restarts it RESTART_S after it ended, and kills it if it uses more
    than MEMORY_MB."""

    def __init__(self, rig, name, program, settings, memory_mb, restart_s=0.5):
        self.rig, self.name, self.program, self.settings = rig, name, program, settings
        self.memory_mb, self.restart_s = memory_mb, restart_s
        self.process, self.starts, self.memory_kills, self.peak_mb = None, 0, 0, 0
        self.output = open(os.path.join(rig.folder, name + ".out"), "ab")

    def start(self):
        path = os.path.join(self.rig.folder, self.name + ".json")
        with open(path, "w") as f:
            json.dump(self.settings, f)
        command = [os.path.join(REPO, "target", self.program), "--settings", path]
        self.process = subprocess.Popen(command, stdout=self.output, stderr=self.output, cwd=REPO)
        self.starts += 1
        self.rig.record("platform starts %s, process %d" % (self.name, self.process.pid))

    def resident_mb(self):
        try:
            with open("/proc/%d/statm" % self.process.pid) as f:
                return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / MB
        except (OSError, ValueError, IndexError):
            return 0

    def kill(self, why):
        self.rig.record("platform kills %s: %s" % (self.name, why))
        try:
            self.process.send_signal(signal.SIGKILL)
        except OSError:
            pass
        self.process.wait()


class Rig:
    def __init__(self, folder):
        self.case = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.daemons, self.ended = [], False
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
        for program in ("jaycove-state", "jaycove-entry"):
            if not os.access(os.path.join(REPO, "target", program), os.X_OK):
                self.end()
                raise SystemExit(2)

    def watch(self):
        """Begin to enforce the limit of memory and to restart what ends."""
        for daemon in self.daemons:
            threading.Thread(target=self.watch_one, args=(daemon,), daemon=True).start()

    def watch_one(self, daemon):
        while not self.ended:
            used = daemon.resident_mb()
            daemon.peak_mb = max(daemon.peak_mb, used)
            if used > daemon.memory_mb:
                daemon.memory_kills += 1
                daemon.kill("it uses %d MB, more than %d MB" % (used, daemon.memory_mb))
            code = daemon.process.poll()
            if code is not None and not self.ended:
                self.record("%s has ended with %d" % (daemon.name, code))
                time.sleep(daemon.restart_s)
                if self.ended:
                    return
                if "first_start" in daemon.settings:
                    daemon.settings["first_start"] = False
                daemon.start()
            time.sleep(0.005)

    def end(self):
        """End all processes that were started here."""
        self.ended = True
        time.sleep(0.05)
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, timeout=2.0):
    """Return the status and the body of the answer, (None, reason) if there is none."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return None, repr(error).encode()
    finally:
        connection.close()
