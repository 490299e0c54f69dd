#!/usr/bin/env bash
# soak.sh FIRST LAST [SECONDS] [JOBS]: runs the soak once for each seed from
# FIRST to LAST, JOBS at a time, and keeps the logs of seeds that fail. Prints as
# its last line: N passed, N failed.
cd "$(dirname "$0")/../.." || exit 1
FIRST=${1:-1} LAST=${2:-3} SECONDS_EACH=${3:-8} JOBS=${4:-3}
BIN=${BIN:-build}
KEEP=$(mktemp -d)
one() { # SEED SLOT
	local dir=$KEEP/$1
	mkdir -p "$dir"
	if "$BIN/soak" --seed "$1" --seconds "$SECONDS_EACH" --bin "$BIN" \
	    --port $((${SOAK_PORT:-19000} + 200 * $2)) --dir "$dir" --loud > "$dir/out" 2>&1; then
		echo "ok soak seed $1"
		rm -rf "$dir"
	else
		echo "not ok soak seed $1"
		grep BROKEN "$dir/out" | head -5
		echo "logs: $dir"
	fi
}
PASSED=0 FAILED=0
# Unless REGRESSIONS=0, seeds that failed before are run as well.
SEEDS=$(seq "$FIRST" "$LAST"; [ "${REGRESSIONS:-1}" = 1 ] &&
    sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak/seeds.txt)
SEEDS=($(echo "$SEEDS" | sort -nu))
for ((s = 0; s < ${#SEEDS[@]}; s += JOBS)); do
	for ((k = 0; k < JOBS && s + k < ${#SEEDS[@]}; k++)); do
		one "${SEEDS[s + k]}" "$k" > "$KEEP/result-${SEEDS[s + k]}" &
	done
	wait
	cat "$KEEP"/result-*
	PASSED=$((PASSED + $(cat "$KEEP"/result-* | grep -c '^ok')))
	FAILED=$((FAILED + $(cat "$KEEP"/result-* | grep -c '^not ok')))
	rm -f "$KEEP"/result-*
done
echo "$PASSED passed, $FAILED failed"
[ "$FAILED" -eq 0 ]
