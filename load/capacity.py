#!/usr/bin/env python3
"""Works out docs/CAPACITY.md's tables from the slopes that `fleetbench sweep` measured.

capacity.py SLOPES.csv            print the tables
capacity.py --write SLOPES.csv    put them into docs/CAPACITY.md
capacity.py --check SLOPES.csv    fail where the page differs

A row of SLOPES.csv is what a role's instances spent in one part at one size: the middle and the busiest of them.
"""
import csv
import math
import pathlib
import sys

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"
BEGIN, END = "<!-- table: load/capacity.py -->", "<!-- end of table -->"

DAEMONS = 380
# What a daemon may spend for control at that size.
LIMITS = {"processor, %": 1.7, "memory, MB": 64, "kB a second": 5}
# Control is all that these do; others carry requests too.
CONTROL_ONLY = "state"


def read(file):
    """Returns {(role, part): [(instances, middle, busiest)]} in the order of the file."""
    found = {}
    with open(file, newline="") as rows:
        for row in csv.DictReader(rows):
            sizes = found.setdefault((row["role"], row["part"]), [])
            sizes.append((float(row["instances"]), float(row["middle"]), float(row["busiest"])))
    return found


def power(sizes):
    """Returns the power of the instances that the busiest grows with: a least-squares line in logarithms."""
    points = [(math.log(n), math.log(busiest)) for n, _, busiest in sizes]
    mx = sum(x for x, _ in points) / len(points)
    my = sum(y for _, y in points) / len(points)
    return sum((x - mx) * (y - my) for x, y in points) / sum((x - mx) ** 2 for x, _ in points)


def carried_on(sizes):
    """Returns the busiest at DAEMONS instances, by the greatest size and the power, from 0 to 2."""
    n, _, busiest = sizes[-1]
    return busiest * (DAEMONS / n) ** min(max(power(sizes), 0), 2)


def verdict(role, part, value):
    limit = LIMITS.get(part)
    if role != CONTROL_ONLY or limit is None:
        return ""
    return f"{limit}: holds" if value <= limit else f"{limit}: over by {value / limit:.0f} times"


def tables(file):
    found = read(file)
    counts = [round(n) for n, _, _ in next(iter(found.values()))]
    out = []
    for role in dict.fromkeys(role for role, _ in found):
        out += [f"### {role.capitalize()} instance, middle / busiest", "",
                "| part | " + " | ".join(str(n) for n in counts) + f" | power | busiest at {DAEMONS} | limit |",
                "|---|" + "---|" * (len(counts) + 3)]
        for (of, part), sizes in found.items():
            if of != role:
                continue
            cells = " | ".join(f"{middle:g} / {busiest:g}" for _, middle, busiest in sizes)
            value = carried_on(sizes)
            out.append(f"| {part} | {cells} | {power(sizes):.2f} | {value:.0f} | {verdict(role, part, value)} |")
        out.append("")
    return "\n".join(out).rstrip()


def main():
    mode, file = (sys.argv[1], sys.argv[2]) if len(sys.argv) > 2 else ("", sys.argv[1])
    text = tables(file)
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
