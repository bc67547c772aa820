# Shell functions of the scripts in review/11 and later: starts instances with
# the program of the deploy file and the world around them, review/stage-3.c.
# Sets $dir, the folder of the case.

set -u
root=$(cd "$dir/../.." && pwd)
edge=$root/target/release/baobabvalve-edge
stage=$root/target/review/stage-3
work=$(mktemp -d) || exit 2
net=$((1 + $$ % 250))
base=$((20000 + $$ % 20000))
pids=

cleanup () {
	for pid in $pids
	do
		kill -s KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' HUP INT PIPE TERM

# write_settings N ZONE: the settings of an instance at 127.$net.71.N, as the
# platform fills in deploy/settings.ini.
write_settings () {
	at=127.$net.71.$1
	sed -e "s/{{node}}/front-$2-$1/" -e "s/{{zone}}/$2/" \
		-e "s/{{ip}}/$at/" -e "s/{{internalPorts.0}}/$((base + 5))/" \
		-e "s/{{limits.linkMbps}}/1000.0/" \
		-e "s/{{listen.packetAddr}}/$at:$((base + 1))/" \
		-e "s/{{listen.ready}}/$at:$((base + 2))/" \
		-e "s/{{listen.control}}/$at:$((base + 3))/" \
		-e "s/{{platform.addr}}/127.$net.1.1:$base/" \
		-e "s/{{seeds}}/127.$net.71.1:$((base + 3))/" \
		-e "s/{{heartbeatMs}}/1200/" -e "s/{{bounds.flowTtlS}}/60/" \
		-e "s/{{bounds.graceS}}/6/" -e "s/{{bounds.warmupFactor}}/1.5/" \
		-e "s/{{bounds.warmupSlack}}/5/" \
		-e "s/{{bounds.configApplyMs}}/3000/" \
		-e "s/{{bounds.drainMs}}/3000/" \
		-e "s/{{bounds.maxSkewMs}}/12000/" \
		"$root/deploy/settings.ini" >"$work/$1.ini"
}

# start_instance N: starts it in the repository's root.
start_instance () {
	(cd "$root" && exec "$edge" --config="$work/$1.ini") \
		>>"$work/$1.log" 2>&1 &
	echo $! >"$work/$1.pid"
	pids="$pids $!"
}

test -x "$edge" && test -x "$stage" || {
	echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
	exit 2
}
