#!/usr/bin/env python3
"""Prints the median and range of each column of a benchmark: medians.py BENCH.csv CPU.csv

BENCH.csv is a report of jaycove-load --csv. Rows of CPU.csv are rate, clock ticks, ticks per second and number of
complete answers; the file may be missing.
"""
import csv
import os
import statistics
import sys

COLUMNS = ["p50_ms", "p99_ms", "first_p95_ms", "between_p95_ms", "goodput_share", "away_share"]


def rows_by_label(file):
    """Returns the rows of FILE by label, labels in the order of their first rows."""
    labels = {}
    with open(file, newline="") as rows:
        for row in csv.DictReader(rows):
            labels.setdefault(row["label"], []).append(row)
    return labels


def format_cell(rows, column):
    """Returns COLUMN of ROWS as "median (minimum to maximum)"."""
    values = [float(row[column]) for row in rows]
    return f"{statistics.median(values):.3g} ({min(values):.3g} to {max(values):.3g})"


def print_runs(runs):
    """Prints one line for each label with the number of its rows and the median and range of COLUMNS."""
    print(f"{'run':24} {'n':>2} " + " ".join(f"{c:>24}" for c in COLUMNS))
    for label, rows in runs.items():
        print(f"{label:24} {len(rows):2} " + " ".join(f"{format_cell(rows, c):>24}" for c in COLUMNS))


def print_cpu(file):
    """Prints the CPU time per request of the entry instance, by rate of requests."""
    by_rate = {}
    with open(file, newline="") as rows:
        for rate, ticks, ticks_per_s, answers in csv.reader(rows):
            by_rate.setdefault(rate, []).append(1e6 * int(ticks) / int(ticks_per_s) / int(answers))
    for rate, costs in by_rate.items():
        median = statistics.median(costs)
        print(f"entry at {rate}/s: {median:.0f} us of CPU time per request "
              f"({min(costs):.0f} to {max(costs):.0f}), {1e6 / median:.0f} requests/s per core")


print_runs(rows_by_label(sys.argv[1]))
if os.path.exists(sys.argv[2]):
    print_cpu(sys.argv[2])
