#!/bin/sh
# Runs cppcheck and clang-tidy on the given C files; CFLAGS_LINT has the include
# paths. Exits with a nonzero status if either reports anything.
set -eu
cppcheck --quiet --error-exitcode=1 --enable=warning,portability \
  --inline-suppr --std=c11 -I. -j "$(nproc)" \
  --suppress=missingInclude --suppress='*:schema/gen/*' \
  '-Djson_object_foreach(o,k,v)=for((k)=0,(v)=0;;)' \
  '-Djson_array_foreach(a,i,v)=for((i)=0,(v)=0;;)' \
  '-Dg_assert_cmpuint(a,op,b)=(void)((a) op (b))' \
  '-Dg_assert_cmpint(a,op,b)=(void)((a) op (b))' "$@"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export out
# shellcheck disable=SC2016
printf '%s\n' "$@" | xargs -P "$(nproc)" -n 1 sh -c '
  log=$out/$(echo "$0" | tr / -)
  clang-tidy --quiet "$0" -- -std=gnu11 -D_GNU_SOURCE "-DJC_VERSION=\"0\"" "-DJC_BUILD_NAME=\"0\"" -I. $CFLAGS_LINT >"$log" 2>&1 || { cat "$log"; exit 1; }'
