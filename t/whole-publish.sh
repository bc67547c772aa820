#!/bin/sh
# Publishing and taking domains out through real processes: answers of the
# store lost after the write, the store killed between write and answer, two
# publishers at once, an operator racing a publish, a store that comes back
# older. What was accepted is in force and in the audit trail, once.

bin=$1
. "$(dirname "$0")/lib.sh"
store=$net.0.1:22679
seeds=$net.71.1:7401,$net.71.2:7401
admins=$net.71.1:7400,$net.71.2:7400
bv=$bin/baobabvalve

fail () {
	echo "FAILED: $*"
	tail -n 40 "$work"/*.log
	exit 1
}

fault () {
	curl -sS -X POST "http://$store/stand-in/fault" -d "$1" >/dev/null ||
		fail "fault $1"
}

# audit_nr: entries in the trail.
audit_nr () {
	"$bv" audit --store=$store --format=json | grep -c '"id"'
}

# set_slots SERVICE N: edits the service's file.
set_slots () {
	sed -i "s/^\(slots\|connections\) = .*/\1 = $2/" \
		"$work/services/$1.ini"
}

copy_services examples/demo
start store "$bin/store-stand-in" $store "$work/store.json"
for n in 1 2
do
	write_settings "in-$n" north "$net.71.$n"
	start "in-$n" "$bin/baobabvalved" --config="$work/in-$n.ini"
done
wait_until 5 curl -sS "http://$store/stand-in/calls" || fail "store"

echo "== publish while the answer is lost after the write"
fault '{"drop-after": 1}'
"$bv" publish --store=$store --why=first --wait --instances=$admins \
	"$work/services" >"$work/out" 2>&1 || fail "lost: $(cat "$work/out")"
grep -q 'epoch 1 published' "$work/out" || fail "lost: $(cat "$work/out")"
test "$(audit_nr)" -eq 1 || fail "the lost answer was published twice"

echo "== the store is killed between write and answer"
set_slots permit-desk 4
fault '{"die-after": true}'
"$bv" publish --store=$store --only --why=second \
	"$work/services/permit-desk.ini" >"$work/out" 2>&1 &
publisher=$!
wait "$(cat "$work/store.pid")"
start store2 "$bin/store-stand-in" $store "$work/store.json"
wait $publisher || fail "killed: $(cat "$work/out")"
grep -q 'epoch 2 published' "$work/out" || fail "killed: $(cat "$work/out")"
test "$(audit_nr)" -eq 2 || fail "the killed store has $(audit_nr) entries"
wait_until 10 in_force $net.71.1 2 || fail "epoch 2 on in-1"
wait_until 10 in_force $net.71.2 2 || fail "epoch 2 on in-2"

echo "== two publishers of different services at once"
set_slots permit-desk 5
set_slots permit-board 1999
"$bv" publish --store=$store --only "$work/services/permit-desk.ini" \
	>"$work/a" 2>&1 &
a=$!
"$bv" publish --store=$store --only "$work/services/permit-board.ini" \
	>"$work/b" 2>&1 &
b=$!
wait $a || fail "desk: $(cat "$work/a")"
wait $b || fail "board: $(cat "$work/b")"
test "$(audit_nr)" -eq 4 || fail "two publishers: $(audit_nr) entries"
wait_until 10 in_force $net.71.1 4 || fail "epoch 4 on in-1"

echo "== an operator races a publish"
set_slots permit-desk 6
"$bv" publish --store=$store --only "$work/services/permit-desk.ini" \
	>"$work/a" 2>&1 &
a=$!
"$bv" domain out south --store=$store --why=flood --wait \
	--instances=$admins >"$work/b" 2>&1 || fail "out: $(cat "$work/b")"
wait $a || fail "race: $(cat "$work/a")"
grep -q '2 of 2 instances obey' "$work/b" || fail "out: $(cat "$work/b")"
test "$(audit_nr)" -eq 6 || fail "the race: $(audit_nr) entries"
"$bv" status $net.71.1:7400 | grep -q 'domain south *out' ||
	fail "south is not out on in-1"
"$bv" domain out north --store=$store --why=both >"$work/out" 2>&1 &&
	fail "the last domain went out"

echo "== the watch goes silent"
fault '{"silent-watch": true}'
"$bv" domain back south --store=$store --why=dry --wait --timeout=5s \
	--instances=$admins >"$work/b" 2>&1 || fail "silent: $(cat "$work/b")"
fault '{"silent-watch": false, "save": true}'

echo "== the store comes back older"
set_slots permit-desk 7
"$bv" publish --store=$store --only --wait --instances=$admins \
	"$work/services/permit-desk.ini" >"$work/out" 2>&1 ||
	fail "before: $(cat "$work/out")"
fault '{"restore": true}'
set_slots permit-desk 8
"$bv" publish --store=$store --only --instances=$admins \
	"$work/services/permit-desk.ini" >"$work/out" 2>&1 &&
	fail "a part was published on an older store"
grep -q 'nothing reverts' "$work/out" || fail "refusal: $(cat "$work/out")"
"$bv" publish --store=$store --wait --instances=$admins "$work/services" \
	>"$work/out" 2>&1 || fail "older: $(cat "$work/out")"
grep -q 'epoch 7 published' "$work/out" || fail "older: $(cat "$work/out")"

echo "== an instance that cannot reach the store learns from its peers"
good=$store
store=$net.0.1:1
write_settings in-3 south "$net.71.3"
store=$good
start in-3 "$bin/baobabvalved" --config="$work/in-3.ini"
wait_until 10 in_force $net.71.3 7 || fail "in-3 did not learn epoch 7"
"$bv" status $net.71.3:7400 | grep -q 'domain south *in ' ||
	fail "in-3 did not learn of the domains"
echo ok
