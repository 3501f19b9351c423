#!/usr/bin/env python3
"""Works out docs/CAPACITY.md's table from the slopes that load/slopes.sh measured.

capacity.py SLOPES.csv            print the table
capacity.py --write SLOPES.csv    put it into docs/CAPACITY.md
capacity.py --check SLOPES.csv    fail where the page differs
"""
import csv
import pathlib
import sys

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"
BEGIN, END = "<!-- table: load/capacity.py -->", "<!-- end of table -->"

DAEMONS = 380
STATE_INSTANCES = 25
ENTRY_INSTANCES = DAEMONS - STATE_INSTANCES
ENDPOINTS = 3400
ZONES = 28
REGIONS = 11
PRODUCTS = 11000
CHANGES_PER_S = 9000 / 86400
REQUESTS_PER_S = 3800

CPU_LIMIT_PERCENT = 1.7
MEMORY_LIMIT_MB = 64
BYTES_LIMIT_PER_S = 5000

PEERS_MEASURED = 3
ZONE_ENTRIES = ENTRY_INSTANCES / ZONES
ZONE_ENDPOINTS = ENDPOINTS / ZONES
ENTRY_ENDPOINTS = ENDPOINTS / ENTRY_INSTANCES
STATE_FOLLOWERS = ENTRY_INSTANCES / STATE_INSTANCES


def read(file):
    """Returns rows with numbers in the columns that hold some."""
    with open(file, newline="") as rows:
        found = list(csv.DictReader(rows))
    for row in found:
        for column in ("count", "seconds", "cpu_ms", "memory_kb", "rpc_bytes"):
            row[column] = float(row[column])
    return found


