"""Instances that miss what others were told meanwhile, and what they do once they run again.
Usage: missed_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time

import hosts_standin
from hosts_standin import ADDRESSES, ROUTES, Endpoint, ask, configuration, in_force, kill_now, order, pid, request, \
    until, use

# Longer than a connection may be silent, so that the others drop those of a suspended instance.
SUSPENDED_S = 4.5
# From the acknowledgement of a leave, or of an evacuation, to the last request that may arrive.
DRAIN_S, EVACUATE_S = 4.0, 5.0
# Time for an instance that runs again to be told what it missed.
CONTACT_S = 6.0
WATCHED_S = 8.0
# The operator moves on to another state instance after this time without an answer.
ANSWER_S = 1.0


class Suspended:
    """An instance that doesn't run inside this context, for SUSPENDED_S at least."""

    def __init__(self, name):
        self.name = name

    async def __aenter__(self):
        os.kill(pid(self.name), signal.SIGSTOP)
        self.until = time.monotonic() + SUSPENDED_S
        await asyncio.sleep(SUSPENDED_S / 2)

    async def __aexit__(self, *_):
        await asyncio.sleep(max(0, self.until - time.monotonic()))
        os.kill(pid(self.name), signal.SIGCONT)


async def callers(entries, seconds):
    """Sends requests to ENTRIES, 20 a second."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            await request(random.choice(entries), "GET", "/read/x")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)


async def start_two():
    """Starts two endpoints in two zones and waits until each entry instance knows both."""
    endpoints = [await Endpoint("first", "plain", "z1").start(), await Endpoint("second", "plain", "z2").start()]
    await order("/v1/Config.Replace", configuration(3, ROUTES))
    await in_force(ADDRESSES["entries"], "/read/x", 200)

    async def both_known():
        for operators in ADDRESSES["operators"]:
            text = (await ask(operators, "GET", "/metrics")).body.decode()
            if "\njaycove_endpoints{} 2\n" not in text:
                return False
        return True
    await until("both endpoints to be known", both_known)
    return endpoints


async def deregister(endpoint):
    """Lets ENDPOINT deregister, though it goes on answering. Returns the time of the ack."""
    endpoint.sequence += 1
    body = json.dumps({"service": endpoint.service, "address": endpoint.address, "zone": endpoint.zone,
                       "version": endpoint.version, "slots": 8, "state": "draining", "warmup-left-ms": 0,
                       "sequence": endpoint.sequence, "born": endpoint.born}).encode()
    await order("/v1/Instances.Deregister/" + endpoint.name, body)
    return time.monotonic()


async def restart_states():
    """Kills all state instances at once and starts them again. Returns the processes."""
    names = ("s1", "s2", "s3")
    commands = [open(f"/proc/{pid(n)}/cmdline").read().rstrip("\0").split("\0") for n in names]
    for name in names:
        await kill_now(name)
    return [subprocess.Popen(command, stdout=open(f"{hosts_standin.DIR}/{name}-again.out", "w"),
                             stderr=subprocess.STDOUT) for name, command in zip(names, commands)]


async def leave(with_restart=False):
    """An endpoint deregisters while an entry instance is suspended, and goes on answering. That instance must learn of
    it, from state instances that all started since, too."""
    leaving, _ = await start_two()
    started = []
    # The last report that the suspended instance hears is the last one of all.
    leaving.task.cancel()
    await asyncio.sleep(1)
    try:
        async with Suspended("e1"):
            acked = await deregister(leaving)
            if with_restart:
                started = await restart_states()
        resumed = time.monotonic()
        await callers(ADDRESSES["entries"][:1], CONTACT_S + WATCHED_S)
        late = [t for _, t in leaving.arrived if t > max(acked + DRAIN_S, resumed + CONTACT_S)]
        print("%d requests after the leave was acknowledged" % len(late), flush=True)
        assert not late, len(late)
    finally:
        for process in started:
            process.terminate()
            process.wait()


async def leave_restart():
    """As leave (), and all state instances are killed and start again after the acknowledgement."""
    await leave(True)


async def evacuation():
    """A zone is evacuated and taken back while a state instance is suspended, which is asked to evacuate it again just
    before it runs. What is acknowledged is in force."""
    first, _ = await start_two()
    suspended, rest = ADDRESSES["control"][2], ADDRESSES["control"][:2]
    await order("/v1/Evacuation.Begin/z1")
    # The replica that is to lag has the first order.
    await asyncio.sleep(1)
    async with Suspended("s3"):
        await order("/v1/Evacuation.Finish/z1", controls=rest)
        await asyncio.sleep(SUSPENDED_S / 2 - 0.4)
        asked = asyncio.create_task(ask(suspended, "POST", "/v1/Evacuation.Begin/z1"))
        await asyncio.sleep(0.4)
    reply = await asked
    print("the instance that was suspended answers %d" % reply.status, flush=True)
    if reply.status != 200:
        await order("/v1/Evacuation.Begin/z1")
    acked = time.monotonic()
    await callers(ADDRESSES["entries"], EVACUATE_S + WATCHED_S)
    late = [t for _, t in first.arrived if t > acked + EVACUATE_S]
    print("%d requests after the evacuation was acknowledged" % len(late), flush=True)
    assert not late, len(late)


async def overtaken():
    """A readmission waits at a suspended state instance while the operator gives it up, has it acknowledged by another
    one and evacuates the zone again. The zone stays evacuated."""
    first, _ = await start_two()
    suspended, rest = ADDRESSES["control"][2], ADDRESSES["control"][:2]
    await order("/v1/Evacuation.Begin/z1")
    await asyncio.sleep(1)
    os.kill(pid("s3"), signal.SIGSTOP)
    given_up = asyncio.create_task(ask(suspended, "POST", "/v1/Evacuation.Finish/z1"))
    await asyncio.sleep(ANSWER_S + 0.1)
    await order("/v1/Evacuation.Finish/z1", controls=rest)
    await order("/v1/Evacuation.Begin/z1", controls=rest)
    acked = time.monotonic()
    # Shorter than a connection may be silent: the instance that runs again is still connected to the leader.
    os.kill(pid("s3"), signal.SIGCONT)
    try:
        print("the order that was given up: %d" % (await given_up).status, flush=True)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    await callers(ADDRESSES["entries"], EVACUATE_S + WATCHED_S)
    late = [t for _, t in first.arrived if t > acked + EVACUATE_S]
    print("%d requests after the evacuation was acknowledged" % len(late), flush=True)
    assert not late, len(late)


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run(globals()[sys.argv[1]]())
