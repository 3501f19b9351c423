# make install installs all that examples/embed.c needs: it builds against the
# installed library with the flags of pkg-config alone, and runs.
set -eu
: "${BUILD:=build}"
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

flags=
[ "$BUILD" != build-san ] || flags="-fsanitize=address,undefined"
make -s B="$BUILD" prefix="$DIR/inst" DESTDIR= install >"$DIR/install.log"
[ -x "$DIR/inst/bin/jaycove-entry" ]
[ -e "$DIR/inst/share/man/man1/jaycove-load.1" ]
export PKG_CONFIG_PATH="$DIR/inst/lib/pkgconfig"
# shellcheck disable=SC2046,SC2086
gcc -Wall -Wextra -Werror $flags -o "$DIR/embed" examples/embed.c $(pkg-config --cflags --libs jaycove)
"$DIR/embed" >"$DIR/out"
[ "$(cat "$DIR/out")" = "version 1, 2 endpoints, picked engine-2" ]
