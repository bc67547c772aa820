# Shell functions of the demo and the tests with real processes. Processes run
# on loopback; at exit, exactly those started here are killed.

# BV_TEST_NET (0 to 255) is the second byte of every loopback address used, so
# that several checkouts can be tested in parallel.

set -u
net=127.${BV_TEST_NET:-0}
pids=
work=$(mktemp -d)

# start NAME COMMAND...: runs COMMAND in the background, with its output in
# $work/NAME.log and its process id in $work/NAME.pid.
start () {
	name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	echo $! >"$work/$name.pid"
	pids="$pids $!"
}

# stop_process NAME SIGNAL: sends SIGNAL to the process and waits for its exit.
stop_process () {
	pid=$(cat "$work/$1.pid")
	kill -s "$2" "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
}

cleanup () {
	for pid in $pids
	do
		kill -s KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 1' HUP INT PIPE TERM

# wait_until SECONDS COMMAND...: runs COMMAND until it succeeds.
wait_until () {
	tries=$(($1 * 20))
	shift
	while test "$tries" -gt 0
	do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
		tries=$((tries - 1))
	done
	echo "timed out waiting for: $*" >&2
	return 1
}

# write_settings NAME DOMAIN ADDRESS: writes the settings file of an instance
# with the store at $store and the peers in $seeds.
write_settings () {
	cat >"$work/$1.ini" <<-EOT
	[instance]
	name = $1
	domain = $2
	address = $3
	[store]
	endpoints = $store
	[peers]
	seeds = $seeds
	EOT
}

# copy_services DIR: copies the service files in DIR to $work/services, with
# addresses in $net.
copy_services () {
	rm -rf "$work/services"
	mkdir "$work/services"
	for f in "$1"/*.ini
	do
		sed "s/127\.0\./$net./" "$f" >"$work/services/${f##*/}"
	done
}

# in_force ADDRESS EPOCH: true if the instance has this epoch or a later one.
in_force () {
	epoch=$("$bin/baobabvalve" status "$1:7400" |
		sed -n 's/.*: instance .*epoch \([0-9]*\).*/\1/p')
	test -n "$epoch" && test "$epoch" -ge "$2"
}

export no_proxy='*'
