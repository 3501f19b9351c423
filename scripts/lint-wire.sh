#!/bin/sh
# Fails where a name of the platform's wire stands in product code outside
# platform/. Names are the strings of platform/names.h that no other protocol
# has: those with a dash, a slash or the platform's prefix. Headers that entry
# instances set for each other bear the product's own prefix and are not there.
set -eu
names=$(sed -n 's/^#define [A-Z_]* "\(.*\)"$/\1/p' platform/names.h | grep -E '[-/]' | grep -v '^Last-Event-Id$')
status=0
for name in $names; do
  if grep -n -F -e "\"$name" -- base/*.[ch] conf/*.[ch] ctl/*.[ch] entry/*.[ch] ledger/*.[ch] load/*.[ch] \
    member/*.[ch] net/*.[ch] serve/*.[ch] state/*.[ch]; then
    echo "wire name outside platform/: $name" >&2
    status=1
  fi
done
exit $status
