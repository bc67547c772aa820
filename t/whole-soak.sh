#!/bin/sh
# A short soak run with a fixed series of faults.

exec "$(dirname "$0")/soak" "$1" 20261204 60
