#!/bin/sh
# An upgrade under load with real processes, and its reversal: instances of the
# build that runs in production, `production` in deploy/system.toml, are replaced
# one after the other by those of this build, and back. Meanwhile configurations
# change, a domain is taken out, and upstreams drain, are killed and are replaced
# at the same address. Guards against builds that do not understand each other:
# flows of live upstreams that are reset, verdicts that the other build ignores,
# configurations that revert.
#
# The old build comes from the repository's history and stays in build/.

bin=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/edge-lib.sh"
store=$net.0.1:22389
config_ms=3000
evacuation_ms=5000
reset_ms=3000
running=

fail () {
	echo "FAILED: $*"
	mkdir -p build
	cp -r "$work" build/whole-upgrade
	echo "logs are in build/whole-upgrade"
	exit 1
}

now_ms () {
	date +%s%3N
}

# prepare_old_build COMMIT: builds its baobabvalve-edge, if not done before.
prepare_old_build () {
	dir=build/old-$1
	old=$dir/target/release/baobabvalve-edge
	test -x "$old" && return
	git cat-file -e "$1^{commit}" 2>/dev/null ||
		fail "commit $1 is not in the repository's history" \
			"(a shallow clone?), so there is no old build"
	if ! test -d "$dir"
	then
		rm -rf "$dir.part"
		mkdir -p "$dir.part"
		git archive "$1" | tar xf - -C "$dir.part" &&
			mv "$dir.part" "$dir" || fail "sources of $1"
	fi
	env -u MAKEFLAGS -u MAKELEVEL make -C "$dir" \
		-j$((($(nproc) + 1) / 2)) NO_INSTALL=1 B=target/release \
		target/release/baobabvalve-edge >"$work/make.log" 2>&1 ||
		fail "the build of $1"
}

domain_of () {
	case $1 in
	1 | 2 | 5) echo north ;;
	*) echo south ;;
	esac
}

# log_of NUMBER: the log of the instance's present process. The name ends with
# its build.
log_of () {
	echo "$work/$(cat "$work/in-$1.process").log"
}

# start_instance NUMBER BUILD: starts a process of that build, old or new.
start_instance () {
	lives=$((lives + 1))
	process=in-$1-$lives-$2
	program=$bin/baobabvalve-edge
	test "$2" = old && program=$old
	edge_settings "in-$1" "$(domain_of "$1")" "$net.101.$1" "$store"
	echo "$process" >"$work/in-$1.process"
	now_ms >"$work/in-$1.started"
	start "$process" "$program" --config="$work/in-$1.ini"
	running="$running $1"
}

# begin_stop NUMBER: checks its metrics and sends SIGTERM to the instance.
begin_stop () {
	check_metrics "$1"
	running=$(echo " $running " | sed "s/ $1 / /")
	kill -s TERM "$(cat "$work/$(cat "$work/in-$1.process").pid")"
}

end_stop () {
	wait "$(cat "$work/$(cat "$work/in-$1.process").pid")" ||
		fail "in-$1 ended with code $?"
}

# check_metrics NUMBER: it refused no message and no configuration.
check_metrics () {
	curl -sS --noproxy '*' --max-time 5 \
		"http://$net.101.$1:$((port + 2))/metrics" >"$work/metrics" ||
		fail "in-$1 has no metrics"
	grep -q "^baobabvalve_peer_received [1-9]" "$work/metrics" ||
		fail "in-$1 received nothing from other instances"
	for name in peer_malformed flow_malformed config_corrupt config_stale
	do
		grep -qx "baobabvalve_$name 0" "$work/metrics" ||
			fail "in-$1: $(grep "^baobabvalve_$name " "$work/metrics")"
	done
}

# sees_alive NUMBER NAME SINCE: the instance logged NAME as alive at SINCE (ms)
# or later.
sees_alive () {
	grep "event=member instance=$2 .*state=alive" "$(log_of "$1")" |
		awk -v since="$3" 'substr($1, 3) + 0 >= since { found = 1 }
			END { exit !found }'
}

# await_start NUMBER: waits until it is ready, has the configuration, and all
# running instances know each other's present process.
await_start () {
	wait_until 10 is_ready "$net.101.$1" || fail "in-$1 is not ready"
	# lines are written some time after their event
	wait_until 5 grep -q "event=ready ready=1" "$(log_of "$1")" ||
		fail "in-$1 does not log that it is ready"
	grep -m 1 "event=ready ready=1" "$(log_of "$1")" |
		grep -q " version=$config " ||
		fail "in-$1 was ready without version $config"
	for other in $running
	do
		test "$other" = "$1" && continue
		wait_until 5 sees_alive "$other" "in-$1" \
			"$(cat "$work/in-$1.started")" ||
			fail "in-$other does not see in-$1 alive"
		wait_until 5 sees_alive "$1" "in-$other" 0 ||
			fail "in-$1 does not see in-$other alive"
	done
}

