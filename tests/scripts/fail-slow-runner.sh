#!/usr/bin/env bash
# A cell of three daemons and eight runners. While work runs, four of them begin to
# answer later than the longest time-out of an order, for longer than a lease. Guards
# against TWICE: answers that came after the time-out were dropped, so that the
# runners counted as lapsed and tasks that had ended there were started again.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/cell.sh"
PORT=${PORT:-19400}
DELAY=${DELAY:-1200}
SLOW_S=${SLOW_S:-6}
JOBS=6
setup

"$BIN/cellstandin" "$PORT" 8 2> "$RUN/cellstandin.log" &
PIDS+=($!)
wait_port 127.0.0.1 $((PORT + 2))
for i in 1 2 3; do cell_daemon $i; done
check "all hosts are ready" until_true 10 all_ready
sleep 1

WORK='{"spec":"4x2000x900,4x2000x2500,4x2000x4000","steps":[{"count":4,"cpu":2000,"mem_mb":10,"estimate_ms":900},{"count":4,"cpu":2000,"mem_mb":10,"estimate_ms":2500},{"count":4,"cpu":2000,"mem_mb":10,"estimate_ms":4000}]}'
send() { [ "$(submit "$(((RANDOM % 3) + 1))" "$1" "$WORK")" = 200 ]; }
delay() { local r; for r in 0 2 4 6; do cell_fault "runner=$r&delay=$1"; done; }
for round in 1 2; do
	for i in $(seq $JOBS); do
		check "$round: job $i is accepted" until_true 5 send "00000000000e0$round$(printf %02d "$i")"
	done
	sleep 0.4
	delay "$DELAY"
	sleep "$SLOW_S"
	delay 0
done
for round in 1 2; do
	for i in $(seq $JOBS); do
		check "$round: job $i is completed" until_true 20 state_is "$(other)" "00000000000e0$round$(printf %02d "$i")" completed
	done
done
report() { curl -s -m 2 "http://127.0.0.1:$((PORT + 2))/report"; }
no_repeats() { report | jq -e '.repeats == 0' > /dev/null; }
check "no done task was started again" no_repeats
check "no guarantee was broken" unbroken
report | jq -c '{starts, done, repeats, broken}' | tr -d '{}"' | tr ':,' '= '
cat "$RUN"/c?.log | grep -o 'event=runner_\(silent\|lapsed\|back\)' | sort | uniq -c | tr -s ' \n' ' '; echo
finish
