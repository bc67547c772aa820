#!/bin/sh
# All instances are killed while a client pauses; see claim.txt.

. "$(dirname "$0")/../play-2.sh"
export TROUBLE="${TROUBLE:-1}" # 0: without the disruption
play all-killed
