"""Endpoints that answer many requests at once with bytes that have no end, endpoints whose large answers are read by
nobody, and callers whose large bodies never end. What the entry instance keeps of all of them together must stay
bounded, and requests of another service beside them must be served. Usage: endless_sum_standin.py DIR."""
import asyncio
import sys
import time

import hosts_standin
from endless_standin import CHUNKED, EVENTS, OK, chunk, peak_rss_kb
from hosts_standin import ADDRESSES, Endpoint, ask, configuration, in_force, order, read_body, read_head, request, route, use

AT_ONCE = 120
ENDPOINTS = 12
# Memory that the smallest entry machine has left for the process, below its 160 MB.
RSS_MAX_KB = 128 * 1024
TIMEOUT_MS = 4000
BLOCK, PAUSE_S = 64 * 1024, 0.002
LARGE_BYTES = 3 * 1024 * 1024
SOUND_PAUSE_S = 0.05
# Sound requests while the load lasts; fewer say little.
SOUND_MIN = 100

# What an endpoint sends once and what it repeats; "{}" stands for the headers of a proper answer.
KINDS = {
    "body without length": ("/write/x", OK + b"{}\r\n", b"a" * BLOCK),
    "chunked body": ("/write/x", OK + b"{}" + CHUNKED, chunk(b"a" * BLOCK)),
    "chunked body, may be repeated": ("/read/x", OK + b"{}" + CHUNKED, chunk(b"a" * BLOCK)),
    "unsigned body": ("/write/x", OK + CHUNKED, chunk(b"a" * BLOCK)),
    "body of a failure of its own": ("/write/x", b"HTTP/1.1 503 Busy\r\n{}" + CHUNKED, chunk(b"a" * BLOCK)),
    "head of one line": ("/write/x", OK + b"X-A: ", b"a" * 4096),
    "event without end": ("/once/x", OK + b"{}" + EVENTS, chunk(b"a" * BLOCK)),
    "comments": ("/once/x", OK + b"{}" + EVENTS, chunk(b": a\n\n" * 800)),
    "events": ("/once/x", OK + b"{}" + EVENTS, chunk((b"data: " + b"a" * 4000 + b"\n\n") * 8)),
}


class Endless(Endpoint):
    """Answers as KIND says; with "large" it answers LARGE_BYTES with a length."""
    # SOUND counts the sound requests beside them.
    kind, sent, sound = None, 0, 0

    async def serve_one(self, reader, writer):
        start, fields = await read_head(reader)
        if "content-length" in fields:
            await read_body(reader, fields)
        if start.startswith("GET /v1/report "):
            return self.tell_state(writer)
        head = (f"X-Jaycove-Attempt-Id: {fields.get('x-jaycove-attempt-id', '')}\r\n"
                f"X-Jaycove-Server-Stamp: {self.name}\r\n").encode()
        if Endless.kind == "large":
            writer.write(OK + head + b"Content-Length: %d\r\n\r\n" % LARGE_BYTES)
            for _ in range(LARGE_BYTES // BLOCK):
                writer.write(b"a" * BLOCK)
                await writer.drain()
            return True
        if Endless.kind is None:
            writer.write(OK + head + b"Content-Length: 2\r\n\r\nok")
            return True
        _, once, repeated = KINDS[Endless.kind]
        writer.write(once.replace(b"{}", head))
        while not writer.is_closing():
            writer.write(repeated)
            Endless.sent += len(repeated)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        raise ConnectionError


async def call(path, reads=True):
    """Sends a request and returns its status, 0 for none. A caller that doesn't READ takes its answer late."""
    host, port = ADDRESSES["entries"][0].rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=2 * BLOCK)
    try:
        writer.write((f"{'GET' if path == '/read/x' else 'POST'} {path} HTTP/1.1\r\nHost: site.example\r\n"
                      f"X-Jaycove-Attempt-Id: {id(writer):016x}\r\nX-Jaycove-Deadline-Ms: {TIMEOUT_MS}\r\n"
                      "Connection: close\r\nContent-Length: 0\r\n\r\n").encode())
        if not reads:
            await asyncio.sleep(TIMEOUT_MS / 1000)
        start, _ = await read_head(reader)
        while await reader.read(BLOCK):
            pass
        return int(start.split()[1])
    except (OSError, EOFError):
        return 0
    finally:
        writer.close()


