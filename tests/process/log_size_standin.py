"""Changes of a large configuration, and what the log of the state instances takes meanwhile and at their next start.
Usage: log_size_standin.py DIR BUILD"""
import asyncio
import json
import os
import subprocess
import sys

from hosts_standin import ADDRESSES, ask, configuration, kill_now, order, route, until, use

MB = 1024 * 1024
# Half of the memory and of the disk of a state instance on the users' machines.
MEMORY_MAX, DISK_MAX = 256 * MB // 2, 128 * MB // 2
# With these routes a configuration takes some 3.8 MB, of 4 MB that an operator may send.
ROUTES = 14500
CHANGES = 30
NAMES = ["s1", "s2", "s3"]


def large(version):
    routes = [route("r-%05d" % i, "stream", "engine", **{"timeout-ms": 10000 + version}) for i in range(ROUTES)]
    return configuration(version, routes)


async def check_usage(control):
    reply = await ask(control, "GET", "/metrics")
    metrics = dict(line.rsplit(" ", 1) for line in reply.body.decode().splitlines() if not line.startswith("#"))
    memory, disk = (float(metrics[name + "{}"]) for name in ("jaycove_memory_peak_bytes", "jaycove_log_file_bytes"))
    print("%s: at most %d MB of memory, %d MB on the disk" % (control, memory / MB, disk / MB), flush=True)
    assert memory <= MEMORY_MAX and disk <= DISK_MAX, (memory, disk)


async def reads(version):
    for control in ADDRESSES["control"]:
        reply = await ask(control, "GET", "/v1/Config.Read")
        if reply.status != 200 or json.loads(reply.body)["version"] != version:
            return False
    return True


async def main():
    for version in range(1, CHANGES + 1):
        await order("/v1/Config.Replace", large(version))
    for control in ADDRESSES["control"]:
        await check_usage(control)
    await asyncio.gather(*(kill_now(name) for name in NAMES))
    started = []
    try:
        for name in NAMES:
            command = [os.path.join(sys.argv[2], "jaycove-state"), "--settings",
                       os.path.join(sys.argv[1], name + ".json")]
            with open(os.path.join(sys.argv[1], name + "-again.log"), "wb") as log:
                started.append(subprocess.Popen(command, stdout=log, stderr=log))
        await until("all to read back version %d" % CHANGES, lambda: reads(CHANGES))
        for control in ADDRESSES["control"]:
            await check_usage(control)
    finally:
        for process in started:
            process.kill()
            process.wait()


if __name__ == "__main__":
    use(sys.argv[1])
    asyncio.run(main())