# await_line LIMIT-MS SINCE TEXT: each running instance logs a line with TEXT,
# by LIMIT-MS after SINCE (ms).
await_line () {
	for n in $running
	do
		wait_until 10 grep -q "$3" "$(log_of "$n")" ||
			fail "in-$n did not log: $3"
		at=$(grep "$3" "$(log_of "$n")" | tail -n 1 |
			sed 's/^t=\([0-9]*\) .*/\1/')
		test $((at - $2)) -le "$1" ||
			fail "in-$n logged '$3' after $((at - $2)) ms"
	done
}

# store_config: stores the next version.
store_config () {
	config=$((config + 1))
	write_config $config 8443 $((8000 + config))
	config_stored_ms=$(now_ms)
}

await_config () {
	await_line $config_ms "$config_stored_ms" \
		"event=routes version=$config "
}

# replace NUMBER NEXT BUILD: NEXT starts before NUMBER stops if it is another
# one, and else when it has stopped. The configuration changes meanwhile.
replace () {
	test "$1" = "$2" || { start_instance "$2" "$3" && await_start "$2"; }
	begin_stop "$1"
	store_config
	await_config
	end_stop "$1"
	test "$1" = "$2" && start_instance "$2" "$3" && await_start "$2"
	echo "in-$1 replaced by in-$2 ($3)"
}

start_upstream () {
	start "up-$1" "$bin/cookie-upstream-stand-in" "i-a$1" board "$2" "$3" \
		$port $store 10
}

# kill_upstream N: sets $killed_ms.
kill_upstream () {
	echo "upstream=i-a$1 " >>"$work/killed"
	killed_ms=$(now_ms)
	stop_process "up-$1" KILL
}

# check_resets N BUILD...: instances of all these builds reset flows of upstream
# N, which was killed last, and callers heard of all resets within the limit.
check_resets () {
	gone=i-a$1
	shift
	for build in "$@"
	do
		wait_until 5 grep -q "event=flow-reset .*upstream=$gone " \
			"$work"/in-*-$build.log ||
			fail "no $build instance reset flows of $gone"
	done
	sleep $((reset_ms / 1000))
	grep -h "^reset on $gone " "$work/long.log" "$work/short.log" \
		>"$work/resets"
	late=$(awk -v by=$((killed_ms + reset_ms)) '$4 > by' "$work/resets")
	test -z "$late" || fail "resets too long after $killed_ms: $late"
	echo "$gone killed: $(wc -l <"$work/resets") flows reset"
}

# hears_verdicts NUMBER: the instance read verdicts of other instances.
hears_verdicts () {
	curl -sS --noproxy '*' --max-time 5 \
		"http://$net.101.$1:$((port + 2))/metrics" |
		grep -q "^baobabvalve_health_notices_received [1-9]"
}

# check_reset_flows NAME ADDRESS: that caller's flows that were reset were of
# killed upstreams. Several instances may reset a flow; all must name the same
# upstream.
check_reset_flows () {
	sed -n 's/^reset on \([^ ]*\) [0-9]* \([0-9]*\)$/\1 \2/p' \
		"$work/$1.log" >"$work/resets"
	while read -r upstream from
	do
		test "$upstream" != none ||
			upstream=$(grep -h "event=flow-reset flow=$2:$from-" \
				"$work"/in-*.log |
				sed 's/.* upstream=\([^ ]*\) .*/\1/' |
				sort -u)
		grep -qx "upstream=$upstream " "$work/killed" ||
			fail "$1 flow $2:$from of '$upstream' was reset"
	done <"$work/resets"
}

# take_out DOMAIN: when all instances know it, and EVACUATION_MS have passed,
# no flow is opened there; then it is put back.
take_out () {
	echo '{}' >"$work/empty"
	put "op/evacuate/$1" "$work/empty"
	out_ms=$(now_ms)
	await_line $evacuation_ms "$out_ms" "event=domain domain=$1 out=1 "
	sleep $(((evacuation_ms + 1500) / 1000))
	put_back_ms=$(now_ms)
	drop "op/evacuate/$1"
	await_line $evacuation_ms "$put_back_ms" "event=domain domain=$1 out=0 "
	awk -v after=$((out_ms + evacuation_ms)) -v before="$put_back_ms" \
		'/event=flow-opened/ {
			t = substr($1, 3) + 0
			if (t > after && t < before) print
		}' "$work"/in-*.log >"$work/opened"
	test -s "$work/opened" || fail "no flow was opened while $1 was out"
	grep -f "$work/upstreams-$1" "$work/opened" &&
		fail "flows were opened to $1 while it was out"
	echo "$1 out and back: $(wc -l <"$work/opened") flows opened elsewhere"
}

commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)
test -n "$commit" || fail "deploy/system.toml does not name a commit"
rm -rf build/whole-upgrade
prepare_old_build "$commit"
began_ms=$(now_ms)

lives=0
config=0
start store "$bin/platform-store-stand-in" $store
wait_until 5 curl -sS --noproxy '*' "http://$store/kv-range?prefix=" ||
	fail "the store does not answer"
