"""Case 8: an entry process starts again while a zone is taken back whose servers have just become cold.  See
claim.txt."""
import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from platform_standin import Daemon, GROUP_KEY, Rig, TROUBLE, free_ports  # noqa: E402
from traffic import Server, ask  # noqa: E402

ZONES = [("dar-a", "dar"), ("dar-b", "dar")]
HOST = "ficu95.example"
# Of the services and bounds of the site.
WARMUP_S, WARMUP_PER_S, WARMUP_EXCESS, WARMUP_SLACK, BEAT_S = 3.0, 2.4, 1.5, 3, 1.2
ALLOWED = WARMUP_PER_S * WARMUP_EXCESS + WARMUP_SLACK
ROUNDS = 2
REQUESTS_PER_S = 60


def configuration():
    return json.dumps({
        "version": 7,
        "routes": [{"name": "r-hh2b9wu", "host": HOST, "path-prefix": "/pufi791/", "route-kind": "safe",
                    "timeout-ms": 3000, "slo-ms": 600, "priority": 1, "service": "huvo11a", "max-attempts": 2,
                    "sticky": False, "resumable": False, "home-regions": []}],
        "services": [{"name": "huvo11a", "health-path": "/healthz", "max-conns": 480, "protocol": "h1", "tls": False,
                      "warmup-s": WARMUP_S, "warmup-per-s": WARMUP_PER_S}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000}}).encode()


class Case:
    def __init__(self, rig):
        self.rig, self.record = rig, rig.record
        self.answers, self.sending = {}, True

    def place(self):
        ips = ["127.0.43.%d" % i for i in (1, 2, 3)]
        rpc, control, directory, callers, ready, operators, handover = free_ports(
            7, ips + ["127.0.43.11", "127.0.43.12"])
        self.controls = ["%s:%d" % (ip, control) for ip in ips]
        zones = [{"name": z, "region": r} for z, r in ZONES]
        for i, ip in enumerate(ips):
            zone, region = ZONES[i % 2]
            data = os.path.join(self.rig.folder, "data-" + ip)
            os.mkdir(data)
            self.rig.daemons.append(Daemon(self.rig, "state-" + ip, "jaycove-state", {
                "routing": "hosts", "group": "jaycove", "name": ip, "region": region, "availability_zone": zone,
                "zones": zones, "rpc": "%s:%d" % (ip, rpc), "operators": "%s:%d" % (ip, control),
                "directory": "%s:%d" % (ip, directory), "group_key": GROUP_KEY, "operator_token": "",
                "data_folder": data, "state_seeds": self.controls, "first_start": True, "losses": 1,
                "report_ms": int(BEAT_S * 1000), "contact_ms": 6000, "snapshot_entries": 64}, 256))
        self.entries = []
        for i in range(2):
            ip = "127.0.43.1%d" % (i + 1)
            zone, region = ZONES[i]
            daemon = Daemon(self.rig, "entry-%d" % (i + 1), "jaycove-entry", {
                "routing": "hosts", "group": "jaycove", "name": "entry-%d" % (i + 1), "region": region,
                "availability_zone": zone, "zones": zones, "callers": "%s:%d" % (ip, callers),
                "ready": "%s:%d" % (ip, ready), "operators": "%s:%d" % (ip, operators),
                "rpc": "%s:%d" % (ip, rpc), "handover": "%s:%d" % (ip, handover), "group_key": GROUP_KEY,
                "operator_token": "", "state_peers": [], "state_seeds": self.controls, "grace_ms": 8000,
                "report_ms": int(BEAT_S * 1000), "retry_ratio": 0.2, "cold_ratio": WARMUP_EXCESS,
                "cold_slack": WARMUP_SLACK}, 160)
            self.rig.daemons.append(daemon)
            self.entries.append((daemon, "%s:%d" % (ip, callers)))

    async def order(self, path, body=b""):
        for attempt in range(100):
            control = self.controls[attempt % len(self.controls)]
            status, _, _, _ = await ask(control, "POST", path, body=body)
            if status == 200:
                self.record("operator: %s acknowledged by %s" % (path, control))
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("no acknowledgement of " + path)

    async def one(self, address):
        attempt = "%016x" % random.getrandbits(64)
        status, _, _, _ = await ask(address, "GET", "/pufi791/x",
                                    [("Host", HOST), ("X-Jaycove-Attempt-Id", attempt),
                                     ("X-Jaycove-Deadline-Ms", "3000")], timeout=3.0)
        self.answers[status] = self.answers.get(status, 0) + 1

    async def clients(self):
        tasks = set()
        while self.sending:
            for _, address in self.entries:
                task = asyncio.create_task(self.one(address))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(len(self.entries) / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def play(self):
        self.place()
        for daemon in self.rig.daemons:
            daemon.start()
        self.rig.watch()
        await asyncio.sleep(1.0)
        servers = []
        for i, (zone, _) in enumerate(ZONES):
            servers.append(await Server(self.record, "i-%d" % (i + 1), "huvo11a", zone, self.controls,
                                        "127.0.43.2%d" % (i + 1), work_s=0.05, beat_s=BEAT_S).start())
        await self.order("/v1/Config.Replace", configuration())
        await asyncio.sleep(6.0)
        traffic = asyncio.create_task(self.clients())
        await asyncio.sleep(4.0)
        server, zone = servers[0], ZONES[0][0]
        worst = 0
        for number in range(ROUNDS):
            await self.order("/v1/Evacuation.Begin/" + zone)
            await asyncio.sleep(4.0)
            # The process is killed 0.4 s before the server checks in again, and is started 0.5 s later.
            await self.check_in(server)
            await asyncio.sleep(BEAT_S - 0.4)
            if TROUBLE:
                daemon, _ = self.entries[0]
                self.record("%s is killed" % daemon.name)
                daemon.process.kill()
            await self.check_in(server)
            # The server becomes cold right after a check-in, tells so in the next one, and the order is taken back.
            await asyncio.sleep(0.02)
            cold_from = time.monotonic()
            server.warm_at = cold_from + WARMUP_S
            self.record("server %s is cold from now on for %.1f s" % (server.name, WARMUP_S))
            await self.order("/v1/Evacuation.Finish/" + zone)
            await asyncio.sleep(WARMUP_S + 5.0)
            times = [t for t, *_ in server.ran if cold_from <= t < cold_from + WARMUP_S]
            most = max([sum(1 for u in times if t <= u < t + 1.0) for t in times] or [0])
            self.record("round %d: the cold server got %d requests, at most %d in one second; allowed are %.2f"
                        % (number + 1, len(times), most, ALLOWED))
            worst = max(worst, most)
        self.sending = False
        await traffic
        self.record("answers by status: %s; %s" % (self.answers, ", ".join("%s ran %d" % (s.name, len(s.ran))
                                                                          for s in servers)))
        if not all(len(s.ran) > 100 for s in servers):
            self.record("too few requests ran: the case can't run")
            return 2
        if worst > ALLOWED:
            self.record("BROKEN: %d requests in one second at a cold server, allowed are %.2f" % (worst, ALLOWED))
            return 1
        self.record("held")
        return 0

    async def check_in(self, server):
        """Wait until SERVER checks in."""
        sequence = server.sequence
        while server.sequence == sequence:
            await asyncio.sleep(0.005)


def main():
    rig = Rig(HERE)
    try:
        return asyncio.run(Case(rig).play())
    finally:
        rig.end()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as error:  # a fault of the case, not of the rule
        print("the case can't run: %r" % error, file=sys.stderr)
        sys.exit(2)
