#!/usr/bin/env bash
# A manifest removes a queue that has accepted work; then the process that leads
# is stopped with SIGTERM, as in a rolling restart.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-2.sh"
A=00000000000c0901 B=00000000000c0902
start_all desk old

# A has two steps; B has one task that lasts, which ends once by itself.
[[ $(client POST 1 /old/$A '{"spec":"S0:9000 S1:500","steps":[{"count":2,"cpu":1000,"mem_mb":64,"estimate_ms":9000},{"count":2,"cpu":1000,"mem_mb":64,"estimate_ms":500,"after":[0]}]}') == 200* ]] ||
    cannot_run "A was not accepted"
[[ $(client POST 2 /old/$B '{"spec":"S0:0 F0.0:1:12000","steps":[{"count":1,"cpu":1000,"mem_mb":64,"long_running":true}]}') == 200* ]] ||
    cannot_run "B was not accepted"
until_true 10 seen_at_least " start .*task=($A|$B)" 3 || cannot_run "no task was started"

manifest 7 desk
sleep 3
L=$(leader)
[ -n "$L" ] || cannot_run "no leader"
if [ "$TROUBLE" = 1 ]; then
	say "edge-$L gets SIGTERM"
	kill -TERM "${HOST_PID[$L]}"
	wait "${HOST_PID[$L]}" 2>/dev/null
	sleep 0.5
	start_host "$L"
fi

# A's first step ends 9 s after its start, and B's run 12 s after its start. For
# A finish_s (14 s) and 3 s are given, for B more than the rule's 6 s and 3 s.
until_true 12 seen_at_least " end .*task=$B" 1 || cannot_run "B's task did not end"
until_true 20 seen_at_least " start .*task=($A.0.1|$B)" 4
sleep 1.5
NEXT=$(seen " start .*task=$A.0.1.")
AGAIN=$(($(seen " start .*task=$B") - 1))
END_A=$(awk "/ end .*task=$A.0.0/ { t = \$1 } END { print t + 0 }" "$RECORD")
END_B=$(awk "/ end .*task=$B/ { t = \$1 } END { print t + 0 }" "$RECORD")
NOW=$(boot_ms)
say "starts of A's second step: $NEXT of 2, $((NOW - END_A)) ms after its turn came; later starts of B's task: $AGAIN, $((NOW - END_B)) ms after its end"
[ "$NEXT" -ge 2 ] && [ "$AGAIN" -ge 1 ] && held "both go on"
[ "$NEXT" = 0 ] && [ "$AGAIN" = 0 ] && [ $((NOW - END_A)) -gt 17000 ] &&
    broken "LOST: A's second step and B's task are not started; nothing else runs"
cannot_run "unclear"
