# Shell functions of tests with real processes on the users' platform.

port=8172
service=198.18.0.1:8443

# put KEY FILE: writes an entry of the store, as operators do.
put () {
	curl -sS --noproxy '*' --max-time 2 -X PUT --data-binary "@$2" \
		"http://$store/entry?$1" >/dev/null
}

# drop KEY: deletes an entry of the store.
drop () {
	curl -sS --noproxy '*' --max-time 2 -X DELETE \
		"http://$store/entry?$1" >/dev/null
}

# fault WORD: sets the fault of the store stand-in.
fault () {
	curl -sS --noproxy '*' --max-time 2 -X POST \
		"http://$store/fault/$1" >/dev/null
}

# write_config VERSION PORT...: stores a configuration with a route per port.
write_config () {
	version=$1
	shift
	routes=
	for p in "$@"
	do
		routes="$routes${routes:+,}{\"name\":\"r-$p\",\"host\":\"198.18.0.1\",\"prefix\":\"/$p/\",\"kind\":\"safe\",\"timeoutMs\":3000,\"sloMs\":200,\"priority\":1,\"service\":\"board\"}"
	done
	echo "{\"version\":$version,\"routes\":[$routes],\"services\":[{\"name\":\"board\",\"healthPath\":\"/health\",\"maxConns\":2000,\"warmupS\":2.0,\"warmupPerS\":5}],\"limits\":{\"idleTimeoutMs\":15000}}" >"$work/config.json"
	put op/config "$work/config.json"
}

# edge_settings NAME DOMAIN ADDRESS STORE: writes the settings file of an
# instance.
edge_settings () {
	cat >"$work/$1.ini" <<-EOT
	[instance]
	name = $1
	domain = $2
	address = $3
	peer-port = 7720
	[listen]
	packets = $3:$port
	ready = $3:$((port + 1))
	metrics = $3:$((port + 2))
	[flows]
	steering = cookie
	[store]
	endpoints = $4
	[bounds]
	heartbeat = 400ms
	stop = 6s
	EOT
}

is_ready () {
	curl -sS --noproxy '*' --max-time 1 -f "http://$1:$((port + 1))/ready"
}

# value NAME FILE: prints the number after NAME= in a caller's report.
value () {
	sed -n "s/.*$1=\([0-9]*\).*/\1/p" "$2"
}
