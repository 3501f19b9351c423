#!/bin/sh
# Works with the revision that deploy/system.toml names as production.
#   production.sh revision  print it
#   production.sh check     fail unless it is an ancestor of this revision
#   production.sh build DIR build its programs in DIR, unless they are there
# Exits with 77 where the history is not here.
set -eu
cd "$(dirname "$0")/.."
revision=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)
[ -n "$revision" ] || { echo "deploy/system.toml names no production" >&2; exit 1; }

need_history ()
{
  git cat-file -e "$revision^{commit}" 2>/dev/null || { echo "NOT RUN: the history of $revision is not here"; exit 77; }
}

case $1 in
revision)
  echo "$revision";;
check)
  need_history
  git merge-base --is-ancestor "$revision" HEAD || { echo "production $revision is no ancestor of HEAD" >&2; exit 1; };;
build)
  need_history
  # Builds are kept by revision; one that was broken off has no mark.
  if [ "$(cat "$2/built" 2>/dev/null)" != "$revision $(uname -m)" ]; then
    rm -rf "$2"
    mkdir -p "$2"
    git archive "$revision" | tar -x -C "$2"
    make -s -C "$2" -j"$(nproc)" daemons B=build >&2
    echo "$revision $(uname -m)" >"$2/built"
  fi;;
*)
  echo "usage: $0 revision|check|build DIR" >&2
  exit 2;;
esac
