#!/bin/sh
# Another writer puts entries under servers/, then four machines are rolled.
# TROUBLE=0: the same without the foreign entries.
trouble=${TROUBLE:-1}
. "$(dirname "$0")/../lib.sh"
start_store
put_config
start_fleet keep_machine
run_case foreign $machines