store_config
for n in 1 2 3 4
do
	start_instance $n old
done
echo "upstream=i-a9 " >"$work/upstreams-north"
for n in 1 2 3 4 5 6 7 8
do
	domain=north
	test $n -gt 4 && domain=south
	echo "upstream=i-a$n " >>"$work/upstreams-$domain"
	start_upstream $n $domain "$net.102.$n:9003"
done
for n in 1 2 3 4
do
	await_start $n
done
sleep 1
list=$net.101.1,$net.101.2,$net.101.3,$net.101.4,$net.101.5,$net.101.6
start long "$bin/cookie-caller-stand-in" "$net.103.1:$port" $service $list \
	100 600 300
start short "$bin/cookie-caller-stand-in" "$net.103.2:$port" $service $list \
	20 600 100 5
for caller in long short
do
	wait_until 20 grep -q "^all flows answered" "$work/$caller.log" ||
		fail "not all $caller flows were answered"
done

kill_upstream 3
check_resets 3 old

echo "== upgrade: one instance of each domain, then trouble, then the others"
replace 1 5 new
# all others are of the other build, and renew their verdicts on i-a3
wait_until 10 hears_verdicts 5 || fail "no verdict of the old build is read"
replace 3 6 new
kill_upstream 6
check_resets 6 old new
kill -s TERM "$(cat "$work/up-4.pid")"
take_out south
wait "$(cat "$work/up-4.pid")" || fail "i-a4 ended with code $?"
for n in $running
do
	wait_until 5 grep -q "event=upstream upstream=i-a4 .*state=gone" \
		"$(log_of "$n")" || fail "i-a4 is not gone at in-$n"
done
replace 2 1 new
replace 4 3 new

echo "== downgrade, each at its address"
replace 5 5 old
wait_until 10 hears_verdicts 5 || fail "no verdict of the new build is read"
replace 6 6 old
kill_upstream 2
start_upstream 9 north "$net.102.2:9003"
check_resets 2 old new
grep -q "event=check upstream=i-a2 result=replaced" "$work"/in-*.log ||
	fail "no health check detected the new upstream"
take_out north
replace 1 1 old
replace 3 3 old
store_config
await_config

# check_lost REPORT: no request was lost. The build abda355 sends copies of a SYN
# to an upstream that it has found dead; such a flow does not count.
check_lost () {
	excused=0
	for lost_port in $(sed -n 's/^lost on none [0-9]* //p' "$1")
	do
		grep -h ":$lost_port-$service " "$work"/in-*-new.log |
			grep -q "event=flow-" && continue
		grep -h "event=flow-.*:$lost_port-$service " \
			"$work"/in-*-old.log >"$work/lost" || continue
		grep -q -v -f "$work/killed" "$work/lost" ||
			excused=$((excused + 1))
	done
	test "$(value lost "$1")" -eq "$excused" || fail "requests were lost"
}

for caller in long short
do
	report=$work/$caller.log
	kill -s TERM "$(cat "$work/$caller.pid")"
	wait "$(cat "$work/$caller.pid")" ||
		fail "answers of $caller flows went wrong: $(tail -n 1 "$report")"
	echo "$caller: $(grep answered= "$report")"
	test "$(value answered "$report")" -gt 5000 || fail "too few answers"
	check_lost "$report"
done
check_reset_flows long "$net.103.1"
check_reset_flows short "$net.103.2"
rest=$running
for n in $rest
do
	begin_stop "$n"
done
for n in $rest
do
	end_stop "$n"
done
grep -h "event=flow-reset" "$work"/in-*.log | grep -v -f "$work/killed" &&
	fail "flows of live upstreams were reset"
grep -h -e "event=problem" -e "event=routes-refused" \
	-e "event=upstream-invalid" "$work"/in-*.log && fail "problems"
grep -h -e "changed packet" -e "late syn" "$work"/up-*.log &&
	fail "changed packets, or new flows to a draining upstream"

# The versions that an instance applies only rise, also over its restarts.
for n in 1 2 3 4 5 6
do
	grep -h "event=routes version=" "$work"/in-$n-*.log |
		sed 's/^t=\([0-9]*\) .* version=\([0-9]*\) .*/\1 \2/' |
		sort -s -n -k 1,1 >"$work/versions"
	test -s "$work/versions" || fail "in-$n applied no configuration"
	awk '$2 < last { exit 1 } { last = $2 }' "$work/versions" ||
		fail "a configuration reverted on in-$n: $(cat "$work/versions")"
done

# The log tells which build runs.
build=$("$bin/baobabvalve-edge" --version | sed -n 's/.* build=//p')
for log in "$work"/in-*-new.log
do
	grep -q "event=start .* build=$build\$" "$log" ||
		fail "event=start does not tell the build"
done
echo "$(($(now_ms) - began_ms)) ms, $config configurations"
for build in old new
do
	echo "verdicts adopted by $build instances:" \
		"$(cat "$work"/in-*-$build.log | grep -c "event=verdict ")"
done
echo ok
