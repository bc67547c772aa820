#!/bin/sh
# Guards against commands whose --help differs from the docs, wrong exit codes
# or JSON output, and errors that do not name file, section and key.

bin=$1
. "$(dirname "$0")/lib.sh"
bv=$bin/baobabvalve

fail () {
	echo "FAILED: $*"
	cat "$work/out" 2>/dev/null
	exit 1
}

# expect CODE COMMAND...: runs COMMAND, which must exit with CODE. Its output is
# in $work/out.
expect () {
	want=$1
	shift
	"$@" >"$work/out" 2>&1
	code=$?
	test $code -eq "$want" || fail "$*: exit $code, not $want"
}

t/print-commands "$bin" | diff docs/COMMANDS.md - >"$work/out" ||
	fail "stale docs; run: t/print-commands $bin >docs/COMMANDS.md"
LC_ALL=C "$bv" status --list-counters >"$work/counters"
sed -n '/^|/p' docs/COUNTERS.md | diff - "$work/counters" >"$work/out" ||
	fail "stale docs/COUNTERS.md; run: baobabvalve status --list-counters"

# Every key of service files is documented.
printf '[service]\nno-such-key = 1\n[upstream a]\nno-such-key = 1\n' \
	>"$work/keys.ini"
"$bv" check "$work/keys.ini" 2>&1 | sed -n 's/.*known are //p' |
	tr -d ',' | tr ' ' '\n' | sort -u >"$work/keys"
test "$(wc -l <"$work/keys")" -gt 10 || fail "no list of known keys"
while read -r key
do
	grep -q "^| \`$key\`" docs/SERVICE-FILES.md ||
		fail "docs/SERVICE-FILES.md does not have the key $key"
done <"$work/keys"

for c in audit check domain publish status version
do
	expect 0 "$bv" $c --help
	expect 129 "$bv" $c --no-such-option
	grep -q "see 'baobabvalve $c --help'" "$work/out" ||
		fail "a usage error of $c does not mention its --help"
done
expect 129 "$bv"
expect 129 "$bv" no-such-command
expect 129 "$bv" check
expect 129 "$bv" check --format=xml examples/demo
expect 129 "$bv" publish examples/demo
expect 129 "$bv" publish --store=localhost:1 examples/demo
expect 129 "$bv" publish --store=127.0.0.1:1 --remove=x examples/demo
expect 129 "$bv" publish --store=127.0.0.1:1 --wait examples/demo
expect 129 "$bv" domain --store=127.0.0.1:1 out
expect 129 "$bv" domain --store=127.0.0.1:1 out north
expect 129 "$bv" domain --store=127.0.0.1:1 out North --why=x
expect 129 "$bv" audit --store=127.0.0.1:1 --since=soon
expect 129 "$bv" audit --store=127.0.0.1:1 --what=drinks
expect 129 "$bv" status nowhere

for dir in demo kochi kingston
do
	expect 0 "$bv" check "examples/$dir"
	expect 0 "$bv" check --format=json "examples/$dir"
	grep -q '"status": "ok"' "$work/out" || fail "check $dir as JSON"
done
cat >"$work/bad.ini" <<-EOT
[service]
name = desk
kind = requests
address = desk.example:80
deadline = 5
colour = red
EOT
expect 1 "$bv" check "$work/bad.ini"
grep -q 'bad.ini:4: \[service\] address:' "$work/out" ||
	fail "no error for the address"
grep -q "bad.ini:5: \[service\] deadline: '5' is not a number with a unit" \
	"$work/out" || fail "no error for the deadline"
grep -q 'bad.ini:6: \[service\] colour: unknown key; known are' \
	"$work/out" || fail "no error for the unknown key"
expect 1 "$bv" check --format=json "$work/bad.ini"
grep -q '"status": "invalid"' "$work/out" || fail "check as JSON"
expect 1 "$bv" check "$work/none.ini"
expect 1 "$bv" status 127.0.0.1:1
grep -q '127.0.0.1:1: no answer' "$work/out" ||
	fail "status of an address without an instance"
expect 1 "$bv" publish --store=127.0.0.1:1 "$work/bad.ini"
grep -q 'nothing published' "$work/out" || fail "publish of an invalid file"

store=$net.0.1:22879
start store "$bin/store-stand-in" $store
wait_until 5 curl -sS "http://$store/stand-in/calls" ||
	fail "the store does not answer"
expect 0 "$bv" publish --store=$store --format=json --who=ann --why=first \
	examples/kochi
grep -q '"epoch": 1' "$work/out" || fail "publish as JSON"
expect 0 "$bv" publish --store=$store examples/kochi
grep -q 'nothing to change: epoch 1 by ann' "$work/out" ||
	fail "publish of unchanged files"
expect 1 "$bv" publish --store=$store --base-epoch=7 examples/kochi
expect 1 "$bv" publish --store=$store examples/kingston
grep -q 'permit-desk: the service would be removed' "$work/out" ||
	fail "publish that would remove a service"
expect 0 "$bv" publish --store=$store --only examples/kingston
expect 0 "$bv" publish --store=$store --only --remove=seat-board \
	--allow-removal --who=bob
expect 0 "$bv" domain list --store=$store --format=json
test "$(grep -c '"name"' "$work/out")" -eq 7 ||
	fail "domain list does not show seven domains"
expect 0 "$bv" domain out aluva --store=$store --why=flood --who=bob
expect 1 "$bv" domain out atlantis --store=$store --why=flood
grep -q 'known are: ' "$work/out" || fail "no error for an unknown domain"
expect 0 "$bv" domain list --store=127.0.0.1:1,$store
expect 0 "$bv" domain out edappally --store=127.0.0.1:1,$store --why=dead
expect 0 "$bv" audit --store=$store --format=json
test "$(grep -c '"id"' "$work/out")" -eq 5 ||
	fail "audit does not show five changes"
expect 0 "$bv" audit --store=$store --who=bob --what=domain --since=1h
test "$(grep -c 'domain-out aluva' "$work/out")" -eq 1 || fail "audit filters"
echo ok
