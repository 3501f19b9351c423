"""Clients that send bytes without end to each listener in turn, many at once and in each way listed below: each
connection must end, other callers must be served meanwhile, and descriptors and memory must stay bounded.
Usage: endless_callers.py DIR."""
import asyncio
import os
import sys
import time

import hosts_standin
from hosts_standin import ADDRESSES, Endpoint, configuration, in_force, order, pid, request, route

AT_ONCE = 20
DRIP_S = 0.1
QUICK_BYTES = 16 * 1024
# Longest time until a connection must end: the timeouts of the head and of a stalled body, and a margin for a
# busy machine.
END_MAX_S = 60
DESCRIPTOR_SLACK = 10
RSS_MAX_KB = 160 * 1024


def quick(data):
    """Returns DATA repeated into one large write, and a pause of 0."""
    return data * max(1, QUICK_BYTES // len(data)), 0


def drip(data):
    """Returns DATA and the pause after each write of it."""
    return data, DRIP_S


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


HEAD = (b"POST %s HTTP/1.1\r\nHost: site.example\r\nX-Jaycove-Attempt-Id: 0123456789abcdef\r\n"
        b"X-Jaycove-Deadline-Ms: 15000\r\nContent-Type: application/json\r\n")
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
KINDS = {
    "blank lines before the head, quick": (b"", quick(b"\r\n")),
    "blank lines before the head, dripping": (b"", drip(b"\r\n")),
    "method without end, quick": (b"", quick(b"A")),
    "target without end, quick": (b"GET /", quick(b"a")),
    "target without end, dripping": (b"GET /", drip(b"a")),
    "head of many fields, quick": (HEAD, quick(b"X-A: b\r\n")),
    "head of many fields, dripping": (HEAD, drip(b"X-A: b\r\n")),
    "head of one endless line, quick": (HEAD + b"X-A: ", quick(b"a")),
    "head of one endless line, dripping": (HEAD + b"X-A: ", drip(b"a")),
    "body of a length far too large": (HEAD + b"Content-Length: 1099511627776\r\n\r\n", quick(b"a")),
    "body of a small length, dripping": (HEAD + b"Content-Length: 100000\r\n\r\n", drip(b"a")),
    "chunked body, quick": (CHUNKED, quick(chunk(b"a" * 1000))),
    "chunked body, dripping": (CHUNKED, drip(chunk(b"a"))),
    "chunk size without end, quick": (CHUNKED, quick(b"0")),
    "chunk size without end, dripping": (CHUNKED, drip(b"0")),
    "chunk extension, quick": (CHUNKED + b"1;", quick(b"a")),
    "chunk extension, dripping": (CHUNKED + b"1;", drip(b"a")),
    "trailers, quick": (CHUNKED + b"0\r\n", quick(b"X-A: b\r\n")),
    "trailers, dripping": (CHUNKED + b"0\r\n", drip(b"X-A: b\r\n")),
    "after a refused request, quick": (b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", quick(b"\x00")),
}

# What a peer of the RPC between instances sends before it is authenticated.
RPC_KINDS = {
    "no record, quick": (b"", quick(b"a")),
    "record too long, quick": (b"\x7f\xff\xff\xff", quick(b"a")),
    "record of a small length, dripping": (b"\x00\x00\x04\x00", drip(b"a")),
    "empty records, quick": (b"", quick(b"\x00\x00\x00\x00")),
    "empty records, dripping": (b"", drip(b"\x00\x00\x00\x00")),
}


async def send(address, once, repeated):
    """Sends ONCE, then REPEATED until the other side closes; answers are read and discarded."""
    host, port = address.rsplit(":", 1)
    data, pause = repeated
    reader, writer = await asyncio.open_connection(host, int(port))

    async def discard():
        while await reader.read(65536):
            pass

    reads = asyncio.create_task(discard())
    try:
        writer.write(once)
        while not reads.done():
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(pause)
    except ConnectionError:
        pass
    finally:
        reads.cancel()
        await asyncio.gather(reads, return_exceptions=True)
        writer.close()


def descriptors(name):
    return len(os.listdir("/proc/%d/fd" % pid(name)))


def memory_kb(name):
    with open("/proc/%d/status" % pid(name)) as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


def cpu_s(name):
    with open("/proc/%d/stat" % pid(name)) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def check_other_callers(done, faults):
    while not done.is_set():
        reply = await request(ADDRESSES["entries"][0], "GET", "/read/x")
        if reply.status != 200 or not reply.whole:
            faults.append("another caller got %d" % reply.status)
        await asyncio.sleep(0.1)


async def run_kinds(kinds, listener_name, name, address, path):
    """Sends all KINDS at once to the listener ADDRESS of the process NAME and returns whether no fault was found."""
    before, cpu_before = descriptors(name), cpu_s(name)
    faults, done = [], asyncio.Event()
    others = asyncio.create_task(check_other_callers(done, faults))
    tasks = {kind: [asyncio.create_task(send(address, once.replace(b"%s", path), repeated)) for _ in range(AT_ONCE)]
             for kind, (once, repeated) in kinds.items()}
    started = time.monotonic()
    await asyncio.wait(sum(tasks.values(), []), timeout=END_MAX_S)
    elapsed_s, memory = time.monotonic() - started, memory_kb(name)
    for kind, sends in tasks.items():
        unfinished = [task for task in sends if not task.done()]
        outcome = "%d of %d go on after %d s" % (len(unfinished), AT_ONCE, END_MAX_S) if unfinished else "withstood"
        print("%s: %s: %s" % (listener_name, kind, outcome), flush=True)
        if unfinished:
            faults.append("connections without end")
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*sends, return_exceptions=True)
    done.set()
    await others
    for _ in range(100):
        if descriptors(name) <= before + DESCRIPTOR_SLACK:
            break
        await asyncio.sleep(0.1)
    else:
        faults.append("%d descriptors, before %d" % (descriptors(name), before))
    if memory > RSS_MAX_KB:
        faults.append("%d KB of memory" % memory)
    if "FIGURES" in os.environ:
        print("%s: %.1f s, %d KB, %.2f s of processor" % (listener_name, elapsed_s, memory, cpu_s(name) - cpu_before),
              flush=True)
    for fault in sorted(set(faults)):
        print("%s: %d times %s" % (listener_name, faults.count(fault), fault), flush=True)
    return not faults


async def run_all(listeners):
    return all([await run_kinds(RPC_KINDS if listener[0] == "rpc" else KINDS, *listener) for listener in listeners])


async def main():
    hosts_standin.use(sys.argv[1])
    await asyncio.gather(*(Endpoint(f"plain-{i}", "plain", "z1").start() for i in range(2)))
    await order("/v1/Config.Replace", configuration(1, [route("read", "safe", "plain"),
                                                        route("write", "unsafe", "plain")]))
    await in_force(ADDRESSES["entries"], "/read/x", 200)
    host, operators = ADDRESSES["operators"][0].split(":")
    entry = [("callers", "e1", ADDRESSES["entries"][0], b"/write/x"),
             ("ready", "e1", ADDRESSES["ready"][0], b"/ready"),
             ("operators", "e1", ADDRESSES["operators"][0], b"/v1/drain"),
             ("hand-over", "e1", "%s:%d" % (host, int(operators) + 1), b"/write/x"),
             ("rpc", "e1", ADDRESSES["rpc"][0], b"")]
    state = [("control", "s1", ADDRESSES["control"][0], b"/v1/Config.Replace"),
             ("reports", "s1", ADDRESSES["control"][0], b"/v1/Instances.Heartbeat/plain-0"),
             ("directory", "s1", ADDRESSES["directory"][0], b"/v1/Directory.Register")]
    return 0 if all(await asyncio.gather(run_all(entry), run_all(state))) else 1


sys.exit(asyncio.run(main()))
