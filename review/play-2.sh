# Shared by review/6 to review/10: play SCENARIO runs it and exits as the issue
# asks: 1: the rule was broken, 0: it held, 2: the case could not run.

root=$(cd "$(dirname "$0")/../.." && pwd)
here=$(cd "$(dirname "$0")" && pwd)

play () {
	cd "$root" || exit 2
	for program in target/release/baobabvalve-edge target/review-2/stage-2
	do
		test -x $program || {
			echo "$program is missing: build it first" >&2
			exit 2
		}
	done
	work=$(mktemp -d) || exit 2
	timeout -k 5 115 target/review-2/stage-2 "$1" \
		target/release/baobabvalve-edge deploy/settings.ini \
		"$work" "$here/record.txt"
	code=$?
	rm -rf "$work"
	case $code in
	0|1) exit $code ;;
	*) exit 2 ;;
	esac
}
