#!/usr/bin/env bash
# A cell of three daemons and seven runners. The runner of ten long tasks crashes
# twice, so that each of them is suspected of it. Guards against LOST: they kept all
# runners for as long as they ran, and no work of others was started.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/cell.sh"
PORT=${PORT:-19300}
RUNNERS=7
LONG=00000000000000a1
OTHER=00000000000000b1
setup

"$BIN/cellstandin" "$PORT" $RUNNERS 2> "$RUN/cellstandin.log" &
PIDS+=($!)
wait_port 127.0.0.1 $((PORT + 2))
for i in 1 2 3; do cell_daemon $i; done
check "all hosts are ready" until_true 20 all_ready

LONG_BODY='{"spec":"10x100x60000","steps":[{"count":10,"cpu":100,"mem_mb":10,"estimate_ms":60000}]}'
runs() { # the leader's runners, each with the number of its runs
	curl -s -m 2 "http://$(cell_addr "$(leader)"):$((PORT + 103))/cell/runners" |
	    jq -r '.runners[] | "\(.runs) \(.runner)"'
}
all_run() { [ "$(runs | awk '{ n += $1 } END { print n }')" = 10 ]; }
busiest() { runs | sort -rn | awk 'NR == 1 { sub(/^i-0*/, "", $2); print $2 + 0 }'; }
started() { [ "$(metric starts_total)" -ge "$1" ]; }
# On the queue whose tasks are packed, so that they share a runner
takes_long() {
	[ "$(ask -o /dev/null -w '%{http_code}' -X POST -d "$LONG_BODY" \
	    "http://$(cell_addr 1):$((PORT + 100))/batch/$LONG")" = 200 ]
}

check "ten long tasks are accepted" takes_long
check "they run" until_true 10 all_run
for i in 1 2; do
	sleep 2
	cell_fault "runner=$(busiest)&mode=crash&down=2000"
	check "tasks are started again after crash $i" until_true 15 started $((10 + i * 8))
done
sleep 1
check "other work is accepted beside them" accepted 2 $OTHER
check "and done while they run" until_true 4 state_is 3 $OTHER completed
check "all ten tasks run again" until_true 6 all_run
no_runner_kept() { [ "$(metric runners_apart)" = 0 ]; }
check "no runner is kept any more" until_true 8 no_runner_kept
check "no guarantee was broken" unbroken
finish
