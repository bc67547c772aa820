#!/bin/sh
# The machines of a zone are restarted in turn; see claim.txt.

. "$(dirname "$0")/../play-2.sh"
export TROUBLE="${TROUBLE:-1}" # 0: without the disruption
play restarted-in-turn
