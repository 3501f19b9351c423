#!/bin/sh
# Prints the revision of this tree, "-changed" behind it if a file of the programs
# differs from it. An archive of git has it in the file REVISION; "unknown" where
# there is neither that nor the history.
set -eu
cd "$(dirname "$0")/.."
case $(cat REVISION) in
'$Format'*) ;;
*) exec cut -c1-12 REVISION;;
esac
revision=$(git rev-parse --short=12 HEAD 2>/dev/null) || { echo unknown; exit 0; }
[ -z "$(git --no-optional-locks status --porcelain --untracked-files=no -- '*.c' '*.h' 2>/dev/null)" ] || revision=$revision-changed
echo "$revision"
