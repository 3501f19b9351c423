"""A server that deregisters while an edge machine is cut off from the core goes on getting that machine's requests
after the cut, for as long as it answers."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig as r

ZONE = "hamburg-a"
CUT_S, LINGER_S = 3.0, 8.0


class Leaving(r.Server):
    """A server that never reports that it drains: it deregisters first and goes on serving."""
    has_left = False

    async def leave(self):
        """Deregisters until that is acknowledged. Returns the time of the ack."""
        self.has_left = True
        self.sequence += 1
        body = r.json.dumps({"sequence": self.sequence, "born": self.born, "service": self.service,
                             "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
                             "state": "draining", "warmup-left-ms": 0}).encode()
        for core in random.sample(self.rig.cores, len(self.rig.cores)):
            status, _, _ = await self.rig.ask(self.rig.control(core), "POST",
                                              "/v1/Instances.Deregister/" + self.name, body)
            self.rig.record("server %s deregisters at %s: %d" % (self.name, core.name, status))
            if 200 <= status < 300:
                return time.monotonic()
        raise r.CannotRun("the server isn't deregistered")

    async def report(self):
        while not self.has_left:
            await self.report_once()
            await asyncio.sleep(1.2)

    def connection(self):
        return "Connection: close\r\n" if self.has_left else ""


async def run(rig, trouble):
    leaving, staying = Leaving("i-hamburg-1", "xano55b", ZONE), Leaving("i-hamburg-2", "xano55b", ZONE)
    edge = rig.edges[0]
    gate = await rig.put_behind_gate(edge)
    await rig.boot(r.desired_state(7), [leaving, staying] + [r.Server("i-" + zone, "xano55b", zone)
                                                             for zone in r.ZONES if zone != ZONE])
    for machine in rig.edges:
        rig.tasks.append(asyncio.create_task(r.client(rig, machine, 0.1 if machine.zone == ZONE else 0.3)))
    await asyncio.sleep(2)
    if not leaving.arrived:
        raise r.CannotRun("the server gets no requests")

    if trouble:
        gate.cut()
    cut_at = time.monotonic()
    await asyncio.sleep(0.3)
    acked = await leaving.leave()
    await asyncio.sleep(cut_at + CUT_S - time.monotonic())
    if trouble:
        gate.join()
    calm = time.monotonic()
    # Judged are requests later than drain-ms after the ack, once the edge machine has been in touch since contact-ms.
    begin = max(acked + r.DRAIN_S, calm + r.CONTACT_S + 0.5)
    await asyncio.sleep(acked + r.DRAIN_S + LINGER_S - time.monotonic())
    rig.record("server %s exits" % leaving.name)
    await leaving.stop()
    late = [at for at, _ in leaving.arrived if at >= begin]
    rig.record("%d requests reached the server from %.1f to %.1f s after the ack of its leave"
               % (len(late), begin - acked, r.DRAIN_S + LINGER_S))
    await asyncio.sleep(1)
    for line in rig.log_lines(edge, "event=endpoint") + rig.log_lines(edge, "event=peer"):
        rig.record("%s: %s" % (edge.name, line))
    return not late


if __name__ == "__main__":
    r.main(run, os.path.dirname(os.path.abspath(__file__)), 
           [ZONE, ZONE, "arlanda-a", "arlanda-a", "vantaa-a", "vantaa-a", "vantaa-a"])
