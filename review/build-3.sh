#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later into target/review.
# To be run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-format-truncation \
	-o target/review/stage-3 review/stage-3.c
