#!/bin/sh
# Runs every test: GLib test programs, scripted runs with expected output and
# process tests. Ends with "N passed, N failed". What KNOWN-RED.txt lists is
# run and printed, but does not fail the run.
set -u
: "${BUILD:=build}"
passed=0
failed=0
red=0

verdict () # NAME STATUS
{
  echo "$1 $2" >>"$BUILD/verdicts.txt"
  if [ "$2" -eq 0 ]; then
    passed=$((passed + 1))
  elif [ -e KNOWN-RED.txt ] && grep -q "^$1 " KNOWN-RED.txt; then
    red=$((red + 1))
    echo "KNOWN RED $1"
  else
    failed=$((failed + 1))
    echo "FAILED $1"
  fi
}

rm -f "$BUILD/verdicts.txt"
out=$(mktemp)
for prog in "$BUILD"/tests/test-* "$BUILD"/tests/explore-*; do
  case $prog in *.o|*.d) continue;; esac
  [ -x "$prog" ] || continue
  name=$(basename "$prog")
  "$prog" --tap >"$out" 2>"$out.err"
  code=$?
  sed -n 's/^ok [0-9]* \([^ ]*\).*/\1 0/p;s/^not ok [0-9]* \([^ ]*\).*/\1 1/p' "$out" >"$out.rows"
  while read -r case_name status; do verdict "$name$case_name" "$status"; done <"$out.rows"
  if [ $code -ne 0 ]; then
    grep -q '^not ok' "$out" || verdict "$name" 1
    tail -n 20 "$out" "$out.err"
  fi
done
for script in tests/scripts/*.script; do
  [ -e "$script" ] || continue
  kind=$(basename "$script" | sed 's/-.*//')
  "$BUILD/tests/script-$kind" "$script" >"$out" 2>&1
  diff -u "${script%.script}.expected" "$out"
  verdict "$script" $?
done
for script in tests/process/*.sh; do
  [ -e "$script" ] || continue
  BUILD=$BUILD sh "$script" >"$out" 2>&1
  code=$?
  [ $code -eq 0 ] || tail -40 "$out"
  verdict "$script" $code
done
rm -f "$out" "$out.err" "$out.rows"
[ ! -s KNOWN-RED.txt ] || { echo "Known red:"; cat KNOWN-RED.txt; }
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
