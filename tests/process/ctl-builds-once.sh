# Guards against an instance that jaycove-ctl builds asks and shows twice.
set -eu

shown=$("$BUILD/jaycove-ctl" builds 127.0.0.1:1) && exit 1
[ "$shown" = "127.0.0.1:1 no answer" ] || { echo "shown: $shown"; exit 1; }
