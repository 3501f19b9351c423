"""Services of which some can't be reached by an entry instance while others can.
Usage: reach_services_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import sys

from hosts_standin import ADDRESSES, Endpoint, configuration, in_force, order, request, route, use

REQUESTS = 40


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


use(sys.argv[2])
asyncio.run({"refused": refused}[sys.argv[1]]())
