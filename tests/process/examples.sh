# The settings and objects of the example deployments pass the checks that the
# programs make at start.
set -eu
: "${BUILD:=build}"

for folder in examples/kassenwerk examples/halonen; do
  "$BUILD/jaycove-ctl" check "$folder/objects.json"
  for file in "$folder"/*-entry-*.json; do "$BUILD/jaycove-entry" --settings "$file" --check-settings; done
  for file in "$folder"/*-state-*.json; do "$BUILD/jaycove-state" --settings "$file" --check-settings; done
  # The settings of each instance in the objects name the same zone.
  jq -r '.put[] | select(.kind == "instance") | "\(.name) \(.availability_zone)"' "$folder/objects.json" |
    while read -r name zone; do
      [ "$(jq -r .availability_zone "$folder/$name.json")" = "$zone" ]
    done
done
