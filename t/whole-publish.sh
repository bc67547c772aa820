#!/bin/sh
# Publishing and taking domains out with real processes, to guard against
# changes that are lost or applied twice: the store's answer is lost after the
# write, the store is killed between write and answer, two publishers run at
# once, a domain is taken out during a publish, the watch stops delivering, and
# the store is restored to an older state. Every accepted change is in force
# and has one audit entry.

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

# fault JSON: sets faults of the store stand-in.
fault () {
	curl -sS -X POST "http://$store/stand-in/fault" -d "$1" >/dev/null ||
		fail "fault $1"
}

# audit_entry_count: prints the number of entries in the audit trail.
audit_entry_count () {
	"$bv" audit --store=$store --format=json | grep -c '"id"'
}

# set_slots SERVICE N: sets the slots or connections in the service's file to N.
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
wait_until 5 curl -sS "http://$store/stand-in/calls" ||
	fail "the store does not answer"

echo "== the answer to a publish is lost after the write"
fault '{"drop-after": 1}'
"$bv" publish --store=$store --why=first --wait --instances=$admins \
	"$work/services" >"$work/out" 2>&1 ||
	fail "publish with a lost answer: $(cat "$work/out")"
grep -q 'epoch 1 published' "$work/out" ||
	fail "publish with a lost answer: $(cat "$work/out")"
test "$(audit_entry_count)" -eq 1 ||
	fail "a change whose answer was lost was published twice"

echo "== the store is killed between write and answer"
set_slots permit-desk 4
fault '{"die-after": true}'
"$bv" publish --store=$store --only --why=second \
	"$work/services/permit-desk.ini" >"$work/out" 2>&1 &
publisher=$!
wait "$(cat "$work/store.pid")"
start store2 "$bin/store-stand-in" $store "$work/store.json"
wait $publisher || fail "publish to a killed store: $(cat "$work/out")"
grep -q 'epoch 2 published' "$work/out" ||
	fail "publish to a killed store: $(cat "$work/out")"
test "$(audit_entry_count)" -eq 2 ||
	fail "after the kill: $(audit_entry_count) audit entries"
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
wait $a || fail "publish of permit-desk: $(cat "$work/a")"
wait $b || fail "publish of permit-board: $(cat "$work/b")"
test "$(audit_entry_count)" -eq 4 ||
	fail "two publishers: $(audit_entry_count) audit entries"
wait_until 10 in_force $net.71.1 4 || fail "epoch 4 on in-1"

echo "== a domain is taken out during a publish"
set_slots permit-desk 6
"$bv" publish --store=$store --only "$work/services/permit-desk.ini" \
	>"$work/a" 2>&1 &
a=$!
"$bv" domain out south --store=$store --why=flood --wait \
	--instances=$admins >"$work/b" 2>&1 ||
	fail "domain out: $(cat "$work/b")"
wait $a || fail "publish during domain out: $(cat "$work/a")"
grep -q '2 of 2 instances have applied the change' "$work/b" ||
	fail "domain out: $(cat "$work/b")"
test "$(audit_entry_count)" -eq 6 ||
	fail "publish during domain out: $(audit_entry_count) audit entries"
"$bv" status $net.71.1:7400 | grep -q 'domain south *out' ||
	fail "south is not out on in-1"
"$bv" domain out north --store=$store --why=both >"$work/out" 2>&1 &&
	fail "the last domain was taken out of service"

echo "== the watch stops delivering"
fault '{"silent-watch": true}'
"$bv" domain back south --store=$store --why=dry --wait --timeout=5s \
	--instances=$admins >"$work/b" 2>&1 ||
	fail "domain back with a silent watch: $(cat "$work/b")"
fault '{"silent-watch": false, "save": true}'

echo "== the store is restored to an older state"
set_slots permit-desk 7
"$bv" publish --store=$store --only --wait --instances=$admins \
	"$work/services/permit-desk.ini" >"$work/out" 2>&1 ||
	fail "publish before the restore: $(cat "$work/out")"
fault '{"restore": true}'
set_slots permit-desk 8
"$bv" publish --store=$store --only --instances=$admins \
	"$work/services/permit-desk.ini" >"$work/out" 2>&1 &&
	fail "publish --only was accepted by a restored store"
grep -q 'nothing reverts' "$work/out" ||
	fail "publish --only did not say why it refused: $(cat "$work/out")"
"$bv" publish --store=$store --wait --instances=$admins "$work/services" \
	>"$work/out" 2>&1 ||
	fail "publish after the restore: $(cat "$work/out")"
grep -q 'epoch 7 published' "$work/out" ||
	fail "publish after the restore: $(cat "$work/out")"

echo "== an instance without the store gets the configuration from peers"
real_store=$store
store=$net.0.1:1
write_settings in-3 south "$net.71.3"
store=$real_store
start in-3 "$bin/baobabvalved" --config="$work/in-3.ini"
wait_until 10 in_force $net.71.3 7 || fail "in-3 did not get epoch 7"
"$bv" status $net.71.3:7400 | grep -q 'domain south *in ' ||
	fail "in-3 did not get the state of the domains"
echo ok
