# Shell functions of the cases, which set trouble to 0 or 1 before. Each case
# runs in loopback addresses of its own (127.NET.x.y) and in a temporary folder;
# at exit exactly the processes that were started here are ended.

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
bin=target/release
stand_ins=target/review
net=${REVIEW_NET:-$((20 + $$ % 200))}
store_port=8169
store=127.$net.0.1:$store_port
work=$(mktemp -d)
record=$here/record.txt
pids=
machines=

end_all () {
	for pid in $pids
	do
		kill -s KILL "$pid" 2>/dev/null
	done
	for pid in $pids $(cat "$work"/*.pid 2>/dev/null)
	do
		kill -s CONT "$pid" 2>/dev/null
		kill -s KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' HUP INT PIPE TERM

for program in "$bin/baobabvalve-edge" "$bin/platform-store-stand-in"
do
	test -x "$program" || { echo "$program is not built"; exit 2; }
done
echo "TROUBLE=$trouble" >"$record"

start_store () {
	"$bin/platform-store-stand-in" "$store" >"$work/store.log" 2>&1 &
	pids="$pids $!"
	tries=100
	until store_call GET '/kv-range?prefix=op/' >/dev/null 2>&1
	do
		tries=$((tries - 1))
		test $tries -gt 0 || { echo "no store"; exit 2; }
		sleep 0.05
	done
}

# store_call METHOD TARGET [BODY]
store_call () {
	"$stand_ins/call" "$store" "$@"
}

# Stores the first configuration: a route of unsafe requests. Its address is
# only written in packets, nothing is sent there.
put_config () {
	store_call PUT '/entry?op/config' "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"127.$net.1.1\",\"prefix\":\"/8443/\",\"kind\":\"unsafe\",\"timeoutMs\":4000,\"sloMs\":250,\"priority\":1,\"service\":\"permit-desk\",\"attempts\":2}],\"services\":[{\"name\":\"permit-desk\",\"healthPath\":\"/health\",\"maxConns\":2000,\"warmupS\":2.0,\"warmupPerS\":5.0}],\"limits\":{\"idleTimeoutMs\":15000}}" >/dev/null ||
		exit 2
}

# settings NAME ZONE D: the settings of a machine, as deploy/settings.ini has
# them with the figures of a small deployment.
settings () {
	cat >"$work/$1.ini" <<-EOT
	[instance]
	name = $1
	domain = $2
	address = 127.$net.71.$3
	peer-port = 7720
	link-mbps = 1000

	[listen]
	packets = 127.$net.71.$3:8172
	ready = 127.$net.71.$3:8167
	metrics = 127.$net.71.$3:8166

	[flows]
	steering = cookie

	[store]
	endpoints = $store

	[peers]
	seeds = 127.$net.71.1:8166,127.$net.71.4:8166,127.$net.71.7:8166

	[bounds]
	heartbeat = 1200ms
	flow-lifetime = 60s
	stop = 6s
	cold-factor = 1.5
	cold-slack = 5
	change = 3000ms
	drain = 3000ms
	operator-rewrite = 12000ms

	[upstreams]
	capabilities = health
	EOT
}

# start_machine NAME ZONE D
start_machine () {
	settings "$1" "$2" "$3"
	"$bin/baobabvalve-edge" --config="$work/$1.ini" >>"$work/$1.log" 2>&1 &
	pids="$pids $!"
	machines="$machines $1:$2:$3:$!"
}

# keep_machine NAME ZONE D: like start_machine, and starts it again 0.5 s after
# it has ended, as the platform does.
keep_machine () {
	settings "$1" "$2" "$3"
	(
		while :
		do
			"$bin/baobabvalve-edge" --config="$work/$1.ini" \
				>>"$work/$1.log" 2>&1 &
			echo $! >"$work/$1.pid"
			wait $!
			echo $? >>"$work/$1.ends"
			sleep 0.5
		done
	) &
	pids="$pids $!"
	machines="$machines $1:$2:$3:$work/$1.pid"
}

# start_fleet FUNCTION: starts the nine machines of the site with FUNCTION.
start_fleet () {
	d=1
	for zone in kochi-b kochi-b kochi-b kochi-a kochi-a kochi-a kochi-c \
		kochi-d kochi-d
	do
		$1 "front-$zone-$d" $zone $d
		d=$((d + 1))
	done
}

# run_case PROGRAM [ARG...]: runs the world and keeps its exit code.
run_case () {
	program=$1
	shift
	"$stand_ins/$program" "$net" "$store_port" "$record" "$trouble" "$@" &
	pids="$pids $!"
	wait $!
	code=$?
	test "${KEEP_LOGS:-}" && cp "$work"/*.log "$KEEP_LOGS"
	return $code
}
