#!/bin/sh
# Builds what the scripts of the second review start besides the system itself:
# the stand-ins for the users' platform, clients and targets. Run in the
# repository's root, after the build of the deploy file.

set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
gcc -std=gnu11 -O2 -Wall -Wextra -o target/review-2/stage-2 review/6/stage-2.c
