#!/bin/sh
# Case 15: a flow whose first target drained at once, and a kill of all instances,
# see claim.txt. TROUBLE=0 leaves out the kill.
dir=$(cd "$(dirname "$0")" && pwd)
. "$dir/../lib-3.sh"

write_settings 1 north
write_settings 2 north
write_settings 3 south
for n in 1 2 3
do
	start_instance $n
done
PID_1=$(cat "$work/1.pid") PID_2=$(cat "$work/2.pid") PID_3=$(cat "$work/3.pid") \
	"$stage" "$net" "$base" "$dir" herd "${TROUBLE:-1}" \
	1/north 2/north 3/south &
stage_pid=$!
pids="$pids $stage_pid"
if test "${TROUBLE:-1}" = 1
then
	# the platform starts them again
	for n in 1 2 3
	do
		wait "$(cat "$work/$n.pid")" 2>/dev/null
	done
	sleep 0.5
	for n in 1 2 3
	do
		start_instance $n
	done
fi
wait $stage_pid
code=$?
echo "what the instances wrote of this and of resets:" >>"$dir/record.txt"
for n in 1 2 3
do
	grep -e "event=start" -e "event=ready" -e "event=flow-re" \
		-e "event=flow-split" "$work/$n.log" |
		sed "s/^/$n: /" >>"$dir/record.txt"
done
exit $code
