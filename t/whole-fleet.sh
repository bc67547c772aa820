#!/bin/sh
# A fleet of real processes. Guards against an instance that gets no state from
# its peers when the store is down or unreachable, a killed instance that is not
# detected as dead, a stopping instance that does not announce that it leaves,
# and a paused instance that continues without catching up.

bin=$1
. "$(dirname "$0")/lib.sh"
store=$net.0.1:22579
seeds=$net.61.1:7401,$net.61.2:7401

fail () {
	echo "FAILED: $*"
	tail -n 60 "$work"/*.log
	exit 1
}

# start_instance NUMBER DOMAIN: starts in-NUMBER in that failure domain
start_instance () {
	write_settings "in-$1" "$2" "$net.61.$1"
	start "in-$1" "$bin/baobabvalved" --config="$work/in-$1.ini"
}

# sees NUMBER NAME STATE: true if in-NUMBER has member NAME in STATE.
sees () {
	"$bin/baobabvalve" status --format=json "$net.61.$1:7400" |
		tr -d ' \n' |
		grep -q "\"name\":\"$2\",\"domain\":\"[a-z]*\",\"state\":\"$3\""
}

# all_see NAME STATE NUMBER...: waits until each in-NUMBER sees NAME in STATE.
all_see () {
	who=$1
	state=$2
	shift 2
	for n in "$@"
	do
		wait_until 30 sees "$n" "$who" "$state" ||
			fail "in-$n does not see $who $state"
	done
}

copy_services examples/demo
start store "$bin/store-stand-in" $store
start_instance 1 north
start_instance 2 north
start_instance 3 south
start_instance 4 south
wait_until 5 "$bin/baobabvalve" publish --store=$store "$work/services" ||
	fail "publish"
for n in 1 2 3 4
do
	wait_until 10 in_force $net.61.$n 1 || fail "epoch 1 on in-$n"
	for m in 1 2 3 4
	do
		all_see "in-$m" alive $n
	done
done

echo "== a domain goes out; in-6 reaches peers only"
real_store=$store
store=$net.0.1:22999
start_instance 6 south
store=$real_store
wait_until 10 in_force $net.61.6 1 || fail "in-6 has no epoch"
"$bin/baobabvalve" domain out north --why=test --store=$store >/dev/null ||
	fail "domain out"
for n in 1 3 6
do
	wait_until 10 grep -q 'domain north is out' "$work/in-$n.log" ||
		fail "in-$n does not know that north is out"
done

echo "== in-5 starts while the store is down"
stop_process store KILL
start_instance 5 south
wait_until 10 in_force $net.61.5 1 || fail "no epoch from peers"
all_see in-5 alive 1 2 3 4
wait_until 10 grep -q 'domain north is out' "$work/in-5.log" ||
	fail "in-5 does not know that north is out"

echo "== kill, stop, pause, restart"
stop_process in-4 KILL
all_see in-4 dead 1 2 3 5

stop_process in-2 TERM
all_see in-2 dead 1 3 5
grep -q 'instance in-2 of domain north is leaving' "$work/in-1.log" ||
	fail "in-2 left without announcing it"

kill -s STOP "$(cat "$work/in-5.pid")"
all_see in-5 dead 1 3
kill -s CONT "$(cat "$work/in-5.pid")"
all_see in-5 alive 1 3
grep -q 'rejoining the fleet' "$work/in-5.log" ||
	fail "in-5 did not notice its pause"
caught_up () {
	grep -e 'rejoining the fleet' -e 'caught up' "$work/in-$1.log" |
		tail -n 1 | grep -q 'caught up'
}
wait_until 10 caught_up 5 || fail "in-5 did not catch up"

start_instance 4 south
all_see in-4 alive 1 3 5
wait_until 10 in_force $net.61.4 1 || fail "in-4 has no epoch after a restart"
echo ok