def fit(points):
    """Returns intercept and slope of a least-squares line through (x, y)."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    spread = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / spread
    return my - slope * mx, slope


class Slopes:
    """What each unit costs a process, from the measured rows."""

    def __init__(self, rows):
        self.rows = rows

    def line(self, kind, process, column, rate=False):
        """Returns (base, per unit) of COLUMN, a second where RATE is set."""
        points = [(row["count"], row[column] / (row["seconds"] if rate else 1))
                  for row in self.rows if row["kind"] == kind and row["process"] == process]
        return fit(points)

    def change(self, process, column):
        """Returns COLUMN for one change at each number of objects."""
        return [(row["count"], row[column] / int(row["kind"].split("-")[1]))
                for row in self.rows if row["kind"].startswith("changes-") and row["process"] == process]

    def object_kb(self, process):
        """Returns the memory of a product and its route, as held after changes were made."""
        return fit([(row["count"], row["memory_kb"]) for row in self.rows
                    if row["kind"].startswith("changes-") and row["process"] == process])[1]

    def at_size(self, process, column):
        """Returns COLUMN for one change at the greatest number of objects measured."""
        return self.change(process, column)[-1][1]


def entry(slopes):
    """Returns the parts of an entry instance: (what, unit count, cpu %, MB, bytes/s)."""
    idle_cpu, announce_cpu = slopes.line("members", "e1", "cpu_ms", rate=True)
    base_kb, member_kb = slopes.line("members", "e1", "memory_kb")
    idle_bytes, announce_bytes = slopes.line("members", "e1", "rpc_bytes", rate=True)
    _, shared_cpu = slopes.line("members", "e2", "cpu_ms", rate=True)
    _, shared_kb = slopes.line("members", "e2", "memory_kb")
    object_kb = slopes.object_kb("e2")
    link = max(idle_bytes, slopes.line("members", "e2", "rpc_bytes", rate=True)[0]) / PEERS_MEASURED
    zone_peers = ZONE_ENTRIES - 1
    return [
        ("process at rest", "", max(idle_cpu, 0) / 10, base_kb / 1024, 0),
        ("links to the zone's entry instances and one state instance", f"{zone_peers + 1:.1f} links", 0, 0,
         link * (zone_peers + 1)),
        ("endpoints that announce themselves here", f"{ENTRY_ENDPOINTS:.1f} endpoints",
         max(announce_cpu, 0) * ENTRY_ENDPOINTS / 10, member_kb * ENTRY_ENDPOINTS / 1024,
         max(announce_bytes, 0) / PEERS_MEASURED * ENTRY_ENDPOINTS * zone_peers),
        ("endpoints of the zone told by its other instances", f"{ZONE_ENDPOINTS:.0f} endpoints",
         max(shared_cpu, 0) * ZONE_ENDPOINTS / 10, max(shared_kb, member_kb) * ZONE_ENDPOINTS / 1024, 0),
        ("configuration in force", f"{PRODUCTS} products and routes", 0, object_kb * PRODUCTS / 1024, 0),
        ("changes of the configuration", f"{CHANGES_PER_S:.3f}/s",
         slopes.at_size("e2", "cpu_ms") * CHANGES_PER_S / 10, 0,
         0),
    ]


def state(slopes):
    """Returns the parts of a state instance, as of an entry instance."""
    idle_cpu, _ = slopes.line("members", "s1", "cpu_ms", rate=True)
    base_kb, _ = slopes.line("members", "s1", "memory_kb")
    idle_bytes, _ = slopes.line("members", "s1", "rpc_bytes", rate=True)
    object_kb = slopes.object_kb("s1")
    link = max(idle_bytes, slopes.line("members", "e2", "rpc_bytes", rate=True)[0]) / PEERS_MEASURED
    followers = STATE_FOLLOWERS
    change_bytes = slopes.at_size("s1", "rpc_bytes") / PEERS_MEASURED
    return [
        ("process at rest", "", max(idle_cpu, 0) / 10, base_kb / 1024, 0),
        ("links to followers and replicas", f"{followers + 4:.1f} links", 0, 0, link * (followers + 4)),
        ("configuration", f"{PRODUCTS} products and routes", 0, object_kb * PRODUCTS / 1024, 0),
        ("changes told to followers", f"{CHANGES_PER_S:.3f}/s to {followers:.1f}",
         slopes.at_size("s1", "cpu_ms") * CHANGES_PER_S / 10, 0, change_bytes * CHANGES_PER_S * followers),
    ]


def verdict(value, limit):
    return "holds" if value <= limit else f"over by {value / limit:.1f} times"


def table(name, parts):
    out = [f"### {name}", "", "| part | units at that size | processor, % of a core | memory, MB | bytes/s to peers |",
           "|---|---|---|---|---|"]
    for what, units, cpu, memory, sent in parts:
        out.append(f"| {what} | {units} | {cpu:.3f} | {memory:.1f} | {sent:.0f} |")
    cpu, memory, sent = (sum(part[i] for part in parts) for i in (2, 3, 4))
    out.append(f"| **sum** | | **{cpu:.3f}** | **{memory:.1f}** | **{sent:.0f}** |")
    out.append(f"| limit | | {CPU_LIMIT_PERCENT} | {MEMORY_LIMIT_MB} | {BYTES_LIMIT_PER_S} |")
    out.append(f"| verdict | | {verdict(cpu, CPU_LIMIT_PERCENT)} | {verdict(memory, MEMORY_LIMIT_MB)} "
               f"| {verdict(sent, BYTES_LIMIT_PER_S)} |")
    return out + [""]


def measured(slopes):
    """Returns the slopes themselves."""
    out = ["### Slopes", "", "| slope | process | processor, ms | memory, KB | bytes to peers |", "|---|---|---|---|---|"]
    for process, role in (("e1", "entry that endpoints announce to"), ("e2", "entry of the same zone"),
                          ("e3", "entry of another region"), ("s1", "state instance")):
        cpu, memory, sent = (slopes.line("members", process, column, rate)
                             for column, rate in (("cpu_ms", True), ("memory_kb", False), ("rpc_bytes", True)))
        out.append(f"| at rest, a second | {role} | {max(cpu[0], 0):.2f} | {memory[0]:.0f} | {sent[0]:.0f} |")
        out.append(f"| an endpoint, a second | {role} | {cpu[1]:.4f} | {memory[1]:.2f} | {sent[1]:.2f} |")
    for process, role in (("e2", "entry"), ("s1", "state instance")):
        out.append(f"| a product and its route | {role} | | {slopes.object_kb(process):.2f} | |")
        costs = zip(slopes.change(process, "cpu_ms"), slopes.change(process, "rpc_bytes"))
        for (objects, cpu), (_, sent) in costs:
            out.append(f"| a change at {objects:.0f} products | {role} | {cpu:.1f} | | {sent:.0f} |")
    return out + [""]


def page_table(file):
    slopes = Slopes(read(file))
    return "\n".join(table("Entry instance", entry(slopes)) + table("State instance", state(slopes))
                     + measured(slopes)).rstrip()


def main():
    mode, file = (sys.argv[1], sys.argv[2]) if len(sys.argv) > 2 else ("", sys.argv[1])
    text = page_table(file)
    if mode == "":
        print(text)
        return 0
    page = PAGE.read_text()
    head, rest = page.split(BEGIN)
    old, tail = rest.split(END)
    if mode == "--check":
        return 0 if old.strip() == text.strip() else 1
    PAGE.write_text(f"{head}{BEGIN}\n\n{text}\n\n{END}{tail}")
    return 0


sys.exit(main())
