#!/bin/sh
# Fails if code outside platform/ contains a name of the platform's protocol.
# Only names that no other protocol uses are checked: the strings in
# platform/names.h with a dash or a slash, except the standard Last-Event-Id.
# Headers that entry instances set for each other have the product's own prefix
# and are not defined there.
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