async def send_endless(entry):
    """Sends a body in chunks without end, and returns the status of the answer, 0 for none."""
    host, port = entry.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(b"POST /write/x HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: %016x\r\n" % id(writer)
                     + CHUNKED)
        head = asyncio.create_task(read_head(reader))
        # Just short of the limit of a body, then slowly on.
        for _ in range(LARGE_BYTES // BLOCK):
            writer.write(chunk(b"a" * BLOCK))
            await writer.drain()
        for _ in range(20):
            if head.done():
                break
            writer.write(chunk(b"a" * 1024))
            await writer.drain()
            await asyncio.sleep(0.1)
        return int(head.result()[0].split()[1]) if head.done() else 0
    except (OSError, EOFError):
        return int(head.result()[0].split()[1]) if head.done() and not head.exception() else 0
    finally:
        head.cancel()
        writer.close()


async def run(name, calls):
    """Runs CALLS at once beside sound requests. Returns whether the latter were served."""
    load = asyncio.gather(*calls)
    entry, served, sound = ADDRESSES["entries"][0], 0, 0
    # The load begins first.
    await asyncio.sleep(0.2)
    while not load.done():
        sound += 1
        try:
            served += (await request(entry, "GET", "/sound/x")).status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(SOUND_PAUSE_S)
    statuses = await load
    print(f"{name}: {len(statuses)} requests, statuses { {s: statuses.count(s) for s in sorted(set(statuses))} }, "
          f"{Endless.sent >> 20} MB sent so far, {served} of {sound} sound ones served, "
          f"memory at its peak {peak_rss_kb('e1') >> 10} MB", flush=True)
    Endless.sound += sound
    return served == sound


async def main():
    routes = [route(name, kind, "plain", **{"timeout-ms": TIMEOUT_MS, "resumable": False, "max-attempts": 1})
              for name, kind in (("read", "safe"), ("write", "unsafe"), ("once", "stream"))]
    routes.append(route("sound", "safe", "engine"))
    for i in range(ENDPOINTS):
        await Endless(f"plain-{i}", "plain", "z1").start()
    for i in range(2):
        await Endpoint(f"engine-{i}", "engine", "z1").start()
    await order("/v1/Config.Replace", configuration(3, routes).replace(b'"max-body-bytes": 100000',
                                                                       b'"max-body-bytes": 4194304'))
    await in_force(ADDRESSES["entries"], "/sound/x", 200)
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    unserved = []
    for name, (path, _, _) in KINDS.items():
        Endless.kind = name
        if not await run(name, [call(path) for _ in range(AT_ONCE)]):
            unserved.append(name)
    for name, path in (("large answers, read late", "/write/x"), ("large answers, read late, may be repeated", "/read/x")):
        Endless.kind = "large"
        if not await run(name, [call(path, reads=False) for _ in range(AT_ONCE)]):
            unserved.append(name)
    Endless.kind = None
    if not await run("bodies of callers", [send_endless(ADDRESSES["entries"][0]) for _ in range(AT_ONCE)]):
        unserved.append("bodies of callers")
    assert Endless.sound >= SOUND_MIN, f"only {Endless.sound} sound requests: the test shows nothing"
    rss_kb = peak_rss_kb("e1")
    assert not unserved, f"sound requests were not all served beside: {unserved}"
    assert rss_kb <= RSS_MAX_KB, f"memory at its peak: {rss_kb} kB, at most {RSS_MAX_KB}"
    reply = await ask(ADDRESSES["operators"][0], "GET", "/metrics")
    held = [line for line in reply.body.decode().splitlines() if line.startswith("jaycove_buffered_bytes{}")]
    assert held and float(held[0].split()[1]) < 1024 * 1024, f"buffers are not freed: {held}"


if __name__ == "__main__":
    use(sys.argv[1])
    asyncio.run(main())
