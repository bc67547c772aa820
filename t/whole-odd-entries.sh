#!/bin/sh
# Odd entries in the store's list, left by another writer, with real processes:
# two instances, three upstreams and the store stand-in. Guards against
# instances that end or stop following the list, upstreams that stay unused, and
# open flows that are reset or moved. One instance is started again, with a bound
# that has decimals.

bin=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/edge-lib.sh"
store=$net.0.1:22779

fail () {
	echo "FAILED: $*"
	tail -n 20 "$work"/*.log
	exit 1
}

# put_text KEY TEXT: writes TEXT as an entry of the store.
put_text () {
	printf '%s' "$2" >"$work/text"
	put "$1" "$work/text"
}

# entry ADDRESS BORN [SERVICE]: prints an entry of an upstream.
entry () {
	echo "{\"service\":\"${3:-board}\",\"addr\":\"$1\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":1,\"born\":$2}"
}

# has_logged N TEXT: true if both instances have logged TEXT N times or more.
has_logged () {
	for i in 1 2
	do
		test "$(grep -c "$2" "$work/in-$i.log")" -ge "$1" || return 1
	done
}

start store "$bin/platform-store-stand-in" $store
wait_until 5 curl -sS --noproxy '*' "http://$store/kv-range?prefix=" ||
	fail "the store does not answer"
write_config 1 8443
for n in 1 2
do
	edge_settings "in-$n" north "$net.71.$n" $store
	start "in-$n" "$bin/baobabvalve-edge" --config="$work/in-$n.ini"
	start "up-$n" "$bin/cookie-upstream-stand-in" "i-a$n" board north \
		"$net.72.$n:9003" $port $store 10
done
for n in 1 2
do
	wait_until 10 is_ready $net.71.$n || fail "in-$n is not ready"
done
wait_until 5 has_logged 1 "event=upstream upstream=i-a2" ||
	fail "an upstream is missing"
start caller "$bin/cookie-caller-stand-in" "$net.73.1:$port" $service \
	$net.71.1,$net.71.2 40 10 100
caller=$(cat "$work/caller.pid")
sleep 1

# From now on, all reads of the store have items that can't be read.
fault odd
head -c 200000 /dev/zero | tr '\0' '[' >"$work/deep"
put servers/i-a1 "$work/deep"
put servers/i-b1 "$work/deep"
put_text servers/i-a2 "$(entry "$net.72.2:99999" 1)"
put_text servers/i-b2 "$(entry "$net.72.9:-1" 1)"
put_text servers/i-b3 "$(entry "$net.72.9:9003" -1)"
put_text servers/i-b4 "$(entry "$net.72.9:9003" 99999999999999999999)"
put_text servers/i-ffffffffffffffffffffffff "$(entry "$net.72.9:9003" 1)"
put_text servers/x-00A1 "$(entry "$net.72.9:9003" 9999999999999)"
put_text servers/i-b5 ""
printf '\377\376' >"$work/text"
put servers/i-b6 "$work/text"
sleep 2
put_text servers/i-a2 "$(entry "$net.72.9:9003" 1)"
wait_until 5 has_logged 2 "event=upstream-invalid upstream=i-a2" ||
	fail "the entry with another address was not refused"

# Agents on the hosts, older than the upstreams, with their numbers.
put_text servers/agent-a1 "$(entry "$net.72.1:9100" 1000 host-agent)"
put_text servers/agent-a2 "$(entry "$net.72.2:9100" 1000 host-agent)"
wait_until 5 has_logged 1 "event=upstream-invalid upstream=agent-a2 .*not conf" ||
	fail "the entry of another service was not refused"

# Later changes are still followed, also by an instance that starts now, and
# after the history is lost.
fault forget
stop_process in-2 KILL
sed -i "s/^stop = 6s/stop = 5.5s/" "$work/in-2.ini"
start in-2 "$bin/baobabvalve-edge" --config="$work/in-2.ini"
wait_until 10 is_ready $net.71.2 || fail "in-2 did not start again"
start up-3 "$bin/cookie-upstream-stand-in" i-a3 board north \
	"$net.72.3:9003" $port $store 10
wait_until 5 has_logged 1 "event=upstream upstream=i-a3" ||
	fail "an upstream that came later is not known"
write_config 2 8443 8080
wait_until 5 has_logged 1 "event=routes version=2" ||
	fail "a later configuration is not in force"
drop servers/i-b1
wait "$caller" || fail "answers went wrong: $(cat "$work/caller.log")"
report=$work/caller.log
cat "$report"
test "$(value answered "$report")" -gt 1000 || fail "too few answers"
test "$(value reset "$report")" -eq 0 || fail "open flows were reset"
test "$(value lost "$report")" -eq 0 || fail "requests were lost"
grep -h "event=flow-opened" "$work"/in-*.log | grep -v "upstream=i-a[123] " &&
	fail "a flow was opened at an upstream of another writer"
grep -h "event=store-lost" "$work"/in-*.log && fail "the store was given up"
"$bin/cookie-caller-stand-in" "$net.73.2:$port" $service \
	$net.71.1,$net.71.2 40 2 100 >"$work/second.log"
grep -q "^flow on i-a" "$work/second.log" || fail "new flows get no answer"
curl -sS --noproxy '*' "http://$net.71.1:$((port + 2))/metrics" |
	grep -q "^baobabvalve_store_items_unreadable [1-9]" ||
	fail "unreadable items were not counted"
grep -q "event=problem what=store why=.* items can't be read" "$work/in-1.log" ||
	fail "unreadable items were not logged"

# Events that are longer than a client reads are passed by a whole read.
fault huge
write_config 3 8443 8081
wait_until 5 has_logged 1 "event=routes version=3" ||
	fail "a change beside a huge event is not in force"
for n in 1 2
do
	kill -s TERM "$(cat "$work/in-$n.pid")"
	wait "$(cat "$work/in-$n.pid")" || fail "in-$n did not stop cleanly"
done
echo ok
