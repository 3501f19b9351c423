# Settings and objects of the example deployments pass the same checks that
# the programs make before they start.
set -eu
: "${BUILD:=build}"

for folder in examples/kassenwerk examples/halonen; do
  "$BUILD/jaycove-ctl" check "$folder/objects.json"
  for file in "$folder"/*-entry-*.json; do "$BUILD/jaycove-entry" --settings "$file" --check-settings; done
  for file in "$folder"/*-state-*.json; do "$BUILD/jaycove-state" --settings "$file" --check-settings; done
  # Every entry instance of the objects has settings in the same zone.
  jq -r '.put[] | select(.kind == "instance") | "\(.name) \(.availability_zone)"' "$folder/objects.json" |
    while read -r name zone; do
      [ "$(jq -r .availability_zone "$folder/$name.json")" = "$zone" ]
    done
done
