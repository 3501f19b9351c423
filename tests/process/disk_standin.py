"""Full disks of state instances, and what the group does after them.
Usage: disk_standin.py SCRIPT DIR [ARGUMENTS], where SCRIPT names a function below and DIR holds addresses.json."""
import asyncio
import json
import os
import random
import resource
import sys
import time

from hosts_standin import ADDRESSES, ROUTES, ask, configuration, order, pid, start_all, until, use
import hosts_standin


def states():
    return [f"s{i + 1}" for i in range(len(ADDRESSES["control"]))]


# The last version that was sent.
LAST = [100]


def log_bytes(name):
    return os.path.getsize(os.path.join(hosts_standin.DIR, name, "log"))


def set_file_size(name, limit):
    resource.prlimit(pid(name), resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))


def full_size(name, rng):
    """Returns a size that files on the disk of NAME can't exceed: nothing can be written, not even a whole record, the
    next record only in part, or a few more of them."""
    return rng.choice([0, 64, log_bytes(name) + rng.randrange(1, 60), log_bytes(name) + rng.randrange(100, 3000)])


async def change(controls):
    LAST[0] += 1
    await order("/v1/Config.Replace", configuration(LAST[0], ROUTES), controls=controls)


async def change_zone(controls, zone):
    await order(f"/v1/Evacuation.Begin/{zone}", controls=controls)
    await order(f"/v1/Evacuation.Finish/{zone}", controls=controls)


async def fill(name, rng, full_s):
    """Fills the disk of NAME for FULL_S; changes go on."""
    others = [c for s, c in zip(states(), ADDRESSES["control"]) if s != name]
    set_file_size(name, full_size(name, rng))
    end = time.monotonic() + full_s
    while time.monotonic() < end:
        await change(others)
        await change_zone(others, "z9")
    set_file_size(name, resource.RLIM_INFINITY)


async def in_turn():
    """The disks are full one after another, never two at once, in random orders, each for a time that is given; changes
    go on meanwhile. After each round each instance must take changes and read the last one back."""
    rounds, rng, full_s = int(sys.argv[3]), random.Random(int(sys.argv[4])), float(sys.argv[5])
    await start_all()
    for number in range(rounds):
        names = rng.sample(states(), len(states()))
        gap_s = rng.choice([0, 0, 0.3, 1.2])
        print("round %d: %s, each full for %.1f s, %.1f s between them" % (number, names, full_s, gap_s), flush=True)
        for name in names:
            await fill(name, rng, full_s)
            await asyncio.sleep(gap_s)
        begun = time.monotonic()
        for control in ADDRESSES["control"]:
            await change([control])
            await change_zone([control], "z8")
        for control in ADDRESSES["control"]:
            await until(f"{control} to read back the last change", lambda c=control: reads_last(c))
        print("round %d: all in touch after %.2f s" % (number, time.monotonic() - begun), flush=True)


async def reads_last(control):
    reply = await ask(control, "GET", "/v1/Config.Read")
    return reply.status == 200 and json.loads(reply.body)["version"] == LAST[0]


if __name__ == "__main__":
    use(sys.argv[2])
    asyncio.run({"in_turn": in_turn}[sys.argv[1]]())
