#!/bin/sh
# Case 12: configurations in quick succession while an instance is stopped, see
# claim.txt. TROUBLE=0 leaves out both.
dir=$(cd "$(dirname "$0")" && pwd)
. "$dir/../lib-3.sh"

write_settings 1 north
write_settings 2 south
write_settings 3 south
for n in 1 2 3
do
	start_instance $n
done
PID_TO_STOP=$(cat "$work/1.pid") "$stage" "$net" "$base" "$dir" storm \
	"${TROUBLE:-1}" 1/north 2/south 3/south &
stage_pid=$!
pids="$pids $stage_pid"
if test "${TROUBLE:-1}" = 1
then
	# the platform starts it again
	wait "$(cat "$work/1.pid")"
	start_instance 1
fi
wait $stage_pid
code=$?
echo "what the instances wrote of resets and configurations:" >>"$dir/record.txt"
for n in 1 2 3
do
	grep -e "event=flow-reset" -e "event=routes" -e "event=stop" \
		-e "event=start" "$work/$n.log" |
		sed "s/^/$n: /" >>"$dir/record.txt"
done
exit $code
