#!/bin/sh
# Builds the stand-ins that the cases start: those of the project in
# target/release, those of this folder in target/review. To be run after the
# build of the deploy file; needs nothing beyond its packages.
set -eu
cd "$(dirname "$0")/.."
make -j4 NO_INSTALL=1 B=target/release target/release/platform-store-stand-in
mkdir -p target/review
for source in review/*.c
do
	name=$(basename "$source" .c)
	test "$name" = world && continue
	gcc -std=gnu11 -O2 -g -Wall -Wextra -o "target/review/$name" \
		"$source" $(test "$name" = call || echo review/world.c)
done
