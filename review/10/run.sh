#!/bin/sh
# A release starts a target whose id folds to the number of another target's id,
# then instances are restarted in turn; see claim.txt.

. "$(dirname "$0")/../play-2.sh"
export TROUBLE="${TROUBLE:-1}" # 0: without the disruption
play same-number
