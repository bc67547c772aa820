#!/bin/sh
# Publishes a configuration of the target size to a store stand-in, from which
# one instance loads it, and prints times and memory use. Both are real
# processes.

bin=${1:-build/release}
. "$(dirname "$0")/lib.sh"
store=$net.0.1:22679
seeds=$net.54.1:7401
services=18000
upstreams=41000

mkdir "$work/services"
awk -v n=$services -v u=$upstreams -v dir="$work/services" 'BEGIN {
	for (s = 0; s < n; s++) {
		file = dir "/s" s ".ini"
		printf "[service]\nname = permit-desk-%d\nkind = %s\n" \
			"address = 127.%d.%d.%d:8443\n", s,
			s % 2 ? "flows" : "requests",
			64 + s / 65536, s / 256 % 256, s % 256 > file
		for (i = s; i < u; i += n)
			printf "[upstream target-%d]\n" \
				"address = 127.%d.%d.%d:9\n" \
				"domain = domain-%d\nslots = 3\n" \
				"connections = 2000\n", i, 128 + i / 65536,
				i / 256 % 256, i % 256, i % 7 > file
		close(file)
	}
}'

now_ms () {
	echo $(($(date +%s%N) / 1000000))
}

# memory NAME: prints the resident memory of a process in MB.
memory () {
	awk '/^VmRSS/ { printf "%.0f", $2 / 1024 }' \
		"/proc/$(cat "$work/$1.pid")/status"
}

start store "$bin/store-stand-in" $store
write_settings one domain-0 $net.54.1
sed -i 's/^\[instance\]/&\nbind = service/' "$work/one.ini"
start one "$bin/baobabvalved" --config="$work/one.ini"
wait_until 10 "$bin/baobabvalve" status $net.54.1:7400 >/dev/null || exit 1
echo "instance with nothing: $(memory one) MB"
begin=$(now_ms)
"$bin/baobabvalve" publish --store=$store "$work/services" >/dev/null || exit 1
published=$(now_ms)
echo "publish $services services, $upstreams upstreams: $((published - begin)) ms"
wait_until 60 in_force $net.54.1 1 || exit 1
echo "in force after another $(($(now_ms) - published)) ms"
sleep 5
echo "open sockets and files: $(ls "/proc/$(cat "$work/one.pid")/fd" | wc -l)"
echo "instance: $(memory one) MB; store stand-in: $(memory store) MB"
