#!/bin/sh
# A short run of the soak, always the same series of faults.

exec "$(dirname "$0")/soak" "$1" 20261204 8
