#!/bin/sh
# One instance with a local directory and no store: SIGHUP reads it again; an
# error leaves in force what was; a directory that is wrong at the start ends
# the process.

bin=$1
. "$(dirname "$0")/lib.sh"
bv=$bin/baobabvalve
at=$net.72.1

fail () {
	echo "FAILED: $*"
	tail -n 40 "$work"/*.log
	exit 1
}

slots_shown () {
	"$bv" status --format=json $at:7400 | grep -c "\"name\": \"desk-"
}

copy_services examples/demo
cat >"$work/one.ini" <<-EOT
[instance]
name = one
domain = north
address = $at
[source]
directory = $work/services
EOT
start one "$bin/baobabvalved" --config="$work/one.ini"
wait_until 10 in_force $at 1 || fail "epoch 1"
test "$(slots_shown)" -eq 4 || fail "four upstreams"

kill -s HUP "$(cat "$work/one.pid")"
wait_until 5 grep -q 'read again' "$work/one.log" || fail "first reload"
in_force $at 2 && fail "an unchanged directory made an epoch"

cp "$work/services/permit-desk.ini" "$work/good"
echo 'colour = red' >>"$work/services/permit-desk.ini"
kill -s HUP "$(cat "$work/one.pid")"
wait_until 5 grep -q 'not taken; epoch 1 stays in force' "$work/one.log" ||
	fail "a wrong file was taken"
test "$(slots_shown)" -eq 4 || fail "what was in force went"

sed '/^\[upstream desk-4\]/,$d' "$work/good" \
	>"$work/services/permit-desk.ini"
kill -s HUP "$(cat "$work/one.pid")"
wait_until 5 in_force $at 2 || fail "epoch 2"
test "$(slots_shown)" -eq 3 || fail "three upstreams"
stop_process one TERM

echo 'colour = red' >>"$work/services/permit-desk.ini"
"$bin/baobabvalved" --config="$work/one.ini" >"$work/two.log" 2>&1 &&
	fail "a wrong directory was taken at the start"
grep -q 'colour: unknown key' "$work/two.log" || fail "no reason given"
echo ok
