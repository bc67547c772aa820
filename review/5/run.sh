#!/bin/sh
# The settings of four machines change; then these are stopped and started.
# TROUBLE=0: the same without the change of the settings.
trouble=${TROUBLE:-1}
. "$(dirname "$0")/../lib.sh"
start_store
put_config
start_fleet keep_machine
run_case settings $machines
