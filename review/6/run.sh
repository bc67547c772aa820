#!/bin/sh
# A target that drains stops listening while it serves its open flows; see
# claim.txt.

. "$(dirname "$0")/../play-2.sh"
export TROUBLE="${TROUBLE:-1}" # 0: without the disruption
play leaving-target
