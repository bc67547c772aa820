#!/bin/sh
# An instance's standard output is a full pipe that nobody reads for ten seconds
# under load. Guards against log writes that block: lines must be lost and
# counted, without effect on callers.

bin=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/edge-lib.sh"
store=$net.0.3:22781
pipe_bytes=65536 # capacity of a pipe

fail () {
	echo "FAILED: $*"
	tail -n 20 "$work"/*.log
	exit 1
}

# metric NAME: prints the value of a metric of the instance.
metric () {
	curl -sS --noproxy '*' --max-time 2 \
		"http://$net.91.1:$((port + 2))/metrics" |
		sed -n "s/^$1 //p"
}

has_lost_lines () {
	test "$(metric baobabvalve_log_lost)" -gt 0
}

start store "$bin/platform-store-stand-in" $store
wait_until 5 curl -sS --noproxy '*' "http://$store/kv-range?prefix=" ||
	fail "the store does not answer"
write_config 1 8443
mkfifo "$work/pipe"
exec 3<>"$work/pipe"
head -c $pipe_bytes /dev/zero >&3
edge_settings in-1 north "$net.91.1" $store
"$bin/baobabvalved" --config="$work/in-1.ini" >&3 2>"$work/in-1.log" &
pids="$pids $!"
for n in 1 2
do
	start "up-$n" "$bin/cookie-upstream-stand-in" "i-b$n" board north \
		"$net.92.$n:9003" $port $store 10
done
wait_until 10 is_ready $net.91.1 || fail "in-1 is not ready"
sleep 1

start caller "$bin/cookie-caller-stand-in" "$net.93.1:$port" $service \
	$net.91.1 60 10 20
caller=$(cat "$work/caller.pid")
# opens flows to an address without a route; each refusal logs a line
start refused "$bin/cookie-caller-stand-in" "$net.93.2:$port" \
	198.18.0.1:1234 $net.91.1 40 10 20
wait "$caller" || fail "answers went wrong: $(cat "$work/caller.log")"
report=$work/caller.log
cat "$report"
test "$(value answered "$report")" -gt 3000 || fail "too few answers"
test "$(value lost "$report")" -eq 0 || fail "requests were lost"
test "$(value reset "$report")" -eq 0 || fail "open flows were reset"
wait_until 5 has_lost_lines || fail "no line was counted as lost"
echo "lines lost: $(metric baobabvalve_log_lost)"
echo ok
