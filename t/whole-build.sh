#!/bin/sh
# The build id: guards against builds of different sources that logs cannot tell
# apart, and builds of the same sources that have different ids.

bin=$1
. "$(dirname "$0")/lib.sh"
copy=$work/copy
unset MAKEFLAGS MAKELEVEL

fail () {
	echo "FAILED: $*"
	exit 1
}

# print_id DIR: prints the id of builds of the sources in DIR.
print_id () {
	make -s -C "$1" NO_INSTALL=1 build-id
}

# differs_after FILE: whether an added line in FILE of the copy changes the id.
differs_after () {
	before=$(print_id "$copy")
	echo '/* changed */' >>"$copy/$1"
	test "$(print_id "$copy")" != "$before"
}

mkdir "$copy"
tar cf - Makefile ./*.c base builtin charts config fleet flow net platform \
	request store stand-in t | tar xf - -C "$copy"
id=$(print_id .)
echo "$id" | grep -qx '[0-9a-f]\{12\}' || fail "'$id' is no build id"
test "$(print_id "$copy")" = "$id" || fail "a copy has another build id"
"$bin/baobabvalve" version | grep -q " build=$id\$" ||
	fail "baobabvalve does not tell its build id"
for daemon in baobabvalved baobabvalve-edge
do
	"$bin/$daemon" --version | grep -qx "$daemon .* build=$id" ||
		fail "$daemon does not tell its build id"
done

differs_after flow/cookie.c || fail "a changed C file has the same build id"
differs_after flow/cookie.h || fail "a changed header has the same build id"
differs_after t/raw.c && fail "a changed test has another build id"
differs_after stand-in/caller.c && fail "a changed stand-in has another build id"

# Only a new id builds the file that tells it again.
object=$copy/build/release/base/version.o
make_object () {
	make -s -C "$copy" NO_INSTALL=1 VARIANT=release \
		build/release/base/version.o >"$work/make.log" 2>&1
}
make_object || fail "$object is not built"
touch "$work/built"
sleep 0.05
make_object
test "$object" -nt "$work/built" && fail "built again without a change"
echo '/* changed */' >>"$copy/flow/cookie.c"
make_object
test "$object" -nt "$work/built" || fail "not built again after a change"
echo ok
