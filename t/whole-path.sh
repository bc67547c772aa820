#!/bin/sh
# A request and flows through real processes; SIGTERM in the middle of a slow
# request still delivers the whole answer, and the process ends by itself.

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
	fail publish
wait_until 10 in_force $net.51.1 1 || fail "epoch 1"

curl -sS --max-time 10 http://$net.51.1:8080/slow >"$work/answer" &
asker=$!
sleep 0.4
kill -s TERM "$(cat "$work/one.pid")"
wait $asker || fail "the answer was cut"
grep -q 'GET /slow from desk' "$work/answer" || fail "wrong answer"
wait "$(cat "$work/one.pid")" || fail "instance did not end with 0"
echo ok
