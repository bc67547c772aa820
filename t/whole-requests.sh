#!/bin/sh
# Requests with idempotency keys, and resends, through three real instances, one
# of which is killed half-way. Guards against requests that run twice, and
# outcomes reported to callers that differ from the runs at the upstreams. Also
# checks that malformed requests are refused, and pipelining, Expect, HEAD, and
# a long upload and answer.

bin=$1
. "$(dirname "$0")/lib.sh"
store=$net.0.1:22579
seeds=$net.61.1:7401,$net.61.2:7401,$net.61.3:7401

fail () {
	echo "FAILED: $*"
	tail -n 20 "$work"/*.log
	exit 1
}

# sees_all ADDRESS: true if status of the instance shows three members alive.
sees_all () {
	test "$("$bin/baobabvalve" status "$1:7400" |
		grep -c ' alive')" -ge 3
}

copy_services examples/demo
start store "$bin/store-stand-in" $store
n=1
for domain in north south east
do
	write_settings "in-$n" $domain "$net.61.$n"
	start "in-$n" "$bin/baobabvalved" --config="$work/in-$n.ini"
	n=$((n + 1))
done
for n in 1 2 3 4
do
	start "desk-$n" "$bin/upstream-stand-in" --slots=3 "desk-$n" \
		"$net.41.$n:9001" 20
done
wait_until 5 "$bin/baobabvalve" publish --store=$store "$work/services" ||
	fail "publish"
for n in 1 2 3
do
	wait_until 10 in_force $net.61.$n 1 || fail "epoch 1 is not in force on in-$n"
	wait_until 10 sees_all $net.61.$n ||
		fail "in-$n does not see all members"
done
# New instances must wait before they may use cold upstreams.
wait_until 20 curl -sSf --max-time 6 http://$net.61.1:8080/first ||
	fail "no answer"

start history "$bin/history" $net.61 3 8080 $net.41 4 9001 300 1
wait_until 20 grep -q half "$work/history.log" || fail "history did not start"
stop_process in-1 KILL
wait "$(cat "$work/history.pid")" || fail "history found wrong outcomes"
cat "$work/history.log"

# raw NAME CODE BYTES: sends BYTES unchanged; the answer must have CODE.
raw () {
	got=$(printf "$3" | timeout 15 "$bin/raw" $net.61.2:8080 | head -n 1)
	case $got in
	"HTTP/1.1 $2"*) ;;
	*) fail "$1: expected $2, got '$got'" ;;
	esac
}
raw "two lengths" 400 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd'
raw "length and chunks" 400 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
raw "unknown coding" 400 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\nabc'
raw "coding after chunked" 400 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n'
raw "space before colon" 400 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc'
raw "negative length" 400 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n'
raw "no host" 400 'GET / HTTP/1.1\r\n\r\n'
raw "too long a body" 413 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999\r\n\r\n'
raw "slow head" 408 'GET / HTTP/1.1\r\nHost:'

answers=$(printf '%s' 'GET /a HTTP/1.1|Host: a||GET /b HTTP/1.1|Host: a|'\
'Connection: close||' | sed 's/|/\r\n/g' |
	timeout 15 "$bin/raw" $net.61.2:8080 | grep -c '^GET /[ab] from')
test "$answers" = 2 || fail "pipelined: $answers of 2 answers"

code=$(echo body | curl -sS --max-time 5 -H 'Expect: 100-continue' \
	--expect100-timeout 4 -o /dev/null -w '%{http_code}' \
	--data-binary @- http://$net.61.2:8080/expect)
test "$code" = 200 || fail "Expect: $code"

head -c 1000000 /dev/zero >"$work/big"
code=$(curl -sS --max-time 10 -o /dev/null -w '%{http_code}' \
	--data-binary @"$work/big" http://$net.61.2:8080/upload)
test "$code" = 200 || fail "long upload: $code"
size=$(curl -sS --max-time 10 "http://$net.61.2:8080/x?size=5000000" | wc -c)
test "$size" -gt 5000000 || fail "long answer: $size bytes"
code=$(curl -sS --max-time 5 -I -o /dev/null -w '%{http_code}' \
	http://$net.61.2:8080/head)
test "$code" = 200 || fail "HEAD: $code"
echo ok
