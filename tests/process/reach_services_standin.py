"""Services of which some can't be reached by an entry instance while others can.
Usage: reach_services_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import glob
import re
import sys
import time

from hosts_standin import ADDRESSES, Endpoint, configuration, in_force, order, request, route, until, use
from reach_standin import Hanging, attempts, directory, unreached, until_unreached

REQUESTS = 40
COLD_ENDPOINTS = 12
COLD_S = 60
PARTLY_S = 8
# A request without an attempt that hangs takes less.
SLOW_S = 0.3


async def refused():
    """The endpoint of one service of another region refuses connections, that of the other service answers."""
    down = await Endpoint("plain-0", "plain", "z2").start()
    await Endpoint("engine-0", "engine", "z2").start()
    await order("/v1/Config.Replace",
                configuration(3, [route("read", "safe", "plain"), route("other", "safe", "engine")]))
    entry = ADDRESSES["entries"][0]
    await in_force([entry], "/read/x", 200)
    await in_force([entry], "/other/x", 200)
    down.server.close()
    for writer in down.writers:
        writer.transport.abort()
    statuses = []
    for _ in range(REQUESTS):
        failed = await request(entry, "GET", "/read/x")
        assert failed.status >= 500, failed.status
        statuses.append((await request(entry, "GET", "/other/x")).status)
        await asyncio.sleep(0.02)
    print("served %d of %d of the other service" % (statuses.count(200), len(statuses)), flush=True)
    assert statuses.count(200) == len(statuses), statuses


def granted():
    """The names of the cold endpoints that the state instances have granted, with the instance of each."""
    text = "".join(open(path).read() for path in glob.glob(sys.argv[2] + "/s*.out"))
    return dict(re.findall(r"event=cold endpoint=(cold-\d+) incarnation=\d+ instance=(\S+) outcome=granted", text))


async def cold():
    """Cold endpoints join while one of two instances of the region has lost its links to the endpoints."""
    near = [await Hanging(f"plain-{i}", "plain", "z1").start() for i in range(2)]
    await order("/v1/Config.Replace",
                configuration(3, [route("read", "safe", "plain"), route("write", "unsafe", "plain")], COLD_S, 2))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    for endpoint in near:
        endpoint.hang()
    await until_unreached(0, 1)
    for i in range(COLD_ENDPOINTS):
        endpoint = Hanging(f"cold-{i}", "plain", "z1", cold_s=COLD_S)
        await endpoint.start()
        endpoint.hang()

    async def all_granted():
        return len(granted()) == COLD_ENDPOINTS
    await until("grants of all cold endpoints", all_granted)
    print(granted(), flush=True)
    assert await unreached(0) == 1
    assert set(granted().values()) == {"e2"}, granted()

async def partly():
    """Two of three endpoints of the only instance are down and hang, the third one answers."""
    down = [await Hanging(f"plain-{i}", "plain", "z1").start() for i in range(2)]
    await Endpoint("plain-2", "plain", "z1").start()
    await order("/v1/Config.Replace", configuration(3, [route("read", "safe", "plain")]))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    for endpoint in down:
        endpoint.hang()
        for writer in endpoint.writers:
            writer.transport.abort()
    statuses, slow, end = [], 0, time.monotonic() + PARTLY_S
    while time.monotonic() < end:
        begun = time.monotonic()
        statuses.append((await request(ADDRESSES["entries"][0], "GET", "/read/x")).status)
        slow += time.monotonic() - begun > SLOW_S
        await asyncio.sleep(0.1)
    print("served %d of %d, %d slow, %d attempts at endpoints out of reach"
          % (statuses.count(200), len(statuses), slow, attempts(0, "plain-[01]")), flush=True)
    assert statuses.count(200) == len(statuses), statuses


async def left():
    """The endpoints of a service leave while one instance has lost its links to them."""
    gone = [await Hanging(f"plain-{i}", "plain", "z1").start() for i in range(2)]
    await Endpoint("engine-0", "engine", "z1").start()
    await order("/v1/Config.Replace",
                configuration(3, [route("read", "safe", "plain"), route("other", "safe", "engine")]))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    await in_force(ADDRESSES["entries"], "/other/x", 200)
    for endpoint in gone:
        endpoint.hang()
    await until_unreached(0, 1)
    for endpoint in gone:
        endpoint.task.cancel()
        await order("/v1/Instances.Deregister/" + endpoint.name)

    async def names_both():
        text = await directory()
        return all(address in text for address in ADDRESSES["entries"])
    await until("the directory to name both instances", names_both)
    assert await unreached(0) == 0


use(sys.argv[2])
asyncio.run({"refused": refused, "cold": cold, "partly": partly, "left": left}[sys.argv[1]]())
