#!/usr/bin/env python3
"""Prints medians and spreads of the rows of a bench: medians.py BENCH.csv CPU.csv"""
import csv
import os
import statistics
import sys

COLUMNS = ["p50_ms", "p99_ms", "first_p95_ms", "between_p95_ms", "goodput_share", "away_share"]


def groups(file):
    """Returns the rows of FILE by label, in the order of their first rows."""
    found = {}
    with open(file, newline="") as rows:
        for row in csv.DictReader(rows):
            found.setdefault(row["label"], []).append(row)
    return found


def cell(rows, column):
    """Returns median and (least to greatest) of COLUMN."""
    values = [float(row[column]) for row in rows]
    return f"{statistics.median(values):.3g} ({min(values):.3g} to {max(values):.3g})"


def print_runs(found):
    print(f"{'run':24} {'n':>2} " + " ".join(f"{c:>24}" for c in COLUMNS))
    for label, rows in found.items():
        print(f"{label:24} {len(rows):2} " + " ".join(f"{cell(rows, c):>24}" for c in COLUMNS))


def print_cpu(file):
    """Prints the entry instance's processor time a request by rate."""
    by_rate = {}
    with open(file, newline="") as rows:
        for rate, ticks, hertz, whole in csv.reader(rows):
            by_rate.setdefault(rate, []).append(1e6 * int(ticks) / int(hertz) / int(whole))
    for rate, costs in by_rate.items():
        middle = statistics.median(costs)
        print(f"entry at {rate}/s: {middle:.0f} us of processor time a request "
              f"({min(costs):.0f} to {max(costs):.0f}), {1e6 / middle:.0f} requests/s a core")


print_runs(groups(sys.argv[1]))
if os.path.exists(sys.argv[2]):
    print_cpu(sys.argv[2])
