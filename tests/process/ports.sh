# Guards against runs beside each other that wait for each other's ports: each
# pair of consecutive ports is given out at once, and no port twice.
set -eu
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

for run in 1 2 3 4 5 6; do
  for count in 2 1; do
    python3 scripts/port.py $count >"$DIR/$run-$count" &
  done
done
wait
for run in 1 2 3 4 5 6; do
  cat "$DIR/$run-1" "$DIR/$run-2"
  echo $(($(cat "$DIR/$run-2") + 1))
done >"$DIR/all"
[ "$(wc -l <"$DIR/all")" = 18 ]
[ -z "$(sort "$DIR/all" | uniq -d)" ]
