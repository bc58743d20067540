# Sourced by the run.sh of each case: play NAME plays a case of the stand-ins, and exits with its code.
# 0: the rule held; 1: it was broken; 2: the case could not run.
play() {
	local here root tmp code
	here=$(cd "$(dirname "$0")" && pwd) || exit 2
	root=$(cd "$here/../.." && pwd) || exit 2
	for program in laddertide review-standin; do
		[ -x "$root/bin/$program" ] || { echo "bin/$program is not there: build first" >&2; exit 2; }
	done
	tmp=$(mktemp -d) || exit 2
	"$root/bin/review-standin" "$1" "$root" "$tmp" "$here/record.txt" &
	trap "kill -9 $! 2>/dev/null; rm -rf '$tmp'; exit 2" INT TERM
	wait $!
	code=$?
	rm -rf "$tmp"
	[ "$code" -le 2 ] || code=2
	exit "$code"
}
