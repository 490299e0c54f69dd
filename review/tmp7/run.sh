#!/usr/bin/env bash
# A scheduled submission is under way when the process that leads is killed.
CASE=$(cd "$(dirname "$0")" && pwd)
RUNNERS=2
. "$CASE/../lib-2.sh"
ID=00000000000c0601
start_all desk

# One occurrence of one step with 5 tasks of 5 s. Each takes half a runner, so
# that four run at a time, and one waits for room.
START=$(($(date +%s%3N) + 1500))
BODY="{\"spec\":\"S0:5000\",\"repeat_count\":1,\"interval_ms\":60000,\"start_at_ms\":$START,\"steps\":[{\"count\":5,\"cpu\":8000,\"mem_mb\":64,\"estimate_ms\":5000}]}"
[[ $(client POST 1 /desk/$ID "$BODY") == 200* ]] || cannot_run "the submission was not accepted"
until_true 10 seen_at_least " start .*task=$ID" 4 || cannot_run "no task was started"
sleep 1.5

L=$(leader)
[ -n "$L" ] || cannot_run "no leader"
if [ "$TROUBLE" = 1 ]; then
	say "edge-$L is killed"
	kill -KILL "${HOST_PID[$L]}"
	wait "${HOST_PID[$L]}" 2>/dev/null
	sleep 1
	start_host "$L"
fi
O=$((L % 3 + 1))

# The fifth task waits for room; from the end of the others on there is room for
# it four times over. The rule
# allows 3 s without a run; 14 s more are given, which is finish_s.
until_true 24 seen_at_least " start .*task=$ID" 5
sleep 7
STATE=$(client GET $O /desk/$ID)
STARTED=$(grep " start .*task=$ID" "$RECORD" | sed 's/.*task=\([^ ]*\).*/\1/' | sort -u | wc -l)
DONE=$(grep " end .*task=$ID.* done" "$RECORD" | sed 's/.*task=\([^ ]*\).*/\1/' | sort -u | wc -l)
LAST=$(awk '/ end / { t = $1 } END { print t + 0 }' "$RECORD")
IDLE=$(($(boot_ms) - LAST))
say "started=$STARTED done=$DONE of 5, nothing has run for $IDLE ms, state: $STATE"
[ "$DONE" = 5 ] && [[ $STATE == *completed* ]] && held "all 5 tasks are done"
[ "$STARTED" -lt 5 ] && [ "$IDLE" -gt 14000 ] &&
    broken "LOST: $((5 - STARTED)) task was never started, nothing has run for $IDLE ms"
cannot_run "unclear: started=$STARTED done=$DONE"
