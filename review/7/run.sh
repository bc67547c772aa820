#!/bin/sh
# A zone of a fleet of 24 instances loses power for 1.5 s; see claim.txt.

. "$(dirname "$0")/../play-2.sh"
export TROUBLE="${TROUBLE:-1}" # 0: without the disruption
play zone-lost
