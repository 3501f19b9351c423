#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file.  Their stand-ins
# (review/lib-2) are Python and need no build.
set -eu
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
for program in jaycove-state jaycove-entry; do
  [ -x "target/$program" ] || { echo "target/$program is missing: run the build of deploy/system.toml first"; exit 1; }
done
