"""Callers of workspaces with quotas at entry instances of two regions, and endpoints that count what they run.
Usage: quota_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import glob
import json
import os
import random
import signal
import subprocess
import sys
import time

from hosts_standin import ADDRESSES, Endpoint, ask, configuration, order, pid, request, route, until, use

WINDOW_S, EXCESS = 8, 0.1
# Time within which all entry instances have a new configuration.
APPLY_S = 4
ROUTES = [route("read", "safe", "plain"), route("write", "unsafe", "plain")]
COUNTS = (900, 300)
PLAIN_TOKENS = 200
# That of operators.
TOKEN = "operator"


class Workspace:
    """A workspace whose callers send OFFERED requests a second to the entry instances with the numbers in AT. SENT holds
    when each of its requests was sent, RAN when it ran, and what it counts for."""
    def __init__(self, name, unit, per_s, burst, offered, at, counts=None):
        self.name, self.unit, self.limits, self.offered, self.at = name, unit, [(0, per_s, burst)], offered, at
        self.counts, self.sent, self.ran, self.statuses, self.retry_after = counts, [], [], {}, []

    def text(self):
        _, per_s, burst = self.limits[-1]
        return {"name": self.name, "api-keys": ["key-of-" + self.name], "priority": 1, "unit": self.unit,
                "plain-tokens": PLAIN_TOKENS, "rate-per-s": per_s, "burst": burst, "home-regions": []}

    def units(self):
        if self.unit == "requests":
            return 1
        return sum(self.counts) if self.counts else PLAIN_TOKENS

    def headers(self):
        counts = [("X-Jaycove-Token-Count", "%d,%d" % self.counts)] if self.counts else []
        return [("Authorization", "Bearer key-of-" + self.name), *counts]

    async def send(self):
        entry = ADDRESSES["entries"][random.choice(self.at)]
        self.sent.append((time.monotonic(), self.units()))
        try:
            reply = await request(entry, "GET" if random.random() < 0.5 else "POST",
                                  random.choice(["/read/", "/write/"]) + self.name, headers=self.headers())
            self.statuses[reply.status] = self.statuses.get(reply.status, 0) + 1
            if reply.status == 429:
                self.retry_after.append(reply.headers.get("retry-after"))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.statuses["none"] = self.statuses.get("none", 0) + 1

    async def call(self, end):
        tasks = set()
        while time.monotonic() < end:
            task = asyncio.create_task(self.send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(self.offered))
        await asyncio.gather(*tasks)

    def bound(self, begin):
        """What may run in the window from BEGIN on: by a lower limit once all instances have it, else by the highest of
        the window."""
        in_force = [max((l for l in self.limits if l[0] + APPLY_S <= begin or l is self.limits[0]), key=lambda l: l[0])]
        in_force += [l for l in self.limits if in_force[0][0] < l[0] < begin + WINDOW_S]
        return max(per_s * WINDOW_S + burst for _, per_s, burst in in_force) * (1 + EXCESS)

    def allowed(self, begin, end):
        """What one bucket with the workspace's limit lets run, from BEGIN to END, of the requests that were sent: the
        limit, unless the machine gave the test no time to send as much."""
        limits, total, level, at = list(self.limits), 0, self.limits[0][2], self.sent[0][0]
        for t, n in self.sent:
            while len(limits) > 1 and limits[1][0] <= t:
                limits.pop(0)
            _, per_s, burst = limits[0]
            level, at = min(burst, level + per_s * (t - at)), t
            if level >= n:
                level -= n
                total += n if begin <= t < end else 0
        return total

    def used(self, begin, end):
        """The part that ran, from BEGIN to END, of what the limit allows."""
        per_s = max((l for l in self.limits if l[0] <= begin), key=lambda l: l[0])[1]
        allowed = min(self.allowed(begin, end), per_s * (end - begin))
        print("%s: allowed %.3f of the limit from %.0f s on" % (self.name, allowed / per_s / (end - begin),
                                                                begin - self.sent[0][0]), flush=True)
        return sum(n for t, n in self.ran if begin <= t < end) / allowed

    def check(self, begin, end):
        """Prints the sum of each window beside its bound, and fails if one is over it."""
        worst, rows, t = 0, [], begin
        while t + WINDOW_S <= end:
            total, bound = sum(n for at, n in self.ran if t <= at < t + WINDOW_S), self.bound(t)
            worst = max(worst, total / bound)
            rows.append("%d of %d" % (total, bound))
            t += 1
        print(f"{self.name} ({self.unit}): windows of {WINDOW_S} s, each a second later: " + ", ".join(rows))
        print(f"{self.name}: largest window {worst:.3f} of its bound, answers {self.statuses}", flush=True)
        assert worst <= 1, worst


class Counting(Endpoint):
    """An endpoint that tells the workspace of a request when it runs that."""
    workspaces = {}

    def fails_request(self, fields):
        workspace = Counting.workspaces.get(fields.get("x-jaycove-tenant"))
        if workspace:
            workspace.ran.append((time.monotonic(), workspace.units()))
        return False


def lines_of(pattern, text):
    return [line for path in glob.glob(os.path.join(sys.argv[2], pattern)) for line in open(path, errors="replace")
            if text in line]


def leader():
    """The name of the state instance that began to lead last."""
    began = []
    for name in ("s1", "s2", "s3"):
        roles = [line for line in open(os.path.join(sys.argv[2], name + ".out"), errors="replace")
                 if "event=role" in line]
        if roles and " role=leader " in roles[-1]:
            began.append((float(roles[-1].split("time=")[1].split()[0]), name))
    return max(began)[1]


async def put(version, workspaces):
    text = json.loads(configuration(version, ROUTES)) | {"tenants": [w.text() for w in workspaces]}
    await order("/v1/Config.Replace", json.dumps(text).encode())


async def versions_are(version):
    async def seen():
        for operators in ADDRESSES["operators"]:
            if f"jaycove_config_version{{}} {version}\n" not in (
                    await ask(operators, "GET", "/metrics", [("Authorization", "Bearer " + TOKEN)])).body.decode():
                return False
        return True
    await until(f"version {version} to be in force", seen)


def slots_of(entry, name):
    """How many slots of the workspace NAME the log of ENTRY told last."""
    rows = [line for line in open(os.path.join(sys.argv[2], entry + ".out"), errors="replace")
            if f"workspace={name} what=slots " in line]
    return int(rows[-1].split(" slots=")[1].split()[0]) if rows else 0


async def quota():
    """The sums over six instances in two regions stay within the bound, and nine tenths of a limit can be used, while
    the callers move to the other region, an instance is killed, another one suspended, the leader stopped, and limits
    lowered and raised."""
    spread = Workspace("spread", "requests", 60, 60, 120, range(6))
    moving = Workspace("moving", "tokens", 40000, 40000, 60, range(3), COUNTS)
    plain = Workspace("plain", "tokens", 6000, 6000, 45, range(6))
    all_workspaces = [spread, moving, plain]
    Counting.workspaces = {w.name: w for w in all_workspaces}
    for zone in ("z1", "z2"):
        for i in range(3):
            await Counting(f"plain-{zone}-{i}", "plain", zone).start()
    await put(3, all_workspaces)
    await versions_are(3)
    await asyncio.sleep(6)
    begin = time.monotonic()
    end = begin + 62
    calls = [asyncio.create_task(w.call(end)) for w in all_workspaces]

    await asyncio.sleep(12)
    moving.at = range(3, 6)
    moved = time.monotonic()
    await asyncio.sleep(8)
    owner = max(("e1", "e2", "e3"), key=lambda e: slots_of(e, "spread"))
    frozen = max(("e4", "e5", "e6"), key=lambda e: slots_of(e, "spread"))
    print(f"killed {owner}, which has {slots_of(owner, 'spread')} slots; suspended {frozen}, which has "
          f"{slots_of(frozen, 'spread')}", flush=True)
    os.kill(pid(owner), signal.SIGKILL)
    await asyncio.sleep(3)
    os.kill(pid(frozen), signal.SIGSTOP)
    await asyncio.sleep(5)
    os.kill(pid(frozen), signal.SIGCONT)
    await asyncio.sleep(2)
    stopped = leader()
    os.kill(pid(stopped), signal.SIGSTOP)
    await asyncio.sleep(5)
    os.kill(pid(stopped), signal.SIGCONT)
    await asyncio.sleep(2)
    spread.limits.append((time.monotonic(), 20, 20))
    plain.limits.append((time.monotonic(), 18000, 18000))
    plain.offered = 135
    await put(4, all_workspaces)
    changed = time.monotonic()
    await asyncio.sleep(10)
    shown = subprocess.run([os.path.join(os.environ["BUILD"], "jaycove-ctl"), "--token", TOKEN, "quota",
                            "spread",
                            *[o for i, o in enumerate(ADDRESSES["operators"]) if f"e{i + 1}" != owner]],
                           stdout=subprocess.PIPE, text=True).stdout
    await asyncio.gather(*calls)

    print(shown, end="")
    total = shown.splitlines()[-1].split()
    assert total[:2] == ["all", "limit=20/s"] and 15 <= int(total[2].removeprefix("slots=")) <= 20, total
    for workspace in all_workspaces:
        workspace.check(begin, end)
    steady = [(w.name, round(w.used(begin + 2, begin + 12), 3)) for w in all_workspaces]
    after_move = round(moving.used(moved + 2, moved + 8), 3)
    later = [(w.name, round(w.used(changed + 8, end), 3)) for w in all_workspaces]
    print(f"part of the limit used: {steady}, two seconds after the move {after_move}, after the change {later}")
    refused = lines_of("e*.out", "what=refused ")
    print("last refusal:", refused[-1].strip())
    assert all(" used_per_s=" in line for line in refused), refused[:5]
    used = [line for line in refused if " used_per_s=-" not in line]
    used += lines_of("e*.out", "what=refused_ask")
    for workspace in all_workspaces:
        assert any(f" workspace={workspace.name} " in line for line in used), (workspace.name, used[:5])
    assert min(part for _, part in steady) >= 0.9, steady
    assert after_move >= 0.9, after_move
    assert min(part for _, part in later) >= 0.8, later
    for workspace in all_workspaces:
        assert workspace.retry_after and all(workspace.retry_after), workspace.retry_after[:5]


async def restarted():
    """An instance that starts while no state instance answers, so that it knows no configuration, grants nothing.
    Requests that are within their quota get 503 once no endpoints are known, and those beyond that get 429."""
    all_workspaces = [Workspace(f"w{i}", "requests", 1, 5, 20, [0]) for i in range(8)]
    Counting.workspaces = {w.name: w for w in all_workspaces}
    await Counting("plain-z1", "plain", "z1").start()
    await put(3, all_workspaces)
    await versions_are(3)
    await asyncio.sleep(4)
    for name in ("s1", "s2", "s3"):
        os.kill(pid(name), signal.SIGSTOP)
    print("states stopped", flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    begin = time.monotonic()
    await asyncio.gather(*(w.call(begin + 5) for w in all_workspaces))
    for name in ("s1", "s2", "s3"):
        os.kill(pid(name), signal.SIGCONT)
    print("answers:", {w.name: w.statuses for w in all_workspaces}, flush=True)
    assert all(w.statuses.get(429, 0) > 0 for w in all_workspaces)
    assert all(w.statuses.get(200, 0) <= w.bound(begin) for w in all_workspaces)


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"quota": quota, "restarted": restarted}[sys.argv[1]]())
