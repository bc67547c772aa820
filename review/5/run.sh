#!/bin/sh
# The settings of four machines change; then these are stopped and started.
. "$(dirname "$0")/../stand-in/lib.sh"
start_store
store_call PUT '/entry?op/config' '{"version":1,"routes":[{"name":"r-1","host":"198.18.0.1","prefix":"/8443/","kind":"unsafe","timeoutMs":4000,"sloMs":250,"priority":1,"service":"permit-desk","attempts":2}],"services":[{"name":"permit-desk","healthPath":"/health","maxConns":2000,"warmupS":2.0,"warmupPerS":5.0}],"limits":{"idleTimeoutMs":15000}}' >/dev/null || exit 2
d=1
for zone in kochi-b kochi-b kochi-b kochi-a kochi-a kochi-a kochi-c kochi-d kochi-d
do
	keep_machine "front-$zone-$d" $zone $d
	d=$((d + 1))
done
run_case settings $machines
