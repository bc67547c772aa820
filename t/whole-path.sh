#!/bin/sh
# Graceful stop of a real instance: SIGTERM during a slow request must not cut
# its answer, and the process must exit with 0 by itself.

bin=$1
. "$(dirname "$0")/lib.sh"
store=$net.0.1:22479
seeds=$net.51.1:7401

fail () {
	echo "FAILED: $*"
	tail -n 60 "$work"/*.log
	exit 1
}

copy_services examples/demo
start store "$bin/store-stand-in" $store
write_settings one north $net.51.1
start one "$bin/baobabvalved" --config="$work/one.ini"
for n in 1 2 3 4
do
	start "desk-$n" "$bin/upstream-stand-in" "desk-$n" \
		"$net.41.$n:9001" 1000
done
wait_until 5 "$bin/baobabvalve" publish --store=$store "$work/services" ||
	fail "publish"
wait_until 10 in_force $net.51.1 1 || fail "epoch 1 is not in force"

curl -sS --max-time 10 http://$net.51.1:8080/slow >"$work/answer" &
curl_pid=$!
sleep 0.4
kill -s TERM "$(cat "$work/one.pid")"
wait $curl_pid || fail "the answer was cut off"
grep -q 'GET /slow from desk' "$work/answer" || fail "wrong answer"
wait "$(cat "$work/one.pid")" || fail "the instance did not exit with 0"
echo ok
