# The table of docs/CAPACITY.md is what the script makes of the committed
# slopes.
set -eu
python3 load/capacity.py --check load/slopes.csv
