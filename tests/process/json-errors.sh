# Guards against errors of the JSON parser that quote parts of keys, in what
# jaycove-ctl prints of a configuration and a daemon of its settings.
set -eu
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

# check NAME TEXT: fail if an error in TEXT shows what follows "secret" there, or
# none is shown.
check ()
{
  printf '%s' "$2" >"$DIR/$1.json"
  "$BUILD/jaycove-ctl" check "$DIR/$1.json" >"$DIR/$1.out" 2>&1 && exit 1
  "$BUILD/jaycove-entry" --settings "$DIR/$1.json" >>"$DIR/$1.out" 2>&1 && exit 1
  [ "$(grep -c "$1.json: line 1" "$DIR/$1.out")" -ge 2 ] || { cat "$DIR/$1.out"; exit 1; }
  if grep secret "$DIR/$1.out"; then exit 1; fi
}

check unended '{"key": "secret-0123456789'
check duplicate '{"secret-0123456789": 1, "secret-0123456789": 2}'
check token '{"key": secret0123456789}'
check escape '{"key": "secret\uZsecret"}'
