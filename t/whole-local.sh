#!/bin/sh
# An instance that reads its configuration from a local directory instead of the
# store. SIGHUP must reload the directory; after an error in a file the former
# configuration must stay in force; after an error at the start the process must
# exit with an error.

bin=$1
. "$(dirname "$0")/lib.sh"
bv=$bin/baobabvalve
at=$net.72.1

fail () {
	echo "FAILED: $*"
	tail -n 40 "$work"/*.log
	exit 1
}

upstreams_shown () {
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
wait_until 10 in_force $at 1 || fail "epoch 1 is not in force"
test "$(upstreams_shown)" -eq 4 || fail "status does not show four upstreams"

kill -s HUP "$(cat "$work/one.pid")"
wait_until 5 grep -q ': reloaded' "$work/one.log" ||
	fail "SIGHUP did not reload the directory"
in_force $at 2 && fail "an unchanged directory got a new epoch"

cp "$work/services/permit-desk.ini" "$work/good"
echo 'colour = red' >>"$work/services/permit-desk.ini"
kill -s HUP "$(cat "$work/one.pid")"
wait_until 5 grep -q 'not reloaded; epoch 1 remains in force' "$work/one.log" ||
	fail "an invalid file was accepted"
test "$(upstreams_shown)" -eq 4 || fail "the configuration in force was lost"

sed '/^\[upstream desk-4\]/,$d' "$work/good" \
	>"$work/services/permit-desk.ini"
kill -s HUP "$(cat "$work/one.pid")"
wait_until 5 in_force $at 2 || fail "epoch 2 is not in force"
test "$(upstreams_shown)" -eq 3 || fail "status does not show three upstreams"
stop_process one TERM

echo 'colour = red' >>"$work/services/permit-desk.ini"
"$bin/baobabvalved" --config="$work/one.ini" >"$work/two.log" 2>&1 &&
	fail "an invalid directory was accepted at the start"
grep -q 'colour: unknown key' "$work/two.log" ||
	fail "the error was not printed"
echo ok
