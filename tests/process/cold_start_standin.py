"""Entry instances start at many moments around the readmission of a zone whose endpoint has just become cold. All
instances together must keep to the rate allowed for it.
Usage: cold_start_standin.py DIR BUILD"""
import asyncio
import os
import subprocess
import sys
import time

import hosts_standin
from hosts_standin import ADDRESSES, ROUTES, Endpoint, configuration, in_force, kill_now, order, request, use

REPORT_S, COLD_S, PER_S = 1.2, 3.0, 2.4
ALLOWED = 1.5 * PER_S + 3
# The first instance stays; the others start again at these moments after the order, of each round.
STARTS_S = [[-0.9 + 0.2 * i + 0.1 * odd for i in range(10)] for odd in range(2)]
REQUEST_GAP_S, WORK_S = 0.05, 0.05
STARTED = []


async def one(entry):
    try:
        await request(entry, "GET", "/read/x")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass


async def callers(entry, ends):
    """Sends requests at a steady rate, so that several are in progress at a time."""
    tasks = set()
    while not ends.is_set():
        task = asyncio.create_task(one(entry))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_GAP_S)
    await asyncio.gather(*tasks)


async def start_at(moment, name):
    await asyncio.sleep(max(0, moment - time.monotonic()))
    command = [os.path.join(sys.argv[2], "jaycove-entry"), "--settings", os.path.join(sys.argv[1], name + ".json")]
    with open(os.path.join(sys.argv[1], name + ".out"), "ab") as log:
        process = subprocess.Popen(command, stdout=log, stderr=log)
    STARTED.append(process)
    with open(os.path.join(sys.argv[1], name + ".pid"), "w") as pid:
        pid.write(str(process.pid))


async def reported(endpoint):
    sequence = endpoint.sequence
    while endpoint.sequence == sequence:
        await asyncio.sleep(0.005)


async def play(endpoint, starts):
    """Returns the most requests that the cold endpoint got in a second."""
    names = ["e%d" % (i + 2) for i in range(len(starts))]
    await order("/v1/Evacuation.Begin/z2")
    await asyncio.sleep(2)
    await asyncio.gather(*(kill_now(name) for name in names))
    for process in STARTED:
        process.wait()
    await reported(endpoint)
    readmitted = time.monotonic() + REPORT_S + 0.02
    started = [asyncio.create_task(start_at(readmitted + s, name)) for s, name in zip(starts, names)]
    await reported(endpoint)
    # Its reports are warm until the next one.
    cold_from = time.monotonic()
    endpoint.cold_until = cold_from + COLD_S
    await order("/v1/Evacuation.Finish/z2")
    await asyncio.gather(*started)
    await asyncio.sleep(max(0, cold_from + COLD_S + 0.5 - time.monotonic()))
    times = [t for _, t in endpoint.arrived if cold_from <= t < cold_from + COLD_S]
    most = max((sum(1 for u in times if t <= u < t + 1) for t in times), default=0)
    print("%d requests while cold, at most %d in a second" % (len(times), most), flush=True)
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    return most


async def main():
    hosts_standin.HEARTBEAT_S = REPORT_S
    Endpoint.work_s = WORK_S
    endpoints = [await Endpoint("plain-%d" % i, "plain", zone).start() for i, zone in enumerate(["z1", "z2"])]
    await order("/v1/Config.Replace", configuration(3, ROUTES, COLD_S, PER_S))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    ends = asyncio.Event()
    tasks = [asyncio.create_task(callers(entry, ends)) for entry in ADDRESSES["entries"]]
    await asyncio.sleep(COLD_S + 1)
    worst = [await play(endpoints[1], starts) for starts in STARTS_S]
    ends.set()
    await asyncio.gather(*tasks)
    assert max(worst) <= ALLOWED, worst
    assert len(endpoints[1].arrived) > 100, "the endpoint got too few requests to tell"


if __name__ == "__main__":
    use(sys.argv[1])
    try:
        asyncio.run(main())
    finally:
        for process in STARTED:
            process.kill()
            process.wait()
