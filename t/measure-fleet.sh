#!/bin/sh
# Measures fleets of real instances on loopback: bytes and messages per second
# and instance, store calls, processor time and memory without changes, and the
# time until a configuration change is in force everywhere. Not a test. Usage:
# t/measure-fleet.sh build/release [NUMBER_OF_INSTANCES...]

bin=${1:-build/release}
shift
. "$(dirname "$0")/lib.sh"
store=$net.0.1:22679
seeds=$net.71.1:7401,$net.71.2:7401,$net.71.3:7401
QUIET_S=20
CHANGES=10

# value NUMBER COUNTER: prints a counter of instance NUMBER
value () {
	"$bin/baobabvalve" status --format=json "$net.71.$1:7400" |
		sed -n "s/.*\"$2\": \([0-9]*\).*/\1/p"
}

# cpu NUMBER: prints user and system time in ms
cpu () {
	awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' \
		"/proc/$(cat "$work/in-$1.pid")/stat"
}

# memory NUMBER: prints resident memory in kB
memory () {
	awk '/^VmRSS/ { print $2 }' "/proc/$(cat "$work/in-$1.pid")/status"
}

# spread_times COUNT EPOCH: prints the ms between the first and the last of
# COUNT instances to put EPOCH in force, as logged
spread_times () {
	for n in $(seq "$1")
	do
		sed -n "s/.* \([0-9:.]*\) INFO .* epoch $2 in force.*/\1/p" \
			"$work/in-$n.log" | head -n 1
	done | awk -F: '{ t = ($1 * 60 + $2) * 60 + $3
		if (NR == 1 || t < min) min = t
		if (t > max) max = t }
		END { printf "%d\n", (max - min) * 1000 }'
}

# measure COUNT: prints one row for a fleet of COUNT instances
measure () {
	nr=$1
	for n in $(seq "$nr")
	do
		write_settings "in-$n" "domain-$((n % 3))" "$net.71.$n"
		start "in-$n" "$bin/baobabvalved" --config="$work/in-$n.ini"
	done
	for n in $(seq "$nr")
	do
		wait_until 20 in_force "$net.71.$n" "$epoch" || exit 1
	done
	sleep 5
	for n in $(seq "$nr")
	do
		echo "$n $(value "$n" peer.sent-bytes) \
			$(value "$n" peer.received-bytes) \
			$(value "$n" peer.sent) $(value "$n" store.calls) \
			$(cpu "$n") $(memory "$n")"
	done >"$work/before"
	sleep $QUIET_S
	for n in $(seq "$nr")
	do
		echo "$n $(value "$n" peer.sent-bytes) \
			$(value "$n" peer.received-bytes) \
			$(value "$n" peer.sent) $(value "$n" store.calls) \
			$(cpu "$n") $(memory "$n")"
	done >"$work/after"
	paste -d ' ' "$work/before" "$work/after" |
	tr -s '\t ' ' ' | awk -v s=$QUIET_S '{
		out += $9 - $2; in_ += $10 - $3; msgs += $11 - $4
		calls += $12 - $5; cpu += $13 - $6; kb += $14 }
	END { printf "%4d %10.0f %10.0f %9.1f %12.2f %8.2f %9.1f", NR,
		out / NR / s, in_ / NR / s, msgs / NR / s, calls / s,
		cpu / NR / s / 10, kb / NR / 1024 }'
	: >"$work/times"
	for c in $(seq $CHANGES)
	do
		epoch=$((epoch + 1))
		sed -i "s/^deadline = .*/deadline = $((5000 + epoch))ms/" \
			"$work/services/permit-desk.ini"
		"$bin/baobabvalve" publish --store=$store "$work/services" \
			>/dev/null || exit 1
		for n in $(seq "$nr")
		do
			wait_until 20 in_force "$net.71.$n" "$epoch" || exit 1
		done
		spread_times "$nr" "$epoch" >>"$work/times"
	done
	sort -n "$work/times" | awk '{ t[NR] = $1 }
		END { printf " %10d %8d\n", t[int((NR + 1) / 2)], t[NR] }'
	for n in $(seq "$nr")
	do
		stop_process "in-$n" TERM
		rm -f "$work/in-$n.log"
	done
}

copy_services examples/demo
start store "$bin/store-stand-in" $store
epoch=1
wait_until 5 "$bin/baobabvalve" publish --store=$store "$work/services" \
	>/dev/null || exit 1
printf '%4s %10s %10s %9s %12s %8s %9s %10s %8s\n' nr out-B/s in-B/s msgs/s \
	'store-call/s' 'cpu-%' RSS-MB median-ms worst-ms
for count in "${@:-3 9 27}"
do
	for c in $count
	do
		measure "$c"
	done
done
