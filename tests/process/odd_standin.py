"""Another writer's reports: odd ones, and ones under the names or with the addresses of live endpoints.
Usage: odd_standin.py SCRIPT DIR, where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import json
import sys
import time

from hosts_standin import (ADDRESSES, HEARTBEAT_S, ROUTES, Endpoint, ask, configuration, in_force, order, request,
                           until, use)

ENDPOINTS = 6
REQUESTS = 120
# As many requests at once as occupy all endpoints.
BURST = 44
WORK_S = 0.1
HUGE = 2 ** 62
HOUR_MS = 3600 * 1000
# No endpoint counts this far ahead of its own reports.
AHEAD = 1000000
NOBODY = "127.0.0.1:9"
LONG = "n" * 200


def report(address, **fields):
    return {"service": "plain", "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
            "warmup-left-ms": 0, "sequence": 1, "born": int(time.time() * 1000)} | fields


async def send(name, body):
    """Sends a report to all state instances and returns the statuses."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    replies = [await ask(control, "POST", "/v1/Instances.Heartbeat/" + name, body=body)
               for control in ADDRESSES["control"]]
    return [reply.status for reply in replies]


async def start():
    endpoints = [await Endpoint(f"plain-{i}", "plain", "z1").start() for i in range(ENDPOINTS)]
    Endpoint.work_s = WORK_S
    await order("/v1/Config.Replace", configuration(3, ROUTES))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    await all_in_use(endpoints)
    return endpoints


async def all_in_use(endpoints):
    """Waits until each of the entry instances has had requests served by every endpoint."""
    for entry in ADDRESSES["entries"]:
        for endpoint in endpoints:
            endpoint.ran.clear()

        async def all_ran():
            await asyncio.gather(*(request(entry, "GET", "/read/x") for _ in range(BURST)))
            return all(endpoint.ran for endpoint in endpoints)
        await until("all endpoints in use at " + entry, all_ran)


async def share_whole():
    """The share of sound requests that are served, spread over the time in which silent endpoints are forgotten."""
    whole = 0
    for i in range(REQUESTS):
        try:
            reply = await request(ADDRESSES["entries"][i % len(ADDRESSES["entries"])], "GET", "/read/x")
            whole += reply.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(10 * HEARTBEAT_S / REQUESTS)
    return whole / REQUESTS


def hostile(endpoint, start, sequence):
    """Reports under the name and with the address of ENDPOINT, by name."""
    return [(endpoint.name, report(NOBODY, born=start(endpoint), sequence=1)),
            (endpoint.name, report(NOBODY, born=endpoint.born, sequence=sequence(endpoint))),
            ("other-" + endpoint.name, report(endpoint.address, service="none", born=start(endpoint))),
            ("more-" + endpoint.name, report(endpoint.address, service="none", born=endpoint.born,
                                             sequence=sequence(endpoint)))]


async def numbers():
    """Reports with numbers that no endpoint can have take no endpoint away."""
    endpoints = await start()
    for endpoint in endpoints:
        for name, body in hostile(endpoint, lambda e: HUGE, lambda e: HUGE):
            if body["born"] == HUGE or body["sequence"] == HUGE:
                print(name, await send(name, body), flush=True)
    share = await share_whole()
    print("sound requests served: %.3f" % share, flush=True)
    assert share == 1, share
    await all_in_use(endpoints)


async def taken():
    """Endpoints whose names and addresses another writer reported, with numbers that they might have, get them back
    by going on."""
    endpoints = await start()
    for kind in range(4):
        for endpoint in endpoints:
            name, body = hostile(endpoint, lambda e: int(time.time() * 1000) + HOUR_MS // 60,
                                 lambda e: e.sequence + AHEAD)[kind]
            assert await send(name, body) == [200] * 3
        before = [endpoint.sequence for endpoint in endpoints]
        await all_in_use(endpoints)
        reports = max(endpoint.sequence - old for endpoint, old in zip(endpoints, before))
        print(f"kind {kind}: all in use again after {reports} reports", flush=True)


async def refused():
    """Reports that name no endpoint to use are refused, and an entry instance that connects afterwards gets all others."""
    endpoints = await start()
    bad = [("x", report(address)) for address in
           ("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:+80", "127.0.0.1: 80", "127.0.0.1", "host:80",
            "127.0.0.256:80", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", ":80", LONG + ":80")]
    bad += [(LONG, report("127.0.0.2:80")), ("x", report("127.0.0.2:80", service=LONG)),
            ("x", report("127.0.0.2:80", zone=LONG)), ("x", report("127.0.0.2:80", zone="a\nb"))]
    bad += [("x", b"[" * 30000 + b"]" * 30000), ("x", b'{"service":' * 30000),
            ("x", json.dumps(report("127.0.0.2:80")).encode().replace(b'"sequence": 1', b'"sequence": 1e400')),
            ("x", json.dumps(report("127.0.0.2:80")).encode().replace(b'"sequence": 1', b'"sequence": 9' + b"9" * 400))]
    taken_ones = []
    for name, body in bad:
        statuses = await send(name, body)
        if any(not 400 <= status < 500 for status in statuses):
            taken_ones.append((name[:20], str(body)[:150], statuses))
    for line in taken_ones:
        print("taken:", *line, flush=True)
    assert not taken_ones, len(taken_ones)
    await all_in_use(endpoints)


async def zones():
    """Orders about zones whose names fit in no message are refused, and later orders still reach the entry instances."""
    await start()
    for control in ADDRESSES["control"]:
        reply = await ask(control, "POST", "/v1/Evacuation.Begin/" + LONG)
        print("order:", reply.status, flush=True)
    await order("/v1/Config.Replace", configuration(4, ROUTES[1:]))
    await in_force(ADDRESSES["entries"], "/read/x", 404)
    assert reply.status == 400, reply.status


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"numbers": numbers, "taken": taken, "refused": refused, "zones": zones}[sys.argv[1]]())
