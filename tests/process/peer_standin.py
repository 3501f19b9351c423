"""An instance that hands streams over to the first entry instance and is then cut off from it: nothing that is sent to
it arrives, nor is it acknowledged, and it sends nothing. Usage: peer_standin.py DIR."""
import asyncio
import ctypes
import json
import random
import socket
import struct
import sys
import time

from hosts_standin import ADDRESSES, Endpoint, configuration, in_force, order, read_head, route, use

GAP_MS = 400
# A cut link is noticed within this time, one that is silent for less than CUT_FOR_S isn't taken for cut.
NOTICED_S, CUT_FOR_S = 6, 1.5
SLACK_S = 0.5
STREAM_S = 12
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27


class Timed(Endpoint):
    """Endpoint that records when its runs end. A path with "slow" gets no event for STREAM_S."""
    ends = {}

    async def serve_one(self, reader, writer):
        start, fields = await read_head(reader)
        if start.startswith("GET /v1/report "):
            return self.tell_state(writer)
        attempt = fields["x-jaycove-attempt-id"]
        if "content-length" in fields:
            await reader.readexactly(int(fields["content-length"]))
        self.ran.append((attempt, start, b"", fields))
        events = 2 if "/short" in start else int(STREAM_S / 0.1)
        writer.write((f"HTTP/1.1 200 OK\r\nX-Jaycove-Attempt-Id: {attempt}\r\nX-Jaycove-Server-Stamp: {self.name}\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        gone = asyncio.ensure_future(reader.read(1))
        try:
            for event in range(events):
                if "/slow" not in start:
                    data = f"id: {event}\ndata: token\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                    await writer.drain()
                done, _ = await asyncio.wait([gone], timeout=0.1)
                if done:
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return False
        finally:
            gone.cancel()
            Timed.ends[attempt] = time.monotonic()


class Peer:
    """A connection of the other instance to the first entry instance."""

    def __init__(self):
        host, port = ADDRESSES["operators"][0].rsplit(":", 1)
        # The hand-over listener uses the port after that of the operators' listener.
        self.socket = socket.create_connection((host, int(port) + 1))
        self.socket.setblocking(False)
        self.attempt = "%016x" % random.getrandbits(64)
        self.received = b""

    def send(self, path, deadline_ms):
        self.sent = time.monotonic()
        self.socket.send((f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: {self.attempt}\r\n"
                          f"X-Jaycove-Deadline-Ms: {deadline_ms}\r\nX-Jaycove-Endpoints: 1; repeats\r\n"
                          "Content-Length: 2\r\n\r\nhi").encode())
        return self

    async def read(self, until_s):
        end = time.monotonic() + until_s
        while time.monotonic() < end:
            try:
                self.received += self.socket.recv(65536)
            except BlockingIOError:
                pass
            await asyncio.sleep(0.02)

    def cut(self):
        """Has the kernel drop all that arrives on the connection before it is looked at."""
        drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
        self.socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                               struct.pack("HxxxxxxP", 1, ctypes.addressof(drop_all)))

    def mend(self):
        self.socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


async def run_ended(peer, within_s):
    end = time.monotonic() + within_s
    while peer.attempt not in Timed.ends and time.monotonic() < end:
        await asyncio.sleep(0.02)
    return Timed.ends.get(peer.attempt)


async def deadline_passes():
    """The run ends at the deadline that was told, by the clock of the instance that has it run."""
    peer = Peer().send("/stream/x", 2500)
    await peer.read(1)
    peer.cut()
    ended = await run_ended(peer, 10)
    assert peer.attempt.encode() in peer.received and ended, "no run that ended"
    assert ended - peer.sent < 2.5 + SLACK_S, f"ended after {ended - peer.sent:.1f} s"
    return f"told 2.5 s, ended after {ended - peer.sent:.1f} s"


async def body_is_slow():
    """The time during which the request comes is part of the time that was told."""
    peer = Peer()
    peer.sent = time.monotonic()
    peer.socket.send((f"POST /stream/x HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: {peer.attempt}\r\n"
                      "X-Jaycove-Deadline-Ms: 3000\r\nX-Jaycove-Endpoints: 1; repeats\r\n"
                      "Content-Length: 2\r\n\r\nh").encode())
    await asyncio.sleep(1.2)
    peer.socket.send(b"i")
    await peer.read(0.5)
    peer.cut()
    ended = await run_ended(peer, 10)
    assert ended and ended - peer.sent < 3 + SLACK_S, f"ended after {(ended or 0) - peer.sent:.1f} s"
    return f"told 3 s, body after 1.2 s, ended after {ended - peer.sent:.1f} s"


async def is_cut(path):
    """The run ends though the deadline is far."""
    peer = Peer().send(path, 20000)
    await peer.read(1)
    peer.cut()
    cut = time.monotonic()
    ended = await run_ended(peer, STREAM_S + 5)
    assert ended, "the run did not end"
    assert ended - cut < NOTICED_S, f"{path}: ended {ended - cut:.1f} s after the cut"
    return f"{path}: ended {ended - cut:.1f} s after the cut"


async def is_silent_for_a_while():
    """A link that carries nothing for less than the pauses allowed cuts nothing."""
    peer = Peer().send("/stream/x", 20000)
    await peer.read(1)
    peer.cut()
    await asyncio.sleep(CUT_FOR_S)
    peer.mend()
    await peer.read(STREAM_S + 2)
    events = peer.received.count(b"data: token")
    assert events == int(STREAM_S / 0.1) and peer.received.endswith(b"0\r\n\r\n"), f"{events} events"
    return f"silent for {CUT_FOR_S} s, {events} events"


async def reads_nothing():
    """An instance that is in touch, but whose caller reads nothing for long, keeps its stream."""
    peer = Peer().send("/stream/x", 20000)
    await asyncio.sleep(STREAM_S - 2)
    assert peer.attempt not in Timed.ends, "the run was ended"
    await peer.read(4)
    events = peer.received.count(b"data: token")
    assert events == int(STREAM_S / 0.1), f"{events} events"
    return f"unread for {STREAM_S - 2} s, {events} events"


async def main():
    await Timed("engine-0", "engine", "z1").start()
    await Timed("engine-1", "engine", "z1").start()
    state = json.loads(configuration(3, [route("stream", "stream", "engine", **{"gap-slo-ms": GAP_MS})]))
    await order("/v1/Config.Replace", json.dumps(state).encode())
    await in_force(ADDRESSES["entries"], "/stream/short", 200)
    results = await asyncio.gather(deadline_passes(), body_is_slow(), is_cut("/stream/x"), is_cut("/stream/slow"),
                                   is_silent_for_a_while(), reads_nothing(), return_exceptions=True)
    for result in results:
        print(result)
    assert not any(isinstance(r, BaseException) for r in results)


use(sys.argv[1])
asyncio.run(main())
