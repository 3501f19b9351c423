"""Case 7: the core is killed after many changes of a desired state with many routes.  See claim.txt."""
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from platform_standin import Daemon, GROUP_KEY, Rig, TROUBLE, call, free_ports  # noqa: E402

# Of the site upamoja-records-grown: six core machines, of which two may be lost.
PLACES = [("dar-a", "dar"), ("arusha-a", "arusha"), ("mwanza-a", "mwanza"),
          ("dar-b", "dar"), ("arusha-b", "arusha"), ("mwanza-b", "mwanza")]
CORE_MEMORY_MB = 256
# Routes of the site, and five big_config of its list, each of which adds 1400.
ROUTES = 48 + 5 * 1400
# "A day may be long and may contain hundreds of changes."  The core is killed after the change with which each of its
# machines has this much on its disk, of 128 MB.
CHANGES_MAX = 130
DISK_USED_MB = 100
RECOVER_S, CONTACT_S = 15, 6
GIVE_UP_S = 30


def desired_state(version):
    """A complete desired state with routes of the two shapes that PROTOCOL.md shows.  Each version sets another
    timeout."""
    routes = []
    for i in range(ROUTES):
        if i % 2 == 0:
            routes.append({"name": "r-%07d" % i, "host": "ficu95.example", "path-prefix": "/pu%05d/" % i,
                           "route-kind": "stream", "timeout-ms": 10000 + version, "slo-ms": 2000, "priority": 1,
                           "service": "huvo11a", "max-attempts": 1, "sticky": True, "resumable": False,
                           "gap-slo-ms": 800, "home-regions": []})
        else:
            routes.append({"name": "r-%07d" % i, "host": "ficu95.example", "path-prefix": "/lo%05d/" % i,
                           "route-kind": "stream", "timeout-ms": 12000, "slo-ms": 1200, "priority": 2,
                           "split": [{"service": "huvo11a", "weight": 90}, {"service": "wuno96b", "weight": 10}],
                           "max-attempts": 2, "sticky": True, "resumable": True, "gap-slo-ms": 800,
                           "home-regions": []})
    services = [{"name": n, "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": False,
                 "warmup-s": 0.0, "warmup-per-s": 0.0} for n in ("huvo11a", "wuno96b")]
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                                  "idle-timeout-ms": 15000}}, separators=(",", ":")).encode()


def main():
    rig = Rig(HERE)
    try:
        return play(rig)
    finally:
        rig.end()


def play(rig):
    record = rig.record
    ips = ["127.0.41.%d" % (i + 1) for i in range(len(PLACES))]
    rpc, control, directory = free_ports(3, ips)
    seeds = ["%s:%d" % (ip, control) for ip in ips[:3]]
    addresses = ["%s:%d" % (ip, control) for ip in ips]
    for ip, (zone, region) in zip(ips, PLACES):
        data = os.path.join(rig.folder, "data-" + ip)
        os.mkdir(data)
        settings = {"routing": "hosts", "group": "jaycove", "name": ip, "region": region, "availability_zone": zone,
                    "zones": [{"name": z, "region": r} for z, r in PLACES], "rpc": "%s:%d" % (ip, rpc),
                    "operators": "%s:%d" % (ip, control), "directory": "%s:%d" % (ip, directory),
                    "group_key": GROUP_KEY, "operator_token": "", "data_folder": data, "state_seeds": seeds,
                    "first_start": True, "losses": 2, "report_ms": 1200, "contact_ms": CONTACT_S * 1000,
                    "snapshot_entries": 64}
        rig.daemons.append(Daemon(rig, "state-" + ip, "jaycove-state", settings, CORE_MEMORY_MB))
    for daemon in rig.daemons:
        daemon.start()
    rig.watch()

    def send(version, attempts):
        body = desired_state(version)
        for attempt in range(attempts):
            address = addresses[(version + attempt) % len(addresses)]
            status, _ = call(address, "POST", "/v1/Config.Replace", body, timeout=5.0)
            if status == 200:
                record("operator: version %d, %d bytes, acknowledged by %s" % (version, len(body), address))
                return True
            time.sleep(0.2)
        return False

    def disk_mb(daemon):
        try:
            return os.path.getsize(os.path.join(daemon.settings["data_folder"], "log")) / 1e6
        except FileNotFoundError:
            return 0

    acknowledged = 0
    while acknowledged < CHANGES_MAX and min(map(disk_mb, rig.daemons)) < DISK_USED_MB:
        if not send(acknowledged + 1, 100 if acknowledged == 0 else 20):
            record("version %d is not acknowledged: the case can't run" % (acknowledged + 1))
            return 2
        acknowledged += 1

    def used():
        return ", ".join("%s %d MB, peak %d MB, disk %.1f MB" % (d.name, d.resident_mb(), d.peak_mb, disk_mb(d))
                         for d in rig.daemons)

    record("before: " + used())
    if any(d.memory_kills for d in rig.daemons):
        record("a process was over its memory before the disruption: the case can't run")
        return 2
    if TROUBLE:
        record("all processes of the core are killed at the same moment")
        for daemon in rig.daemons:
            daemon.process.kill()

    # The operator reads back what was acknowledged.
    asked = time.monotonic()
    while time.monotonic() - asked < GIVE_UP_S:
        for address in addresses:
            status, body = call(address, "GET", "/v1/Config.Read")
            got = json.loads(body)["version"] if status == 200 else None
            record("operator: read at %s gives %s, version %s" % (address, status, got))
            if status == 200 and got < acknowledged:
                record("BROKEN: an older version is read back")
                return 1
            if status == 200:
                record("after: " + used())
                record("held: version %d is read back %.1f s later" % (got, time.monotonic() - asked))
                return 0
            if time.monotonic() - asked >= GIVE_UP_S:
                break
        time.sleep(0.5)
    record("after: " + used())
    record("starts and kills for memory: " + ", ".join("%s %d and %d" % (d.name, d.starts, d.memory_kills)
                                                       for d in rig.daemons))
    record("BROKEN: version %d was acknowledged and is not read back for %d s after the core was killed; "
           "recover-s is %d, contact-ms %d" % (acknowledged, GIVE_UP_S, RECOVER_S, CONTACT_S * 1000))
    return 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as error:  # a fault of the case, not of the rule
        print("the case can't run: %r" % error, file=sys.stderr)
        sys.exit(2)
