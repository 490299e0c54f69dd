#!/usr/bin/env bash
# LOST: a manifest without the route of an accepted submission, then the leader
# is killed. The submission's next step is never started.
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$CASE/../lib.sh"

ID=00000000000000b1
RUNNERS=6
CPU=16000
BODY='{"spec":"4000,1000","steps":[{"count":4,"cpu":1000,"mem_mb":512,"estimate_ms":4000},{"count":4,"cpu":1000,"mem_mb":512,"estimate_ms":1000,"after":[0]}]}'
FINISH_S=14

started() { [ "$(grep -c " start .* $ID\.0\.$1\." "$RECORD")" -ge 4 ]; }
done_of() { grep -c " end .* $ID\.0\.$1\..* done" "$RECORD"; }
step_done() { [ "$(done_of "$1")" -ge 4 ]; }

start_all $RUNNERS $CPU
submit 1 batch $ID "$BODY" || give_up "the job wasn't accepted"
until_true 10 started 0 || give_up "the first step didn't start"
if [ "$TROUBLE" = 1 ]; then
	control "/config?drop=batch"
	sleep 1.5
	l=$(leader)
	[ -n "$l" ] || give_up "no host leads"
	kill_daemon "$l"
	sleep 1
	daemon "$l"
	until_true 10 has_leader || give_up "no host took over"
fi
until_true 10 step_done 0 || note "the first step isn't done"
until_true $((FINISH_S + 3)) step_done 1
for h in 1 2 3; do note "state at edge-$h: $(state $h batch $ID)"; done
if step_done 1; then
	echo "held: both steps are done" | tee -a "$RECORD"
	exit 0
fi
echo "broken LOST: step 0 has $(done_of 0) of 4 tasks done, step 1 has $(done_of 1), and nothing runs for $((FINISH_S + 3)) s with all runners free" | tee -a "$RECORD"
exit 1
