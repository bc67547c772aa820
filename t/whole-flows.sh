#!/bin/sh
# Flows through real processes: one of three instances is killed and, at the
# same time, an upstream drains. Guards against flows that move to another
# upstream, are reset or miss an answer, both flows open meanwhile and flows
# opened after the drain.

bin=$1
. "$(dirname "$0")/lib.sh"
store=$net.0.1:22579
seeds=$net.61.1:7401,$net.61.2:7401,$net.61.3:7401
vip=$net.40.1

fail () {
	echo "FAILED: $*"
	tail -n 60 "$work"/*.log
	exit 1
}

copy_services examples/demo
start store "$bin/store-stand-in" $store
n=1
for domain in north south south
do
	write_settings "in-$n" $domain "$net.61.$n"
	start "in-$n" "$bin/baobabvalved" --config="$work/in-$n.ini"
	n=$((n + 1))
done
start fabric "$bin/fabric-stand-in" $vip:6080 8443 6080 \
	$net.61.1 $net.61.2 $net.61.3
for n in 1 2 3 4
do
	start "board-$n" "$bin/upstream-stand-in" "board-$n" "$net.42.$n:9002"
done
wait_until 5 "$bin/baobabvalve" publish --store=$store "$work/services" ||
	fail "publish"
for n in 1 2 3
do
	wait_until 10 in_force $net.61.$n 1 || fail "epoch 1 on in-$n"
done

start caller "$bin/caller-stand-in" $vip:6080 $vip:8443 60 80 100
caller=$(cat "$work/caller.pid")
sleep 3
stop_process in-2 KILL
sed -i '/^\[upstream .*-1\]/a state = draining' "$work"/services/*.ini
"$bin/baobabvalve" publish --store=$store "$work/services" ||
	fail "publish of the drain"
wait_until 10 in_force $net.61.1 2 || fail "epoch 2 on in-1"
wait_until 10 in_force $net.61.3 2 || fail "epoch 2 on in-3"
sleep 3
"$bin/caller-stand-in" $vip:6080 $vip:8443 60 10 50 >"$work/second.log" ||
	fail "flows opened after the drain failed: $(cat "$work/second.log")"
grep -q "^flow on board-[234]\$" "$work/second.log" ||
	fail "no upstream of new flows is reported"
grep "^flow on board-1\$" "$work/second.log" &&
	fail "a new flow was placed on the drained upstream"
wait "$caller" || fail "flows open during the kill and the drain failed"
grep -h segments "$work/caller.log" "$work/second.log"
echo ok
