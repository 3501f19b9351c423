"""An evacuation that the operator asks of a core machine which was frozen during the readmission is acknowledged there
and is in force nowhere."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig as r

ZONE = "hamburg-a"
FREEZE_S = 6.0


async def run(rig, trouble):
    here = r.Server("i-hamburg", "xano55b", ZONE)
    others = [r.Server("i-" + zone, "xano55b", zone) for zone in r.ZONES if zone != ZONE]
    await rig.boot(r.desired_state(7), [here] + others)
    first, second, frozen = rig.cores
    for machine in rig.edges:
        rig.tasks.append(asyncio.create_task(r.client(rig, machine, 0.1)))
    await asyncio.sleep(2)
    if not here.arrived:
        raise r.CannotRun("the server in %s gets no requests" % ZONE)

    if not await rig.operator("POST", "/v1/Evacuation.Begin/" + ZONE):
        raise r.CannotRun("the first evacuation isn't acknowledged")
    await asyncio.sleep(3)
    # One core machine freezes. Meanwhile the zone is taken back at the others.
    if trouble:
        rig.signal(frozen, signal.SIGSTOP)
    frozen_at = time.monotonic()
    await asyncio.sleep(2.5)
    if not await rig.operator("POST", "/v1/Evacuation.Finish/" + ZONE, cores=[first, second]):
        raise r.CannotRun("the readmission isn't acknowledged")
    # The operator asks the machine that wakes within the second that it waits for an answer.
    await asyncio.sleep(frozen_at + FREEZE_S - 0.4 - time.monotonic())
    second_order = asyncio.create_task(
        rig.operator("POST", "/v1/Evacuation.Begin/" + ZONE, cores=[frozen, first, second]))
    await asyncio.sleep(0.4)
    if trouble:
        rig.signal(frozen, signal.SIGCONT)
    calm = time.monotonic()
    if not await second_order:
        raise r.CannotRun("the second evacuation isn't acknowledged")
    acked = time.monotonic()

    # Judged are requests later than evacuate-ms after the ack, and only once all machines have been in touch since
    # contact-ms.
    begin = max(acked + r.EVACUATE_S, calm + r.CONTACT_S + 0.5)
    await asyncio.sleep(begin + 8 - time.monotonic())
    late = [attempt for at, attempt in here.arrived if at >= begin]
    rig.record("%d requests reached the server in %s over %.1f s after the ack" % (len(late), ZONE, begin - acked))
    for core in rig.cores:
        for line in rig.log_lines(core, "event=order"):
            rig.record("%s: %s" % (core.name, line))
    return not late


if __name__ == "__main__":
    r.main(run, os.path.dirname(os.path.abspath(__file__)), ["vantaa-a", "hamburg-a"])
