#!/usr/bin/env bash
# A runner crashes, and 2 s after its tasks were started on another one, that one
# crashes, too. Both are back after 2 s.
CASE=$(cd "$(dirname "$0")" && pwd)
RUNNERS=7
. "$CASE/../lib-2.sh"
A=00000000000c0601 B=00000000000c0602
start_all desk

# Ten small tasks that last. They are started on one runner, which has room.
[[ $(client POST 1 /desk/$A '{"spec":"S0:0","steps":[{"count":10,"cpu":100,"mem_mb":10,"long_running":true}]}') == 200* ]] ||
    cannot_run "A was not accepted"
until_true 10 seen_at_least " start .*task=$A" 10 || cannot_run "A was not started"

# The runner on which most tasks of A were started last.
busiest() { grep " start .*task=$A" "$RECORD" | tail -10 | sed 's/.*runner=w\([0-9]*\) .*/\1/' | sort | uniq -c | sort -rn | awk 'NR == 1 { print $2 }'; }
if [ "$TROUBLE" = 1 ]; then
	for n in 1 2; do
		sleep 2
		control GET "/crash?runner=$(busiest)&down=2000" || cannot_run "crash"
		until_true 20 seen_at_least " start .*task=$A" $((10 + n * 10)) && continue
		[ $n = 1 ] && cannot_run "A's tasks were not started again"
	done
fi
sleep 3
[[ $(client POST 2 /desk/$B '{"spec":"S0:500","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":500}]}') == 200* ]] ||
    cannot_run "B was not accepted"
# 3 s, and finish_s (14 s) besides
until_true 18 seen_at_least " end .*task=$B.* done" 1
sleep 1
STATE=$(client GET 3 /desk/$B)

# Tasks of A that run now, by the record of the runners.
RUNNING=$(awk '/ crash / { split($3, r, "="); for (k in on) if (on[k] == r[2]) delete on[k] }
    / start / { split($3, r, "="); on[$4] = r[2] } / end / { delete on[$4] }
    END { n = 0; for (k in on) n += k ~ /'$A'/; print n }' "$RECORD")
LAST=$(awk '/ (start|crash|up) / { t = $1 } END { print t + 0 }' "$RECORD")
CALM=$(($(boot_ms) - LAST))
say "running tasks of A: $RUNNING of 10; B: $STATE; nothing was started for $CALM ms"
[ "$RUNNING" = 10 ] && [[ $STATE == *completed* ]] && held "A runs, B is done"
[ "$RUNNING" -lt 10 ] && [ $CALM -gt 17000 ] && [ "$(seen " start .*task=$B")" = 0 ] &&
    broken "LOST: $((10 - RUNNING)) tasks of A do not run, and B, which needs a sixteenth of a runner, was not started for $CALM ms"
cannot_run "unclear"
