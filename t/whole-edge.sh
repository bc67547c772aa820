#!/bin/sh
# Flows on the users' platform with real processes: three instances, four
# upstreams and the store stand-in. Instances are killed and stopped, upstreams
# drain and are killed, the store does not answer for a while, and the
# configuration drops a route. Guards against flows that move to another
# upstream, wrong answers, and resets of open flows whose upstream is alive.

bin=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/edge-lib.sh"
store=$net.0.1:22779

fail () {
	echo "FAILED: $*"
	tail -n 20 "$work"/*.log
	exit 1
}

# start_caller NAME: starts a caller of 60 flows and waits until each of them
# had an answer.
start_caller () {
	start "$1" "$bin/cookie-caller-stand-in" "$net.73.1:$port" $service \
		$net.71.1,$net.71.2,$net.71.3 60 120 100
	wait_until 60 grep -q "^all flows answered" "$work/$1.log" ||
		fail "not all flows of $1 were answered"
}

# end_caller NAME: ends it, prints its report and checks its answers.
end_caller () {
	report=$work/$1.log
	kill -s TERM "$(cat "$work/$1.pid")"
	wait "$(cat "$work/$1.pid")" || fail "answers went wrong: $(cat "$report")"
	grep answered= "$report"
}

# busiest_upstream NAME: prints the number N of the upstream i-aN that has most
# flows of the caller.
busiest_upstream () {
	sed -n 's/^flow on i-a//p' "$work/$1.log" | sort | uniq -c |
		sort -rn | awk 'NR == 1 { print $2 }'
}

# entry_revision NAME: when the entry of the instance was written last.
entry_revision () {
	curl -sS --noproxy '*' \
		"http://$store/kv-range?prefix=baobabvalve/instances/$1" |
		sed -n 's/.*"rev": *\([0-9]*\).*/\1/p'
}

# what an instance loads delays its first packet
ldd "$bin/baobabvalve-edge" | grep -e libcurl -e libzmq &&
	fail "baobabvalve-edge loads libraries that it does not need"
cat >"$work/other.ini" <<EOT
[instance]
name = in-9
domain = north
address = $net.71.9
[source]
directory = examples/demo
EOT
"$bin/baobabvalve-edge" --config="$work/other.ini" 2>"$work/other.log" &&
	fail "baobabvalve-edge runs without cookie steering"
grep -q "steering is not 'cookie'" "$work/other.log" ||
	fail "wrong error: $(cat "$work/other.log")"

start store "$bin/platform-store-stand-in" $store
wait_until 5 curl -sS --noproxy '*' "http://$store/kv-range?prefix=" ||
	fail "the store does not answer"
write_config 1 8443 8080
n=1
for domain in north north south
do
	edge_settings "in-$n" $domain "$net.71.$n" $store
	start "in-$n" "$bin/baobabvalve-edge" --config="$work/in-$n.ini"
	n=$((n + 1))
done
for n in 1 2 3 4
do
	domain=north
	test $n -gt 2 && domain=south
	start "up-$n" "$bin/cookie-upstream-stand-in" "i-a$n" board $domain \
		"$net.72.$n:9003" $port $store 10
done
for n in 1 2 3
do
	wait_until 10 is_ready $net.71.$n || fail "in-$n is not ready"
done
sleep 1

# The log tells which build runs.
build=$("$bin/baobabvalve-edge" --version | sed -n 's/.* build=//p')
grep -q "event=start instance=in-1 .* build=$build\$" "$work/in-1.log" ||
	fail "event=start does not tell the build"

# No flow is reset by a drain, a killed or stopped instance, or a store that
# loses its history and then does not answer.
start caller "$bin/cookie-caller-stand-in" "$net.73.1:$port" $service \
	$net.71.1,$net.71.2,$net.71.3 60 11 100
caller=$(cat "$work/caller.pid")
sleep 1
before=$(entry_revision in-2)
stop_process in-2 KILL
start in-2 "$bin/baobabvalve-edge" --config="$work/in-2.ini"
sleep 2
test -n "$before" && test "$(entry_revision in-2)" = "$before" ||
	fail "in-2 did not take over the entry that it had"
kill -s TERM "$(cat "$work/up-1.pid")"
fault forget
sleep 1
fault silent
sleep 3
fault well
stop_process in-3 TERM
start in-3 "$bin/baobabvalve-edge" --config="$work/in-3.ini"
wait "$caller" || fail "answers went wrong: $(cat "$work/caller.log")"
report=$work/caller.log
cat "$report"
grep -q "changed packet" "$work"/up-*.log && fail "a packet was changed"
test "$(value answered "$report")" -gt 3000 || fail "too few answers"
test "$(value reset "$report")" -eq 0 || fail "open flows were reset"
test "$(value lost "$report")" -eq 0 || fail "requests were lost"

