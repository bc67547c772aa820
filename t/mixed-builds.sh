#!/bin/sh
# t/mixed-builds.sh BIN OLD: instances of two builds in one fleet, on one store.
#
# Run before a release, with the build folders of the new and of the old
# release. Guards against a build that cannot read what the other one stored
# or sent: settings, service files, store contents and audit trail written by
# the old build; snapshots, domain records and membership passed between both;
# on the users' platform, flows that packets of both builds steer.

bin=$1
old=$2
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/edge-lib.sh"
store=$net.0.1:22979
seeds=$net.81.1:7401,$net.81.2:7401
admins=$net.81.1:7400,$net.81.2:7400,$net.81.3:7400,$net.81.4:7400

fail () {
	echo "FAILED: $*"
	tail -n 40 "$work"/*.log
	exit 1
}

# start_instance NUMBER DOMAIN BUILD
start_instance () {
	write_settings "in-$1" "$2" "$net.81.$1"
	start "in-$1" "$3/baobabvalved" --config="$work/in-$1.ini"
}

# sees NUMBER NAME STATE: the instance holds the member to be in that state.
sees () {
	"$bin/baobabvalve" status --format=json "$net.81.$1:7400" |
		tr -d ' \n' |
		grep -q "\"name\":\"$2\",\"domain\":\"[a-z]*\",\"state\":\"$3\""
}

# all_see NAME STATE NUMBER...
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

# all_have EPOCH
all_have () {
	for n in 1 2 3 4
	do
		wait_until 10 in_force "$net.81.$n" "$1" ||
			fail "epoch $1 on in-$n"
	done
}

# publish BUILD SLOTS
publish () {
	sed -i "s/^\(slots\|connections\) = .*/\1 = $2/" \
		"$work/services/permit-desk.ini"
	"$1/baobabvalve" publish --store=$store --why="slots $2" \
		"$work/services" >"$work/out" 2>&1 ||
		fail "publish by $1: $(cat "$work/out")"
}

audit () {
	"$1/baobabvalve" audit --store=$store --format=json
}

echo "== the old build alone: publish, a domain out and back"
copy_services examples/demo
start store "$old/store-stand-in" $store "$work/store.json"
wait_until 5 curl -sS "http://$store/stand-in/calls" || fail "no store"
publish "$old" 4
publish "$old" 5
"$old/baobabvalve" domain out south --store=$store --why=flood >/dev/null ||
	fail "domain out by the old build"
start_instance 1 north "$old"
start_instance 2 south "$old"
wait_until 10 in_force $net.81.1 2 || fail "epoch 2 on in-1"
curl -sS -X POST "http://$store/stand-in/fault" -d '{"save": true}' >/dev/null

echo "== new instances read what the old build stored"
start_instance 3 north "$bin"
start_instance 4 south "$bin"
all_have 2
for n in 3 4
do
	wait_until 10 grep -q 'domain south is out' "$work/in-$n.log" ||
		fail "in-$n did not read the domain's record"
done
for m in 1 2 3 4
do
	all_see "in-$m" alive 1 2 3 4
done
test "$(audit "$old")" = "$(audit "$bin")" || fail "two audit trails differ"
"$bin/baobabvalve" check "$work/services" >/dev/null ||
	fail "service files of the old build"
"$bin/baobabvalve" check --settings="$work/in-1.ini" >/dev/null ||
	fail "settings of the old build"

echo "== each build's command, read by instances of both"
publish "$bin" 6
all_have 3
publish "$old" 7
all_have 4
for build in "$bin" "$old"
do
	"$build/baobabvalve" domain back south --store=$store --why=dry \
		--wait --instances=$admins >"$work/out" 2>&1 ||
		fail "back by $build: $(cat "$work/out")"
	"$build/baobabvalve" domain out south --store=$store --why=flood \
		--wait --instances=$admins >"$work/out" 2>&1 ||
		fail "out by $build: $(cat "$work/out")"
	grep -q '4 of 4 instances ' "$work/out" ||
		fail "out by $build: $(cat "$work/out")"
done
test "$(audit "$old")" = "$(audit "$bin")" || fail "two audit trails differ"

echo "== an old instance is killed, a new one takes its place"
stop_process in-2 KILL
all_see in-2 dead 1 3 4
start_instance 2 south "$bin"
all_see in-2 alive 1 3 4
all_have 4

echo "== without the store, both builds learn from each other"
stop_process store KILL
stop_process in-4 KILL
start_instance 4 south "$old"
wait_until 10 in_force $net.81.4 4 || fail "no epoch from peers"
stop_process in-3 TERM
start_instance 3 north "$bin"
all_have 4
for n in 1 2 3 4
do
	stop_process "in-$n" TERM
done

echo "== flows on the users' platform, old and new instances"
store=$net.0.1:22989
start edge-store "$old/platform-store-stand-in" $store
wait_until 5 curl -sS --noproxy '*' "http://$store/kv-range?prefix=" ||
	fail "no store of the platform"
write_config 1 8443
n=1
for build in "$old" "$bin" "$old" "$bin"
do
	domain=north
	test $n -gt 2 && domain=south
	edge_settings "edge-$n" $domain "$net.82.$n" $store
	start "edge-$n" "$build/baobabvalved" --config="$work/edge-$n.ini"
	start "up-$n" "$bin/cookie-upstream-stand-in" "i-a$n" board $domain \
		"$net.83.$n:9003" $port $store 10
	n=$((n + 1))
done
for n in 1 2 3 4
do
	wait_until 10 is_ready $net.82.$n || fail "edge-$n is not ready"
done
sleep 1
start caller "$bin/cookie-caller-stand-in" "$net.84.1:$port" $service \
	$net.82.1,$net.82.2,$net.82.3,$net.82.4 60 8 100
caller=$(cat "$work/caller.pid")
sleep 1
stop_process edge-1 KILL
start edge-1 "$bin/baobabvalved" --config="$work/edge-1.ini"
sleep 2
stop_process edge-2 TERM
start edge-2 "$old/baobabvalved" --config="$work/edge-2.ini"
write_config 2 8443 8080
wait "$caller" || fail "answers went wrong: $(cat "$work/caller.log")"
report=$work/caller.log
cat "$report"
grep -q "changed packet" "$work"/up-*.log && fail "a packet was changed"
test "$(value answered "$report")" -gt 2000 || fail "too few answers"
test "$(value reset "$report")" -eq 0 || fail "open flows were reset"
test "$(value lost "$report")" -eq 0 || fail "requests were lost"
for n in 1 2 3 4
do
	grep -q "event=problem" "$work/edge-$n.log" &&
		fail "edge-$n has a problem"
	wait_until 5 grep -q "event=routes version=2" "$work/edge-$n.log" ||
		fail "edge-$n did not take version 2"
done
echo ok
