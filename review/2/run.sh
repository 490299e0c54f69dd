#!/usr/bin/env bash
# One runner is cut off for about 6.5 s and its tasks are moved; the runners that have
# them now are cut off in their turn; then the leader is killed. Exits with 1 if
# a task runs on two runners at the same time (TWICE).
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
ID=00000000000000c1
BODY='{"spec":"25000","steps":[{"count":40,"cpu":1000,"mem_mb":100,"estimate_ms":25000}]}'

# Numbers of the runners on which tasks were started with a run after FIRST.
moved_to() {
	awk -v from="$1" '$2 == "start" && $1 >= from { sub("i-0*", "", $3); print $3 == "" ? 0 : $3 }' \
	    "$RECORD" | sort -nu
}
has_moved() { [ -n "$(moved_to "$cut_at")" ]; }
all_silent() {
	local r
	for r in $second; do
		grep -q "event=runner_silent runner=$(printf 'i-%04d' "$r")" \
		    "$RUN/edge-$l.log" || return 1
	done
}

start_all 6 16000
sleep 1
submit 1 batch $ID "$BODY" || give_up "the submission was not accepted"
sleep 2
if [ "$TROUBLE" != 0 ]; then
	l=$(leader)
	[ -n "$l" ] || give_up "no leader"
	control "/cut?runner=0" || give_up "no control"
	cut_at=$(now)
	until_true 6 has_moved || give_up "no task was moved"
	sleep 0.1
	second=$(moved_to "$cut_at")
	for r in $second; do control "/cut?runner=$r"; done
	until_true 3 all_silent || give_up "the second cut wasn't noticed"
	sleep 0.1
	kill -KILL "${DAEMON[$l]}"
	note "edge-$l, the leader, is killed"
	control "/heal?runner=0" || give_up "no control"
	sleep 3
	for r in $second; do control "/heal?runner=$r"; done
	daemon "$l"
fi
sleep 8

awk '
	$2 == "start" {
		if ($4 in running) {
			bad++
			if (bad <= 5) print "TWICE: " $4 " starts on " $3 " (run " $5 ") at " $1 " and still runs on " running[$4]
		}
		running[$4] = $3 " (run " $5 ")"; at[$4] = $3
		starts++
	}
	($2 == "end" || $2 == "gone") && at[$4] == $3 { delete running[$4]; delete at[$4] }
	END {
		print starts " starts, " bad + 0 " beside a run of the same task"
		exit bad > 0
	}' "$RECORD" > "$RUN/verdict"
broken=$?
cat "$RUN/verdict"
cat "$RUN/verdict" >> "$RECORD"
exit "$broken"
