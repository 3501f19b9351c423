"""Endpoints that send bytes without end, in each way listed below in turn: callers must get complete answers from the
other endpoint. Usage: endless_standin.py DIR [SECONDS], where SECONDS is the longest time that an answer may take."""
import asyncio
import os
import sys
import time

import hosts_standin
from hosts_standin import ADDRESSES, Endpoint, ask, configuration, in_force, order, pid, request, route

AT_ONCE = 6
BUDGET_REQUESTS = 60
DRIP_S = 0.05
RSS_MAX_KB = 32 * 1024
QUICK_BYTES = 16 * 1024
SLOW_ANSWER_BYTES = 20 * 52000


def quick(data):
    """Returns DATA repeated into one large write, and a pause of 0."""
    return data * max(1, QUICK_BYTES // len(data)), 0


def drip(data):
    """Returns DATA and the pause after each write of it."""
    return data, DRIP_S


OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n" + CHUNKED


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


# What each kind sends once and what it repeats. "{}" in the former stands for the headers of a proper answer.
PLAIN = {
    "head of many fields, quick": (OK, quick(b"X-A: b\r\n")),
    "head of many fields, dripping": (OK + b"{}", drip(b"X-A: b\r\n")),
    "head of one endless line, quick": (OK + b"X-A: ", quick(b"a")),
    "head of one endless line, dripping": (OK + b"X-A: ", drip(b"a")),
    "status line without end, quick": (b"HTTP/1.1 200 ", quick(b"O")),
    "interim heads, quick": (b"", quick(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "interim heads, dripping": (b"", drip(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "blank lines before the head, quick": (b"", quick(b"\r\n")),
    "body of a length far too large": (OK + b"{}Content-Length: 1099511627776\r\n\r\n", quick(b"a")),
    "body of a small length, dripping": (OK + b"{}Content-Length: 5000\r\n\r\n", drip(b"a")),
    "chunked body, quick": (OK + b"{}" + CHUNKED, quick(chunk(b"a" * 1000))),
    "chunked body, dripping": (OK + b"{}" + CHUNKED, drip(chunk(b"a"))),
    "body without length, quick": (OK + b"{}\r\n", quick(b"a")),
    "body without length, dripping": (OK + b"{}\r\n", drip(b"a")),
    "chunk size without end, quick": (OK + b"{}" + CHUNKED, quick(b"0")),
    "chunk extension, quick": (OK + b"{}" + CHUNKED + b"1;", quick(b"a")),
    "chunk extension, dripping": (OK + b"{}" + CHUNKED + b"1;", drip(b"a")),
    "trailers, quick": (OK + b"{}" + CHUNKED + b"0\r\n", quick(b"X-A: b\r\n")),
    "trailers, dripping": (OK + b"{}" + CHUNKED + b"0\r\n", drip(b"X-A: b\r\n")),
}
STREAM = {
    "comments, quick": (OK + b"{}" + EVENTS, quick(chunk(b": a\n\n"))),
    "comments, dripping": (OK + b"{}" + EVENTS, drip(chunk(b": a\n\n"))),
    "its first event again and again, quick": (OK + b"{}" + EVENTS, quick(chunk(b"id: 0\ndata: token-0\n\n"))),
    "its first event again and again, dripping": (OK + b"{}" + EVENTS, drip(chunk(b"id: 0\ndata: token-0\n\n"))),
    "blank lines, quick": (OK + b"{}" + EVENTS, quick(chunk(b"\n\n\n\n"))),
    "blank lines, dripping": (OK + b"{}" + EVENTS, drip(chunk(b"\n\n\n\n"))),
    "a line without end, quick": (OK + b"{}" + EVENTS, quick(chunk(b"a" * 1000))),
    "a line without end, dripping": (OK + b"{}" + EVENTS, drip(chunk(b"a"))),
}
# Complete answers with bytes after them.
AFTER = {
    "bytes after the answer, quick": (OK + b"{}Content-Length: 2\r\n\r\nok", quick(b"a")),
    "bytes after the answer, dripping": (OK + b"{}Content-Length: 2\r\n\r\nok", drip(b"a")),
}


class HeadReplayReader:
    """Wraps READER and returns HEAD, which was already read, once more."""

    def __init__(self, reader, head):
        self.reader, self.head, self.readexactly = reader, head, reader.readexactly

    async def readuntil(self, _):
        return self.head


class MisbehavingEndpoint(Endpoint):
    """The endpoint that gets the first request after KIND is set misbehaves as KIND says, the others answer properly.
    CHOSEN is that endpoint."""
    kind, chosen = None, None

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if MisbehavingEndpoint.kind is not None and MisbehavingEndpoint.chosen is None:
            MisbehavingEndpoint.chosen = self
        if MisbehavingEndpoint.kind is None or MisbehavingEndpoint.chosen is not self:
            return await super().serve_one(HeadReplayReader(reader, head), writer)
        _, fields = await hosts_standin.read_head(HeadReplayReader(reader, head))
        if "content-length" in fields:
            await hosts_standin.read_body(reader, fields)
        head = (f"X-Jaycove-Attempt-Id: {fields.get('x-jaycove-attempt-id', '')}\r\nX-Jaycove-Server-Load: 1,0,8\r\n"
                f"X-Jaycove-Server-Stamp: {self.name}\r\n").encode()
        once, (repeated, pause_s) = MisbehavingEndpoint.kind
        writer.write(once.replace(b"{}", head))
        while not writer.is_closing():
            writer.write(repeated)
            await writer.drain()
            await asyncio.sleep(pause_s)
        raise ConnectionError


class SlowEndpoint(Endpoint):
    """A slow endpoint that behaves properly: a plain answer of 1 MB over 2 s, a stream with an event each 0.5 s."""

    async def serve_one(self, reader, writer):
        start, fields = await hosts_standin.read_head(reader)
        head = (f"HTTP/1.1 200 OK\r\nX-Jaycove-Attempt-Id: {fields.get('x-jaycove-attempt-id', '')}\r\n"
                f"X-Jaycove-Server-Stamp: {self.name}\r\n").encode()
        if "/slow-stream/" in start:
            self.pause_s = 0.5
            writer.write(head + EVENTS)
            for event in range(6):
                await asyncio.sleep(self.pause_s)
                writer.write(chunk(b"id: %d\ndata: token-%d\n\n" % (event, event)))
            writer.write(b"0\r\n\r\n")
            return True
        writer.write(head + CHUNKED)
        for _ in range(20):
            writer.write(chunk(b"a" * (SLOW_ANSWER_BYTES // 20)))
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")
        return True


def peak_rss_kb(name):
    with open(f"/proc/{pid(name)}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM:"))


def cpu_s(name):
    with open(f"/proc/{pid(name)}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


ROUTES = [route("read", "safe", "plain", **{"slo-ms": 500}), route("slow-read", "safe", "slow", **{"slo-ms": 500}),
          route("stream", "stream", "engine", **{"slo-ms": 500, "gap-slo-ms": 400}),
          route("slow-stream", "stream", "slow", **{"slo-ms": 500, "gap-slo-ms": 400})]


def is_whole(reply, path):
    if path == "/stream/x":
        return reply.whole and reply.body == b"".join(b"id: %d\ndata: token-%d\n\n" % (i, i) for i in range(6))
    return reply.status == 200 and reply.whole and (reply.body.startswith(b"plain-") or reply.body == b"ok")


async def send_one(entry, path):
    started = time.monotonic()
    try:
        reply = await request(entry, "POST" if path == "/stream/x" else "GET", path)
        return is_whole(reply, path), time.monotonic() - started
    except (OSError, asyncio.IncompleteReadError):
        return False, time.monotonic() - started


async def run_kind(entry, path, name, kind, within_s):
    """Returns whether all requests got complete answers within WITHIN_S while an endpoint misbehaved as KIND says."""
    MisbehavingEndpoint.kind = None
    # Wait until the failures of the previous kind no longer count, and fill the retry budget.
    await asyncio.sleep(1)
    for _ in range(BUDGET_REQUESTS):
        assert (await send_one(entry, path))[0]
    MisbehavingEndpoint.kind, MisbehavingEndpoint.chosen = kind, None
    cpu = cpu_s("e1")
    results = await asyncio.gather(*(send_one(entry, path) for _ in range(AT_ONCE)))
    cpu_each_s = (cpu_s("e1") - cpu) / AT_ONCE
    whole, longest = sum(1 for complete, _ in results if complete), max(s for _, s in results)
    print(f"{name}: {whole} of {AT_ONCE} whole, {longest:.2f} s, {cpu_each_s:.3f} s of processor time each", flush=True)
    return whole == AT_ONCE and longest < within_s


async def main(within_s):
    await asyncio.gather(*(e.start() for e in [
        MisbehavingEndpoint("plain-0", "plain", "z1"), MisbehavingEndpoint("plain-1", "plain", "z1"),
        MisbehavingEndpoint("engine-0", "engine", "z1"), MisbehavingEndpoint("engine-1", "engine", "z1"),
        SlowEndpoint("slow-0", "slow", "z1"), SlowEndpoint("slow-1", "slow", "z1")]))
    body = configuration(3, ROUTES).replace(b'"services": [', b'"services": [{"name": "slow", "health-path": "/", '
                                            b'"max-conns": 9, "warmup-s": 0, "warmup-per-s": 0}, ')
    await order("/v1/Config.Replace", body)
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    entry = ADDRESSES["entries"][0]
    failed = []
    for path, kinds in (("/read/x", PLAIN), ("/read/x", AFTER), ("/stream/x", STREAM)):
        for name, kind in kinds.items():
            if not await run_kind(entry, path, name, kind, within_s):
                failed.append(name)
    MisbehavingEndpoint.kind = None
    # Slow endpoints that behave properly: no attempt is given up, so that each request runs once.
    reply = await request(entry, "GET", "/slow-read/x")
    if reply.status != 200 or len(reply.body) != SLOW_ANSWER_BYTES:
        failed.append("a proper answer of 1 MB over 2 s")
    reply = await request(entry, "POST", "/slow-stream/x")
    if reply.body.count(b"id: ") != 6:
        failed.append("a proper stream with an event each 0.5 s")
    print(f"memory at its peak: {peak_rss_kb('e1')} kB", flush=True)
    if peak_rss_kb("e1") > RSS_MAX_KB:
        failed.append("memory")
    metrics = (await ask(ADDRESSES["operators"][0], "GET", "/metrics")).body.decode()
    for reason in ("no_progress", "endless", "interim_heads"):
        if f'jaycove_answers_given_up_total{{reason="{reason}"}}' not in metrics:
            failed.append("metric of " + reason)
    assert not failed, failed


if __name__ == "__main__":
    hosts_standin.use(sys.argv[1])
    asyncio.run(main(float(sys.argv[2]) if len(sys.argv) > 2 else float("inf")))
