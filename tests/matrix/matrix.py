#!/usr/bin/env python3
"""Prints the table of fault coverage and checks that the tests it names passed.

matrix.py VERDICTS            VERDICTS is the file of tests/run.sh with lines "NAME STATUS"
matrix.py --page VERDICTS     also writes the table to docs/PROOF.md if the check passes
"""
import csv
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
PAGE = HERE.parent.parent / "docs/PROOF.md"
BEGIN, END = "<!-- table: make matrix -->", "<!-- end of table -->"
NO_TEST_MARKS = ("open", "-")


def read_aliases():
    """Returns a dictionary from the short names in the table to the names of tests."""
    lines = (HERE / "tests.txt").read_text().splitlines()
    return dict(line.split() for line in lines if line and not line.startswith("#"))


def read_verdicts(file):
    """Returns the set of tests that passed and the set of tests that failed."""
    passed, failed = set(), set()
    for line in pathlib.Path(file).read_text().splitlines():
        name, status = line.split()
        (passed if status == "0" else failed).add(name)
    return passed, failed


def check_table(rows, aliases, passed, failed):
    """Returns error messages for rows of the wrong length and for cells whose tests are unknown, failed or not run."""
    errors = []
    for row in rows[1:]:
        if len(row) != len(rows[0]):
            errors.append(f"{row[0]}: {len(row)} cells")
        for name in " ".join(row[1:]).split():
            if name in NO_TEST_MARKS:
                continue
            test = aliases.get(name)
            if test is None:
                errors.append(f"{row[0]}: unknown test {name}")
            elif test in failed:
                errors.append(f"{row[0]}: {test} failed")
            elif test not in passed:
                errors.append(f"{row[0]}: {test} was not run")
    return sorted(set(errors))


def format_page(rows, aliases):
    """Returns the table in Markdown, followed by the list of tests it names."""
    used = sorted({name for row in rows[1:] for cell in row[1:] for name in cell.split()} - set(NO_TEST_MARKS))
    out = ["| " + " | ".join(rows[0]) + " |", "|" + "---|" * len(rows[0])]
    out += ["| " + " | ".join(row) + " |" for row in rows[1:]]
    return "\n".join(out + [""] + [f"- {name}: `{aliases[name]}`" for name in used])


def main():
    rows = list(csv.reader((HERE / "table.csv").open(newline="")))
    aliases = read_aliases()
    passed, failed = read_verdicts(sys.argv[-1])
    errors = check_table(rows, aliases, passed, failed)
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip())
    cells = [cell for row in rows[1:] for cell in row[1:]]
    print(f"{len(cells)} cells: {sum(c not in NO_TEST_MARKS for c in cells)} covered, "
          f"{cells.count('open')} open, {cells.count('-')} cannot happen")
    for line in errors:
        print(f"ERROR {line}")
    if "--page" in sys.argv and not errors:
        head, rest = PAGE.read_text().split(BEGIN)
        PAGE.write_text(f"{head}{BEGIN}\n\n{format_page(rows, aliases)}\n\n{END}{rest.split(END)[1]}")
    return 1 if errors else 0


sys.exit(main())
