"""Endpoints whose links hang for the entry instances of their region, and callers of these instances.
Usage: reach_standin.py DIR, where DIR holds addresses.json."""
import asyncio
import os
import re
import socket
import sys

import hosts_standin
from hosts_standin import ADDRESSES, Endpoint, ask, configuration, in_force, order, request, route, until, use

# More connections than a listen queue of length 0 takes; further ones get no answer.
BACKLOG_FILLERS = 4
REQUESTS = 40


class Hanging(Endpoint):
    """An endpoint whose links hang while CUT is set: requests on open connections are never answered, new connections
    don't come up. It goes on reporting."""
    cut = False

    def is_deadly(self, start, fields, body):
        return self.cut

    async def die(self):
        await asyncio.Event().wait()

    def hang(self):
        host, port = self.address.rsplit(":", 1)
        self.cut = True
        self.server.close()
        self.plugs = [socket.socket()]
        self.plugs[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.plugs[0].bind((host, int(port)))
        self.plugs[0].listen(0)
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.plugs.append(filler)

    async def heal(self):
        host, port = self.address.rsplit(":", 1)
        for plug in self.plugs:
            plug.close()
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.cut = False


async def unreached(index):
    """How many services the entry instance INDEX has lost the endpoints of."""
    text = (await ask(ADDRESSES["operators"][index], "GET", "/metrics")).body.decode()
    return float(re.search(r"^jaycove_unreached_services{} (.*)$", text, re.M).group(1))


async def read(index, method="GET"):
    return await request(ADDRESSES["entries"][index], method, "/read/x" if method == "GET" else "/write/x")


async def until_unreached(index, count):
    async def seen():
        # Without requests an instance doesn't notice the loss. Their callers leave before a connection is given up.
        task = asyncio.create_task(read(index))
        await asyncio.wait([task], timeout=0.3)
        task.cancel()
        return await unreached(index) == count
    await until(f"e{index + 1} to have {count} services without reach", seen)


def attempts(index, place):
    """How many attempts the entry instance INDEX has made at PLACE."""
    text = open(os.path.join(hosts_standin.DIR, f"e{index + 1}.out")).read()
    return len(re.findall(r"event=attempt .* place=%s " % place, text))


async def directory():
    """The addresses that the directory names to callers of zone z1."""
    reply = await ask(ADDRESSES["directory"][0], "GET", "/v1/resolve?name=site.example&region=r1&zone=z1")
    return reply.body.decode()


async def main():
    near = [await Hanging(f"plain-{i}", "plain", "z1").start() for i in range(2)]
    far = await Hanging("plain-2", "plain", "z2").start()
    await order("/v1/Config.Replace",
                configuration(3, [route("read", "safe", "plain"), route("write", "unsafe", "plain")]))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    for endpoint in near:
        endpoint.hang()

    # Only e1 has tried: the directory names the other instance of the region, which has not lost anything yet.
    await until_unreached(0, 1)

    async def only_e2():
        text = await directory()
        return ADDRESSES["entries"][0] not in text and ADDRESSES["entries"][1] in text
    await until("the directory to name e2 alone", only_e2)
    await until_unreached(1, 1)

    async def both_again():
        text = await directory()
        return ADDRESSES["entries"][0] in text and ADDRESSES["entries"][1] in text
    await until("the directory to name both, since neither has reach", both_again)

    async def asks_e3_only():
        before = attempts(0, "e2")
        replies = [await read(0) for _ in range(REQUESTS)]
        return attempts(0, "e2") == before and all(r.status == 200 for r in replies)
    await until("e1 to leave e2 out", asks_e3_only)
    before = attempts(0, "plain-[01]")
    replies = [await read(0, method) for _ in range(REQUESTS) for method in ("GET", "POST")]
    wasted = attempts(0, "plain-[01]") - before
    print("served %d of %d by another region, %d attempts at endpoints out of reach"
          % (sum(r.status == 200 for r in replies), len(replies), wasted), flush=True)
    assert all(r.status == 200 for r in replies), [r.status for r in replies]
    assert wasted == 0, wasted

    far.hang()
    await until_unreached(2, 1)
    reply = await read(0)
    print(reply.status, reply.body.decode(), flush=True)
    assert reply.status == 503 and b"out_of_reach" in reply.body, (reply.status, reply.body)
    assert float(reply.headers["retry-after"]) > 0, reply.headers

    for endpoint in [*near, far]:
        await endpoint.heal()
    for index in range(3):
        await until_unreached(index, 0)

    async def served_at_home():
        before = sum(len(endpoint.ran) for endpoint in near)
        replies = [await read(0) for _ in range(REQUESTS)]
        return (all(r.status == 200 for r in replies)
                and sum(len(endpoint.ran) for endpoint in near) - before >= REQUESTS)
    await until("e1 to use the endpoints of its region again", served_at_home)
    print("regained", flush=True)


if __name__ == "__main__":
    use(sys.argv[1])
    asyncio.run(main())
