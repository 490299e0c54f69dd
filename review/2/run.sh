#!/usr/bin/env bash
# LOST: the leader is killed while a scheduled submission runs whose tasks
# don't all fit at once. The tasks that wait are never started.
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$CASE/../lib.sh"

ID=00000000000000a1
RUNNERS=6
CPU=16000
# One task fits on a runner: 6 run and 3 wait.
STEPS='[{"count":9,"cpu":9000,"mem_mb":512,"estimate_ms":3000}]'
FINISH_S=14

started() { [ "$(grep -c " start .* $ID\." "$RECORD")" -ge "$1" ]; }
# A leader other than the one that was killed.
other_leads() { local l; l=$(leader); [ -n "$l" ]; }

start_all $RUNNERS $CPU
due=$(($(date +%s%3N) + 1500))
submit 1 batch $ID "{\"spec\":\"3000\",\"steps\":$STEPS,\"repeat_count\":1,\"start_at_ms\":$due,\"interval_ms\":1000}" ||
    give_up "the job wasn't accepted"
until_true 10 started 6 || give_up "the first six tasks didn't start"
sleep 0.5
if [ "$TROUBLE" = 1 ]; then
	l=$(leader)
	[ -n "$l" ] || give_up "no host leads"
	kill_daemon "$l"
	sleep 1
	daemon "$l"
	until_true 10 other_leads || give_up "no host took over"
fi
# Until FINISH_S after the runs that were going have ended, and 3 s more.
sleep 3
end=$(($(now) + (FINISH_S + 3) * 1000))
while [ "$(now)" -lt $end ]; do
	for h in 1 2 3; do
		state $h batch $ID | grep -q completed && break 2
	done
	sleep 0.3
done
for h in 1 2 3; do note "state at edge-$h: $(state $h batch $ID)"; done
n=$(grep -c " start .* $ID\." "$RECORD")
d=$(grep -c " end .* $ID\..* done" "$RECORD")
if [ "$d" -ge 9 ]; then
	echo "held: $n starts, $d of 9 tasks done" | tee -a "$RECORD"
	exit 0
fi
last=$(grep " end " "$RECORD" | tail -1 | cut -d' ' -f1)
echo "broken LOST: $d of 9 tasks done, $n starts, nothing runs since $((($(now) - last) / 1000)) s, all 6 runners are free" | tee -a "$RECORD"
exit 1
