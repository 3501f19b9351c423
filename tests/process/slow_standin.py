"""Callers that read slowly, and an endpoint that cuts off an answer which stays unread.
Usage: slow_standin.py DIR."""
import asyncio
import json
import random
import socket
import sys
import time

from hosts_standin import ADDRESSES, Endpoint, configuration, in_force, order, pid, read_head, request, route, use

# An endpoint cuts off an answer of which nothing is taken for this time.
UNREAD_S = 3
EVENT_BYTES, ANSWER_BYTES = 4000, 800000
READ_BYTES_PER_S, READ_STEP_S = 60000, 0.2
FEW, MANY = 8, 200
MANY_S = 10
MEMORY_MB = 160


class Large(Endpoint):
    """Endpoint with large answers."""
    cut = 0

    async def serve_one(self, reader, writer):
        start, fields = await read_head(reader)
        if start.startswith("GET /v1/report "):
            return self.tell_state(writer)
        if "content-length" in fields:
            await reader.readexactly(int(fields["content-length"]))
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        writer.transport.set_write_buffer_limits(high=16384)
        stream = "/stream/" in start
        size = ANSWER_BYTES if "large" in start else EVENT_BYTES
        head = (f"HTTP/1.1 200 OK\r\nX-Jaycove-Attempt-Id: {fields['x-jaycove-attempt-id']}\r\n"
                f"X-Jaycove-Server-Stamp: {self.name}\r\n")
        if stream:
            writer.write((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        else:
            writer.write((head + f"Content-Length: {size}\r\n\r\n").encode())
        for event in range(size // EVENT_BYTES):
            if stream:
                text = f"id: {event}\ndata: ".encode()
                text += b"t" * (EVENT_BYTES - len(text) - 2) + b"\n\n"
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            else:
                writer.write(b"b" * EVENT_BYTES)
            try:
                async with asyncio.timeout(UNREAD_S):
                    await writer.drain()
            except TimeoutError:
                Large.cut += 1
                writer.transport.abort()
                return False
        if stream:
            writer.write(b"0\r\n\r\n")
        return True


async def read_slowly(path, until_s):
    """Returns how many bytes of the answer came, and whether it came whole."""
    host, port = ADDRESSES["entries"][0].rsplit(":", 1)
    caller = socket.create_connection((host, int(port)))
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
    caller.setblocking(False)
    caller.send((f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: {random.getrandbits(64):016x}\r\n"
                 "X-Jaycove-Deadline-Ms: 60000\r\nContent-Length: 2\r\n\r\nhi").encode())
    end, got, last = time.monotonic() + until_s, 0, b""
    due = time.monotonic()
    while time.monotonic() < end:
        left = int(READ_BYTES_PER_S * READ_STEP_S)
        while left > 0:
            try:
                data = caller.recv(left)
            except BlockingIOError:
                break
            except ConnectionError:
                return got, False
            if not data:
                return got, False
            got, left, last = got + len(data), left - len(data), (last + data)[-16:]
        if got >= ANSWER_BYTES and ("/stream/" not in path or last.endswith(b"0\r\n\r\n")):
            caller.close()
            return got, True
        due += READ_STEP_S
        await asyncio.sleep(max(due - time.monotonic(), 0))
    caller.close()
    return got, False


def memory_mb():
    """The most memory that the entry instance had."""
    for line in open(f"/proc/{pid('e1')}/status"):
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024


async def main():
    endpoints = [await Large(name, service, "z1").start() for name, service in (("plain-0", "plain"),
                                                                                ("engine-0", "engine"))]
    state = json.loads(configuration(3, [route("read", "safe", "plain", **{"timeout-ms": 60000, "slo-ms": 30000}),
                                         route("stream", "stream", "engine",
                                               **{"timeout-ms": 60000, "gap-slo-ms": 20000})]))
    for service in state["services"]:
        service["max-conns"] = 1000
    await order("/v1/Config.Replace", json.dumps(state).encode())
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    await in_force(ADDRESSES["entries"], "/stream/x", 200)
    print(f"memory before: {memory_mb():.0f} MB")
    few = await asyncio.gather(*[read_slowly(f"/{kind}/large", ANSWER_BYTES / READ_BYTES_PER_S * 3)
                                 for kind in ("stream", "read") for _ in range(FEW // 2)])
    print(f"{sum(1 for _, whole in few if whole)} of {FEW} slow readers got all, {Large.cut} answers cut off by their "
          f"endpoint, memory {memory_mb():.0f} MB")
    assert all(whole for _, whole in few) and Large.cut == 0, few
    many = [asyncio.create_task(read_slowly("/stream/large", MANY_S)) for _ in range(MANY)]
    served = 0
    for _ in range(MANY_S - 2):
        await asyncio.sleep(1)
        served += (await request(ADDRESSES["entries"][0], "POST", "/read/x", b"small")).status == 200
    got = [bytes_got for bytes_got, _ in await asyncio.gather(*many)]
    most = memory_mb()
    print(f"{MANY} slow readers: {served} of {MANY_S - 2} small requests served beside them, memory {most:.0f} MB")
    assert served == MANY_S - 2 and min(got) > 0 and most < MEMORY_MB, (served, min(got), most)
    assert len(endpoints) == 2


use(sys.argv[1])
asyncio.run(main())
