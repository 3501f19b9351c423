"""Stand-ins of the second review: servers and clients, by PROTOCOL.md, on asyncio."""
import asyncio
import json
import random
import time


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return head[0], fields


async def read_body(reader, fields):
    """Return the body and whether it is complete."""
    body = b""
    try:
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"])), True
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += data[:-2]
        return await reader.read(), True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def ask(address, method, path, headers=(), body=b"", timeout=2.0):
    """Return status, fields, body and whether the answer is complete; status None if none came."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % h for h in headers]
            if not any(name == "Host" for name, _ in headers):
                lines.append("Host: " + address)
            if body or method != "GET":
                lines.append("Content-Length: %d" % len(body))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            start, fields = await read_head(reader)
            data, whole = await read_body(reader, fields)
            return int(start.split()[1]), fields, data, whole
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        return None, {}, repr(error).encode(), False
    finally:
        if writer is not None:
            writer.close()


class Server:
    """A server of SERVICE in ZONE.  A request runs for WORK_S; on paths with /s/ its answer is a stream of EVENTS
    events over that time."""

    def __init__(self, record, name, service, zone, controls, ip, work_s=0.02, events=10, beat_s=1.2, slots=64):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.controls, self.ip, self.work_s, self.events, self.beat_s = controls, ip, work_s, events, beat_s
        self.slots, self.born, self.sequence, self.state = slots, int(time.time() * 1000), 0, "ready"
        self.running, self.ran, self.ended, self.cut = 0, [], 0, 0
        self.warm_at = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % (self.ip, self.server.sockets[0].getsockname()[1])
        self.task = asyncio.create_task(self.beat())
        return self

    def warmup_left_ms(self):
        return max(0, int((self.warm_at - time.monotonic()) * 1000))

    async def beat(self):
        await asyncio.sleep(random.random() * self.beat_s)
        while True:
            await self.beat_once()
            await asyncio.sleep(self.beat_s)

    async def beat_once(self):
        self.sequence += 1
        body = json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                           "slots": self.slots, "state": self.state, "warmup-left-ms": self.warmup_left_ms(),
                           "sequence": self.sequence, "born": self.born}).encode()
        for control in random.sample(self.controls, len(self.controls)):
            status, _, _, _ = await ask(control, "POST", "/v1/Instances.Heartbeat/" + self.name, body=body,
                                        timeout=1.0)
            if status == 200:
                return True
        return False

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        writer.close()

    async def serve_one(self, reader, writer):
        start, fields = await read_head(reader)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        if start.startswith("GET /v1/report "):
            text = json.dumps({"phase": "both", "sequence": 0, "born": self.born}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
            return True
        if start.startswith("GET /healthz "):
            writer.write(("HTTP/1.1 200 OK\r\nX-Jaycove-Instance-Id: %s\r\nX-Jaycove-Warmup-Ms: %d\r\n"
                          "Content-Length: 0\r\n\r\n" % (self.name, self.warmup_left_ms())).encode())
            return True
        attempt = fields.get("x-jaycove-attempt-id", "")
        head = "X-Jaycove-Attempt-Id: %s\r\nX-Jaycove-Server-Load: %d,0,%d\r\n" % (attempt, self.running, self.slots)
        if fields.get("x-jaycove-expect-instance", self.name) != self.name:
            writer.write(("HTTP/1.1 421 Misdirected\r\n%sX-Jaycove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                          % head).encode())
            return True
        return await self.run(start, fields, body, attempt, head, writer)

    async def run(self, start, fields, body, attempt, head, writer):
        self.running += 1
        self.ran.append((time.monotonic(), attempt, start, body))
        head += "X-Jaycove-Server-Stamp: %s.%s\r\n" % (self.name, attempt)
        try:
            if "/s/" not in start.split()[1]:
                await asyncio.sleep(self.work_s)
                text = ("%s %s" % (self.name, attempt)).encode()
                writer.write(("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (head, len(text))).encode() + text)
                self.ended += 1
                return True
            writer.write(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                          % head).encode())
            for event in range(int(fields.get("last-event-id", -1)) + 1, self.events):
                data = b"id: %d\ndata: token-%d\n\n" % (event, event)
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(self.work_s / self.events)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.ended += 1
            return True
        except (ConnectionError, OSError):
            self.cut += 1
            return False
        finally:
            self.running -= 1
