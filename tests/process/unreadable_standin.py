"""Endpoints whose answers can't be read or aren't whole, at an instance of their region and over a hand-over.
Usage: unreadable_standin.py SCRIPT DIR, where SCRIPT is "heads" or "resets"."""
import asyncio
import json
import random
import socket
import struct
import sys
import time

from hosts_standin import ADDRESSES, Endpoint, ask, configuration, in_force, order, read_body, read_head, request, route, use

# A failure that is known is told within this time; the requests below have 8 s.
AT_ONCE_S = 2
DEADLINE_MS = 8000
SOUND_REQUESTS = 20
# More than the buffers of a connection take, so that the upload is still being written when the reset comes.
UPLOAD_BYTES, UPLOAD_S = 4000000, 0.5

# Answers that are no answers of HTTP, or not to be taken as one. %s is the lines that a sound answer has.
HEADS = {
    "status 000": "HTTP/1.1 000 Zero\r\n%sContent-Length: 2\r\n\r\nhi",
    "status 000, no body": "HTTP/1.1 000 Zero\r\n%s\r\n",
    "status 099": "HTTP/1.1 099 Low\r\n%sContent-Length: 2\r\n\r\nhi",
    "status 600": "HTTP/1.1 600 High\r\n%sContent-Length: 2\r\n\r\nhi",
    "status 999": "HTTP/1.1 999 High\r\n%sContent-Length: 2\r\n\r\nhi",
    "status 20": "HTTP/1.1 20 Short\r\n%sContent-Length: 2\r\n\r\nhi",
    "status 2000": "HTTP/1.1 2000 Long\r\n%sContent-Length: 2\r\n\r\nhi",
    "status -200": "HTTP/1.1 -200 Minus\r\n%sContent-Length: 2\r\n\r\nhi",
    "status 101": "HTTP/1.1 101 Switching\r\n%sUpgrade: x\r\nConnection: upgrade\r\n\r\nhi",
    "no status": "HTTP/1.1\r\n%sContent-Length: 2\r\n\r\nhi",
    "letters": "HTTP/1.1 abc Letters\r\n%sContent-Length: 2\r\n\r\nhi",
    "another protocol": "SSH-2.0-x\r\n%sContent-Length: 2\r\n\r\nhi",
    "two lengths": "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nContent-Length: 9\r\n\r\nhi",
    "two heads": "HTTP/1.1 200 OK\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    "a field without a name": "HTTP/1.1 200 OK\r\n%s: x\r\nContent-Length: 2\r\n\r\nhi",
    "binary bytes": "\x00\x01\xfe\xff HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi",
}
# Sent as it is, and then the connection is closed.
CUT = {
    "cut in the status line": "HTTP/1.1 20",
    "cut in a field": "HTTP/1.1 200 OK\r\n%sContent-Le",
    "cut before the blank line": "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n",
    "nothing": "",
}


class Unreadable(Endpoint):
    """Endpoint of plain requests. A request whose field X-Play names one of HEADS or CUT gets that. With "reset MS" it
    gets the beginning of a signed answer without a length, at once, and a reset MS later; with "reset MS unread" the
    rest of its body isn't read meanwhile."""
    plays_once = {}

    async def start(self):
        await super().start()
        for listener in self.server.sockets:
            # A body is still being written when the reset comes.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        return self

    def lines(self, fields):
        return (f"X-Jaycove-Attempt-Id: {fields.get('x-jaycove-attempt-id', '')}\r\n"
                f"X-Jaycove-Server-Stamp: {self.name}\r\n")

    async def serve_one(self, reader, writer):
        start, fields = await read_head(reader)
        play = fields.get("x-play", "")
        attempt = fields.get("x-jaycove-attempt-id", "")
        if play.startswith("reset "):
            self.ran.append((attempt, start, b"", fields))
            if play.endswith("unread"):
                writer.transport.pause_reading()
            writer.write(f"HTTP/1.1 200 OK\r\n{self.lines(fields)}Connection: close\r\n\r\n".encode() + b"x" * 40)
            await writer.drain()
            await asyncio.sleep(int(play.split()[1]) / 1000)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return False
        body, _ = await read_body(reader, fields) if "content-length" in fields else (b"", True)
        if start.startswith("GET /v1/report "):
            return self.tell_state(writer)
        self.ran.append((attempt, start, body, fields))
        # With X-Play-First only the first endpoint that gets the request plays.
        if "x-play-first" in fields and Unreadable.plays_once.setdefault(attempt, self.name) != self.name:
            play = ""
        text = HEADS.get(play, CUT.get(play))
        if text is not None:
            writer.write(text.replace("%s", self.lines(fields)).encode("latin-1"))
            await writer.drain()
            if play in CUT:
                return False
            # The connection stays open: nothing but the bytes tells that the answer can't be read.
            await asyncio.sleep(DEADLINE_MS / 1000 + 2)
            return False
        data = f"{self.name} {attempt}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{self.lines(fields)}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        return True


