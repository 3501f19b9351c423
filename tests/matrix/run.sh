#!/bin/sh
# Prints the table of fault coverage. Runs the tests first if there are no
# verdicts of an earlier run. Fails if a cell names a test that did not pass.
set -eu
: "${BUILD:=build}"
[ -e "$BUILD/verdicts.txt" ] || BUILD=$BUILD sh tests/run.sh
python3 tests/matrix/matrix.py "$@" "$BUILD/verdicts.txt"
