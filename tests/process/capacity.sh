# Guards against a table in docs/CAPACITY.md that was not regenerated after the
# committed slopes changed: it must be what load/capacity.py makes of them.
set -eu
python3 load/capacity.py --check load/slopes.csv
