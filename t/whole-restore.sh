#!/bin/sh
# The store comes back from an older copy, with real processes: three instances,
# three upstreams and the store stand-in. Guards against a configuration that
# goes back, an upstream that drained or left and a domain that was taken out in
# use again, and instances that stay in an earlier era.

bin=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/edge-lib.sh"
store=$net.0.1:22781

fail () {
	for n in 1 2 3
	do
		curl -sS --noproxy '*' --max-time 1 -o "$work/metrics-$n" \
			"http://$net.71.$n:$((port + 2))/metrics"
	done
	rm -rf build/whole-restore
	mkdir -p build
	cp -r "$work" build/whole-restore
	tail -n 10 "$work"/*.log
	echo "FAILED: $* (logs and metrics are in build/whole-restore)"
	exit 1
}

# metric N NAME: prints a metric of instance N.
metric () {
	curl -sS --noproxy '*' --max-time 1 \
		"http://$net.71.$1:$((port + 2))/metrics" |
		sed -n "s/^baobabvalve_$2 //p"
}

# shows N NAME VALUE: true if the metric of instance N has VALUE.
shows () {
	test "$(metric "$1" "$2")" = "$3"
}

all_show () {
	for n in 1 2 3
	do
		shows $n "$1" "$2" || return 1
	done
}

start store "$bin/platform-store-stand-in" $store
wait_until 5 curl -sS --noproxy '*' "http://$store/kv-range?prefix=" ||
	fail "the store does not answer"
write_config 1 8443 8080
for n in 1 2 3
do
	domain=north
	test $n -gt 2 && domain=south
	edge_settings "in-$n" $domain "$net.71.$n" $store
	start "in-$n" "$bin/baobabvalved" --config="$work/in-$n.ini"
	start "up-$n" "$bin/cookie-upstream-stand-in" "i-a$n" board $domain \
		"$net.72.$n:9003" $port $store 10
done
for n in 1 2 3
do
	wait_until 10 is_ready $net.71.$n || fail "in-$n is not ready"
done
all_show store_era 1 || fail "the era is not shown"

# After the copy: a new configuration, an upstream that drains, a domain out.
fault copy
write_config 2 8443
echo '{}' >"$work/out.json"
put op/evacuate/south "$work/out.json"
kill -s TERM "$(cat "$work/up-1.pid")"
wait_until 5 all_show config_version 2 || fail "version 2 is not in force"
sleep 1

# The store is away for a moment and comes back from the copy. Upstreams write
# again with their heartbeats, the operator only later.
fault silent
sleep 0.5
fault restore
fault well
wait_until 5 all_show store_era 2 || fail "not all are in the new era"
for i in 1 2 3 4 5 6
do
	all_show config_version 2 || fail "the configuration went back"
	for n in 1 2 3
	do
		"$bin/baobabvalve" status "$net.71.$n:$((port + 2))" \
			>"$work/status.log" || fail "status of in-$n failed"
		grep -q "store era 2" "$work/status.log" ||
			fail "status of in-$n does not show the era"
		grep -q "domain south  *out" "$work/status.log" ||
			fail "the domain is in use again at in-$n"
		grep "^ *i-a1 " "$work/status.log" | grep -q "draining\|gone" ||
			fail "the draining upstream is in use again at in-$n"
	done
	sleep 0.4
done
grep -q "event=store-restored era=2" "$work/in-1.log" ||
	fail "the new era was not logged"
grep -qh "event=record-held key=op/evacuate/south store=missing" \
	"$work"/in-*.log || fail "the held record was not logged"

# An instance that starts now learns from its peers what the copy lacks.
stop_process in-2 KILL
start in-2 "$bin/baobabvalved" --config="$work/in-2.ini"
sleep 1.5
test "$(metric 2 config_version)" != 1 || ! is_ready $net.71.2 >/dev/null 2>&1 ||
	fail "a starting instance is ready with an older configuration"

# The operator writes again: all agree, and nothing is held any more.
write_config 2 8443
put op/evacuate/south "$work/out.json"
wait_until 10 all_show config_version 2 ||
	fail "version 2 is not in force everywhere"
wait_until 10 is_ready $net.71.2 || fail "in-2 is not ready"
wait_until 20 all_show records_held 0 || fail "records are still held"

# A late answer of the era before changes nothing.
fault copy
fault restore
wait_until 5 all_show store_era 3 || fail "not all are in the third era"
fault stale
sleep 2.5
fault well
all_show store_era 3 || fail "an instance went back to an earlier era"

# counts_malformed N...: true if one of these instances has counted one.
counts_malformed () {
	for n in "$@"
	do
		malformed=$(metric "$n" store_era_malformed)
		test "${malformed:-0}" -gt 0 && return 0
	done
	return 1
}

# Nor does an era that cannot be read, which the store reader of each domain
# counts with its next poll, 2.5 s after the one before.
fault bad-era
sleep 2.5
wait_until 5 counts_malformed 1 2 ||
	fail "an unreadable era was not counted in domain north"
wait_until 5 counts_malformed 3 ||
	fail "an unreadable era was not counted in domain south"
fault well
all_show store_era 3 || fail "an instance took an unreadable era"
wait_until 5 shows 3 store_era 3 || fail "in-3 does not answer"
write_config 3 8443 8080
wait_until 10 all_show config_version 3 ||
	fail "changes of the new era do not arrive"

# Callers are served all the while by the upstream that is left.
"$bin/cookie-caller-stand-in" "$net.73.1:$port" $service \
	$net.71.1,$net.71.2,$net.71.3 5 2 100 >"$work/caller.log" ||
	fail "answers went wrong"
test "$(value answered "$work/caller.log")" -gt 20 || fail "too few answers"
echo ok
