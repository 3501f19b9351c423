"""Endpoints that say for a moment that requests which name them are for another endpoint, and a stranger that has taken
an address over. Usage: misdirected_standin.py DIR."""
import asyncio
import sys
import time

from hosts_standin import (ADDRESSES, Endpoint, ask, configuration, in_force, order, read_body, read_head, request, route,
                           use)

MISDIRECTED = 10
# After the last misdirected request each instance serves again within this time.
BACK_S = 2.0
# An instance may ask a stranger at most so often, and serves at this pace meanwhile.
STRANGER_PER_S, OBSERVE_S, PAUSE_S = 1.0, 4.0, 0.02


NOT_RUN = "X-Jaycove-Not-Executed: 1\r\n"


class Confused(Endpoint):
    """Answers with 421 while LEFT is positive, and counts each; with STATED it says that it has not run the request."""
    left, last, stated = 0, 0.0, True

    async def serve_one(self, reader, writer):
        if Confused.left <= 0:
            return await super().serve_one(reader, writer)
        start, fields = await read_head(reader)
        if "content-length" in fields:
            await read_body(reader, fields)
        if start.startswith("GET /v1/report "):
            return self.tell_state(writer)
        Confused.left -= 1
        Confused.last = time.monotonic()
        stated = NOT_RUN if Confused.stated else ""
        writer.write(f"HTTP/1.1 421 Misdirected\r\nX-Jaycove-Attempt-Id: {fields['x-jaycove-attempt-id']}\r\n{stated}"
                     "Content-Length: 0\r\n\r\n".encode())
        return True


class Stranger:
    """A server of another service, which knows no endpoint by the names that it is asked for."""

    def __init__(self, address):
        self.address, self.asked = address, []

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields = await read_head(reader)
                if start.startswith("GET /v1/report "):
                    text = b'{"phase": "both", "sequence": 0, "born": %d}' % int(time.time() * 1000)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                    continue
                self.asked.append(time.monotonic())
                writer.write(f"HTTP/1.1 421 Misdirected\r\nX-Jaycove-Attempt-Id: {fields['x-jaycove-attempt-id']}\r\n{NOT_RUN}"
                             "Content-Length: 0\r\n\r\n".encode())
        except (EOFError, OSError):
            writer.close()


async def call(entry):
    return (await request(entry, "GET", "/read/x")).status


async def set_aside():
    """Returns how many endpoints the first instance has set aside for an answer 421, by its metrics."""
    reply = await ask(ADDRESSES["operators"][0], "GET", "/metrics")
    lines = dict(line.rsplit(" ", 1) for line in reply.body.decode().splitlines() if not line.startswith("#"))
    return int(lines['jaycove_endpoints_set_aside{cause="misdirected"}'])


async def moment():
    """All endpoints of the service answer 421 for a moment while they report as before."""
    Confused.left = MISDIRECTED
    first, most_aside = {}, 0
    end = time.monotonic() + 20
    while time.monotonic() < end and (Confused.left > 0 or len(first) < len(ADDRESSES["entries"])):
        for entry in ADDRESSES["entries"]:
            # An instance that serves before the last 421 of all must do so after it too.
            if await call(entry) == 200 and Confused.left <= 0:
                first.setdefault(entry, time.monotonic() - Confused.last)
        most_aside = max(most_aside, await set_aside())
        await asyncio.sleep(PAUSE_S)
    print(f"{'' if Confused.stated else 'not '}stated, 421 to come {Confused.left}, served again after {sorted(first.values())} s", flush=True)
    assert 1 <= most_aside <= 2, f"{most_aside} endpoints set aside"
    assert Confused.left <= 0 and len(first) == len(ADDRESSES["entries"]), f"not served again: {first}"
    assert max(first.values()) <= BACK_S, f"served again after {max(first.values()):.2f} s, at most {BACK_S}"


async def stranger(endpoint):
    """Another server takes over the address of ENDPOINT, whose last report is still known."""
    endpoint.crash()
    other = await Stranger(endpoint.address).start()
    end = time.monotonic() + OBSERVE_S
    statuses = []
    while time.monotonic() < end:
        statuses += await asyncio.gather(*(call(entry) for entry in ADDRESSES["entries"]))
        await asyncio.sleep(PAUSE_S)
    most = len(ADDRESSES["entries"]) * (1 + STRANGER_PER_S * OBSERVE_S)
    print(f"stranger asked {len(other.asked)} times, at most {most:.0f}; {statuses.count(200)} of {len(statuses)} served",
          flush=True)
    assert len(other.asked) <= most, f"stranger asked {len(other.asked)} times, at most {most}"
    assert statuses.count(200) > 0.9 * len(statuses), f"only {statuses.count(200)} of {len(statuses)} served"


async def main():
    endpoints = [await Confused(f"plain-{i}", "plain", "z1").start() for i in range(2)]
    await order("/v1/Config.Replace", configuration(3, [route("read", "safe", "plain")]))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    for Confused.stated in (True, False):
        await moment()
    await stranger(endpoints[0])


if __name__ == "__main__":
    use(sys.argv[1])
    asyncio.run(main())
