#!/usr/bin/env bash
# LIMIT: an idle runner crashes and boots again under its id as a machine of
# half the size while the store is down. It is given work for its former size.
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$CASE/../lib.sh"

ID=00000000000000c1
RUNNERS=4
CPU=16000
# The second step fills all runners.
BODY='{"spec":"4000,1000","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":4000},{"count":64,"cpu":1000,"mem_mb":256,"estimate_ms":1000,"after":[0]}]}'

started() { grep -q " start .* $ID\.0\.0\.0" "$RECORD"; }
completed() { state 1 urgent $ID | grep -q completed; }

start_all $RUNNERS $CPU
submit 1 urgent $ID "$BODY" || give_up "the job wasn't accepted"
until_true 10 started || give_up "the first step didn't start"
busy=$(awk '$2 == "start" { print substr($3, 3) + 0; exit }' "$RECORD")
idle=$(((busy + 1) % RUNNERS))
if [ "$TROUBLE" = 1 ]; then
	sleep 0.5
	control "/store?mode=busy"
	sleep 0.5
	control "/kill?runner=$idle"
	sleep 1
	control "/boot?runner=$idle&size=half"
	sleep 2.9
	control "/store?mode=ok"
fi
until_true 30 completed || note "the job isn't completed"

# All tasks take 1,000 thousandths of a core.
awk '
$2 == "boot" { split($5, c, "="); cap[$3] = c[2] + 0; used[$3] = 0 }
$2 == "killed" { used[$3] = 0 }
$2 == "start" {
	used[$3] += 1000
	if (used[$3] > cap[$3]) {
		n++
		if (n <= 3)
			printf "broken LIMIT: at %d %s takes %s to %d of %d\n", $1, $4, $3, used[$3], cap[$3]
	}
}
$2 == "end" { used[$3] -= 1000 }
END { printf "starts beyond the capacity: %d\n", n; exit n > 0 }' "$RECORD" > "$RUN/verdict"
rc=$?
cat "$RUN/verdict" | tee -a "$RECORD"
exit $rc