async def start_all():
    """Starts two endpoints of region r1, so that the instance of r2 hands its requests over."""
    endpoints = [await Unreadable(f"plain-{i}", "plain", "z1").start() for i in range(2)]
    state = json.loads(configuration(3, [route("read", "safe", "plain"), route("write", "unsafe", "plain")]))
    state["limits"]["max-body-bytes"] = UPLOAD_BYTES
    await order("/v1/Config.Replace", json.dumps(state).encode())
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    return endpoints


async def play(entry, path, name, *headers):
    attempt = "%016x" % random.getrandbits(64)
    begun = time.monotonic()
    reply = await ask(entry, "POST", path, [("Host", "site.example"), ("X-Jaycove-Attempt-Id", attempt),
                                            ("X-Jaycove-Deadline-Ms", str(DEADLINE_MS)), ("X-Play", name), *headers])
    return reply, time.monotonic() - begun, attempt


async def heads():
    """A head that can't be read is told at once: 502 where the request may not be repeated, else another endpoint
    answers. It never reaches the caller as an answer."""
    endpoints = await start_all()
    faults = []
    for where, entry in zip(("here", "handed over"), ADDRESSES["entries"]):
        for name in [*HEADS, *CUT]:
            reply, took, attempt = await play(entry, "/write/x", name)
            runs = sum(1 for e in endpoints for r in e.ran if r[0] == attempt)
            if reply.status != 502 or took > AT_ONCE_S or runs != 1:
                faults.append(f"{where}, {name}: status {reply.status} after {took:.1f} s, sent {runs} times")
            # The budget of retries follows the number of requests.
            await asyncio.gather(*[play(entry, "/read/x", "") for _ in range(SOUND_REQUESTS)])
            reply, took, attempt = await play(entry, "/read/x", name, ("X-Play-First", "1"))
            if reply.status != 200 or attempt.encode() not in reply.body or took > AT_ONCE_S:
                faults.append(f"{where}, {name}, to be repeated: status {reply.status} after {took:.1f} s")
    assert not faults, "\n".join(faults)
    print(f"{2 * 2 * (len(HEADS) + len(CUT))} answers with unreadable heads told at once")


async def upload(entry, path, name):
    """Sends an upload over UPLOAD_S and returns the status line and whether the answer came whole, None for none."""
    host, port = entry.rsplit(":", 1)
    attempt = "%016x" % random.getrandbits(64)
    reader, writer = await asyncio.open_connection(host, int(port))
    begun = time.monotonic()
    try:
        writer.write((f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: {attempt}\r\n"
                      f"X-Jaycove-Deadline-Ms: {DEADLINE_MS}\r\nX-Play: {name}\r\n"
                      f"Content-Length: {UPLOAD_BYTES}\r\n\r\n").encode())
        for _ in range(10):
            writer.write(b"u" * (UPLOAD_BYTES // 10))
            await writer.drain()
            await asyncio.sleep(UPLOAD_S / 10)
        start, fields = await read_head(reader)
        _, whole = await read_body(reader, fields)
        return int(start.split()[1]), whole, time.monotonic() - begun
    except (OSError, asyncio.IncompleteReadError):
        return 0, False, time.monotonic() - begun
    finally:
        writer.close()


async def resets():
    """An answer without a length whose connection is reset isn't whole, however much of the upload was sent."""
    await start_all()
    counts, faults = {}, []
    for where, entry in zip(("here", "handed over"), ADDRESSES["entries"]):
        for pause_ms in (0, 50, 300):
            for path, how in (("/write/x", ""), ("/read/x", ""), ("/write/x", " unread"), ("/read/x", " unread")):
                for status, whole, took in await asyncio.gather(*[upload(entry, path, f"reset {pause_ms}{how}")
                                                                  for _ in range(2)]):
                    counts[status] = counts.get(status, 0) + 1
                    if status != 502 or took > UPLOAD_S + AT_ONCE_S:
                        faults.append(f"{where}, {path}, {pause_ms} ms{how}: {status}, whole {whole}, {took:.1f} s")
    assert not faults, "\n".join(faults)
    print("answers to uploads that were reset, by the status that callers got:", counts)


use(sys.argv[2])
asyncio.run({"heads": heads, "resets": resets}[sys.argv[1]]())