# Only the flows of a killed upstream are reset.
start_caller second
killed=$(busiest_upstream second)
stop_process "up-$killed" KILL
sleep 4
end_caller second
test "$(value reset "$report")" -gt 0 || fail "no flow of the killed upstream was reset"
test "$(value lost "$report")" -eq 0 || fail "requests were lost"
grep -h "event=flow-reset" "$work"/in-*.log | grep -v "upstream=i-a$killed" &&
	fail "a flow of a live upstream was reset"

# A new upstream at the address of a killed one gets none of its flows; these
# are reset.
start_caller third
killed=$(busiest_upstream third)
stop_process "up-$killed" KILL
start up-5 "$bin/cookie-upstream-stand-in" i-a5 board south \
	"$net.72.$killed:9003" $port $store 10
sleep 4
end_caller third
test "$(value lost "$report")" -eq 0 || fail "requests were lost"
grep -q "event=check upstream=i-a$killed result=replaced" "$work"/in-*.log ||
	fail "the health check did not detect the new upstream"

# All instances are killed at once and restarted: open flows continue.
start_caller fourth
for n in 1 2 3
do
	stop_process "in-$n" KILL
done
sleep 0.3
for n in 1 2 3
do
	start "in-$n" "$bin/baobabvalve-edge" --config="$work/in-$n.ini"
done
sleep 5
end_caller fourth
test "$(value reset "$report")" -eq 0 || fail "open flows were reset"
test "$(value lost "$report")" -eq 0 || fail "requests were lost"
test "$(value answered "$report")" -gt 1000 || fail "too few answers"

# link_is STATE: whether in-1 last logged STATE of its link to domain south.
link_is () {
	grep "event=domain-link domain=south" "$work/in-1.log" | tail -n 1 |
		grep -q "link=$1"
}

# A domain whose only instance is gone is noticed, and so is its return.
stop_process in-3 KILL
wait_until 5 link_is doubtful || fail "the loss of a domain is not logged"
start in-3 "$bin/baobabvalve-edge" --config="$work/in-3.ini"
wait_until 10 link_is up || fail "the return of a domain is not logged"
wait_until 10 is_ready $net.71.3 || fail "in-3 is not ready"

# A dropped route refuses new flows and ends open ones.
write_config 2 8080
sleep 1.5
"$bin/cookie-caller-stand-in" "$net.73.2:$port" $service $net.71.1 5 1 50 \
	>"$work/dropped.log"
test "$(value answered "$work/dropped.log")" -eq 0 ||
	fail "a dropped route still answers: $(cat "$work/dropped.log")"
grep -q "event=flow-refused.*reason=no-route" "$work/in-1.log" ||
	fail "the refusal was not logged"
curl -sS --noproxy '*' "http://$net.71.1:$((port + 2))/metrics" |
	grep -q "^baobabvalve_flow_forwarded [1-9]" ||
	fail "the metrics count nothing forwarded"

# A settings file that changes is reloaded even without a signal.
sed -i 's/^heartbeat = .*/heartbeat = 500ms/' "$work/in-1.ini"
wait_until 5 grep -q "event=reload .*cause=changed" "$work/in-1.log" ||
	fail "a changed settings file was not noticed"
kill -s HUP "$(cat "$work/in-1.pid")"
wait_until 5 grep -q "event=reload .*cause=signal" "$work/in-1.log" ||
	fail "SIGHUP did not reload the settings"

# The command checks this platform's settings and configuration, and shows the
# instance's status.
"$bin/baobabvalve" check --settings="$work/in-1.ini" >/dev/null ||
	fail "check refused valid settings"
sed 's/^ready = .*/ready = nowhere/' "$work/in-1.ini" >"$work/bad.ini"
"$bin/baobabvalve" check --settings="$work/bad.ini" >"$work/bad.log" 2>&1 &&
	fail "check accepted invalid settings"
grep -q "bad.ini:[0-9]*: \[listen\] ready" "$work/bad.log" ||
	fail "check does not name file and line: $(cat "$work/bad.log")"
"$bin/baobabvalve" check --platform-config="$work/config.json" >/dev/null ||
	fail "check refused a valid configuration"
echo '{"version":3}' >"$work/bad.json"
"$bin/baobabvalve" check --platform-config="$work/bad.json" >/dev/null 2>&1 &&
	fail "check accepted an invalid configuration"
"$bin/baobabvalve" status "$net.71.1:$((port + 2))" >"$work/status.log" ||
	fail "status failed"
grep -q "service board" "$work/status.log" || fail "status shows no service"

# On SIGTERM the instance exits by itself with code 0.
kill -s TERM "$(cat "$work/in-1.pid")"
wait "$(cat "$work/in-1.pid")" || fail "in-1 did not stop cleanly"
echo ok
