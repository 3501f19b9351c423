#!/usr/bin/env python3
"""Makes the tables of docs/CAPACITY.md from the costs that `fleetbench sweep` measured at several cluster sizes.

capacity.py SLOPES.csv            print the tables
capacity.py --write SLOPES.csv    replace the tables in docs/CAPACITY.md
capacity.py --check SLOPES.csv    exit with 1 if the page differs

A row of SLOPES.csv is the cost of a role's instances in one part (CPU, memory, traffic and so on) with that many
instances: the median instance and the busiest.
"""
import csv
import math
import pathlib
import sys

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"
BEGIN, END = "<!-- table: load/capacity.py -->", "<!-- end of table -->"

TARGET_INSTANCES = 380
# Most that an instance may spend on control work in a cluster of TARGET_INSTANCES.
LIMITS = {"processor, %": 1.7, "memory, MB": 64, "kB a second": 5}
# The limits apply to this role only, which does nothing but control work; others carry requests too.
CONTROL_ROLE = "state"


def read_costs(file):
    """Returns {(role, part): [(instances, median, busiest)]} in the order of the file."""
    costs = {}
    with open(file, newline="") as rows:
        for row in csv.DictReader(rows):
            sizes = costs.setdefault((row["role"], row["part"]), [])
            sizes.append((float(row["instances"]), float(row["middle"]), float(row["busiest"])))
    return costs


def growth_exponent(sizes):
    """Returns x where the cost of the busiest instance grows with instances ** x, by least squares in logarithms."""
    points = [(math.log(n), math.log(busiest)) for n, _, busiest in sizes]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)


def extrapolate(sizes):
    """Returns the cost of the busiest at TARGET_INSTANCES, from the largest size; the exponent is limited to 0 to 2."""
    n, _, busiest = sizes[-1]
    return busiest * (TARGET_INSTANCES / n) ** min(max(growth_exponent(sizes), 0), 2)


def limit_cell(role, part, value):
    """Returns the table cell that compares VALUE with the limit of PART, "" if no limit applies."""
    limit = LIMITS.get(part)
    if role != CONTROL_ROLE or limit is None:
        return ""
    return f"{limit}: holds" if value <= limit else f"{limit}: over by {value / limit:.0f} times"


def make_tables(file):
    """Returns the Markdown tables, one for each role, for the costs in FILE."""
    costs = read_costs(file)
    counts = [round(n) for n, _, _ in next(iter(costs.values()))]
    out = []
    for role in dict.fromkeys(role for role, _ in costs):
        out += [f"### {role.capitalize()} instance, middle / busiest", "",
                "| part | " + " | ".join(str(n) for n in counts) + f" | power | busiest at {TARGET_INSTANCES} | limit |",
                "|---|" + "---|" * (len(counts) + 3)]
        for (row_role, part), sizes in costs.items():
            if row_role != role:
                continue
            cells = " | ".join(f"{median:g} / {busiest:g}" for _, median, busiest in sizes)
            value = extrapolate(sizes)
            limit = limit_cell(role, part, value)
            out.append(f"| {part} | {cells} | {growth_exponent(sizes):.2f} | {value:.0f} | {limit} |")
        out.append("")
    return "\n".join(out).rstrip()


def main():
    mode, file = (sys.argv[1], sys.argv[2]) if len(sys.argv) > 2 else ("", sys.argv[1])
    text = make_tables(file)
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
