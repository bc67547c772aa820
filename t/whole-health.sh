#!/bin/sh
# An upstream is killed and later restarted cold. Guards against lost requests,
# more requests for the cold upstream than it has cold slots, and an upstream
# that gets no requests after it has warmed.

bin=$1
. "$(dirname "$0")/lib.sh"
store=$net.0.1:22579
seeds=$net.53.1:7401,$net.53.2:7401

fail () {
	echo "FAILED: $*"
	tail -n 40 "$work"/*.log
	exit 1
}

# desk_is INSTANCE STATE: true if status of the instance shows desk-1 in STATE.
desk_is () {
	"$bin/baobabvalve" status "$net.53.$1:7400" |
		grep -q "desk-1 .* $2\$"
}

# counter NAME: prints the counter's sum over both instances.
counter () {
	for i in 1 2
	do
		"$bin/baobabvalve" status --format=json "$net.53.$i:7400"
	done | sed -n "s/.*\"$1\": \([0-9]*\).*/\1/p" |
		awk '{ n += $1 } END { print n + 0 }'
}

# send_requests N: sends N requests in sequence; fails if one is not answered.
send_requests () {
	n=$1
	while test "$n" -gt 0
	do
		curl -sSf --max-time 10 "http://$net.53.$((n % 2 + 1)):8080/$n" \
			>>"$work/answers" || return 1
		n=$((n - 1))
	done
}

# start_desk N COLD_MS: starts desk-N, which is cold for COLD_MS.
start_desk () {
	start "desk-$1" "$bin/upstream-stand-in" --slots=3 --cold-slots=1 \
		--cold-ms="$2" "desk-$1" "$net.41.$1:9001" 50
}

copy_services examples/demo
start store "$bin/store-stand-in" $store
write_settings one north $net.53.1
write_settings two south $net.53.2
start one "$bin/baobabvalved" --config="$work/one.ini"
start two "$bin/baobabvalved" --config="$work/two.ini"
for n in 1 2 3 4
do
	start_desk $n 0
done
wait_until 5 "$bin/baobabvalve" publish --store=$store "$work/services" ||
	fail "publish"
for i in 1 2
do
	wait_until 10 in_force $net.53.$i 1 ||
		fail "epoch 1 is not in force on instance $i"
	wait_until 40 desk_is $i warm ||
		fail "instance $i does not show desk-1 as warm"
done

stop_process desk-1 KILL
send_requests 30 || fail "a request was lost when an upstream died"
for i in 1 2
do
	wait_until 15 desk_is $i down ||
		fail "instance $i does not show desk-1 as down"
done
: >"$work/answers"
send_requests 20 || fail "a request was lost while an upstream was down"
grep -q 'from desk-1' "$work/answers" && fail "a dead upstream answered"

shed=$(counter request.shed)
start_desk 1 4000
for i in 1 2
do
	wait_until 15 desk_is $i cold ||
		fail "instance $i does not show desk-1 as cold"
done
senders=
for n in 1 2 3 4 5 6
do
	send_requests 20 &
	senders="$senders $!"
done
for sender in $senders
do
	wait "$sender" || fail "a request was lost while desk-1 was cold"
done
test "$(counter request.shed)" -eq "$shed" ||
	fail "a cold upstream got more than its cold limit"
for i in 1 2
do
	wait_until 30 desk_is $i warm ||
		fail "instance $i does not show desk-1 as warm again"
done
: >"$work/answers"
send_requests 20 || fail "a request was lost after desk-1 warmed"
grep -q 'from desk-1' "$work/answers" || fail "desk-1 gets no requests after it warmed"
echo ok
