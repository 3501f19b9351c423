# A few seconds of the fault soak: see tests/soak/soak.py. Seeds that ever broke
# a promise stay in this list, each with a line on its cause.
set -eu
: "${BUILD:=build}"
for seed in 1; do
  python3 tests/soak/soak.py "$BUILD" "$seed" 6 19
done
