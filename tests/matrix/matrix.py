#!/usr/bin/env python3
"""Prints the table of steps and faults and checks that what it names was run.

matrix.py VERDICTS            VERDICTS has lines "NAME STATUS" of tests/run.sh
matrix.py --page VERDICTS     put the table into docs/PROOF.md
"""
import csv
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
PAGE = HERE.parent.parent / "docs/PROOF.md"
BEGIN, END = "<!-- table: make matrix -->", "<!-- end of table -->"
NOT_A_TEST = ("open", "-")


def read_aliases():
    """Returns the full name of each short one."""
    lines = (HERE / "tests.txt").read_text().splitlines()
    return dict(line.split() for line in lines if line and not line.startswith("#"))


def read_verdicts(file):
    """Returns the names that passed and those that did not."""
    passed, failed = set(), set()
    for line in pathlib.Path(file).read_text().splitlines():
        name, status = line.split()
        (passed if status == "0" else failed).add(name)
    return passed, failed


def faults_of(rows, aliases, passed, failed):
    """Returns what is wrong with the table's claims."""
    wrong = []
    for row in rows[1:]:
        if len(row) != len(rows[0]):
            wrong.append(f"{row[0]}: {len(row)} cells")
        for name in " ".join(row[1:]).split():
            if name in NOT_A_TEST:
                continue
            test = aliases.get(name)
            if test is None:
                wrong.append(f"{row[0]}: no test is called {name}")
            elif test in failed:
                wrong.append(f"{row[0]}: {test} failed")
            elif test not in passed:
                wrong.append(f"{row[0]}: {test} was not run")
    return sorted(set(wrong))


def page(rows, aliases):
    """Returns the table for the page."""
    used = sorted({name for row in rows[1:] for cell in row[1:] for name in cell.split()} - set(NOT_A_TEST))
    out = ["| " + " | ".join(rows[0]) + " |", "|" + "---|" * len(rows[0])]
    out += ["| " + " | ".join(row) + " |" for row in rows[1:]]
    return "\n".join(out + [""] + [f"- {name}: `{aliases[name]}`" for name in used])


def main():
    rows = list(csv.reader((HERE / "table.csv").open(newline="")))
    aliases = read_aliases()
    passed, failed = read_verdicts(sys.argv[-1])
    wrong = faults_of(rows, aliases, passed, failed)
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip())
    cells = [cell for row in rows[1:] for cell in row[1:]]
    print(f"{len(cells)} cells: {sum(c not in NOT_A_TEST for c in cells)} covered, "
          f"{cells.count('open')} open, {cells.count('-')} cannot happen")
    for line in wrong:
        print(f"WRONG {line}")
    if "--page" in sys.argv and not wrong:
        head, rest = PAGE.read_text().split(BEGIN)
        PAGE.write_text(f"{head}{BEGIN}\n\n{page(rows, aliases)}\n\n{END}{rest.split(END)[1]}")
    return 1 if wrong else 0


sys.exit(main())
