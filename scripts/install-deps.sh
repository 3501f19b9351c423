#!/bin/sh
# Installs the Debian packages needed to build and test jaycove.
set -eu
packages="gcc make pkg-config clang-format clang-tidy cppcheck curl jq python3
libev-dev libhttp-parser-dev libtirpc-dev rpcsvc-proto
libargtable2-dev libjansson-dev libglib2.0-dev libsodium-dev"
missing=
for p in $packages; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q '^install ok installed' || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
run=
[ "$(id -u)" -eq 0 ] || run=sudo
$run apt-get update
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $run apt-get install -y --no-install-recommends $missing
