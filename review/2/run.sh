#!/usr/bin/env bash
# One runner of 18 is cut off for 5.4 s and its tasks are moved; the two that have
# them now are cut off in their turn; then the leader is killed. Exits with 1 if
# a task runs on two runners at the same time (TWICE).
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$CASE/../lib.sh"
ID=00000000000000c1
BODY='{"spec":"25000","steps":[{"count":40,"cpu":1000,"mem_mb":100,"estimate_ms":25000}]}'

# Numbers of the runners on which tasks were started with a run after FIRST.
moved_to() {
	awk -v from="$1" '$2 == "start" && $1 >= from { sub("i-0*", "", $3); print $3 == "" ? 0 : $3 }' \
	    "$RECORD" | sort -nu
}
is_cut() { awk -v f="$cut_from" '$1 >= f && $2 == "cut" { n++ } END { exit !n }' "$RECORD"; }
has_moved() { [ -n "$(moved_to "$cut_at")" ]; }
all_silent() {
	local r
	for r in $second; do
		grep -q "event=runner_silent runner=$(printf 'i-%04d' "$r")" \
		    "$RUN/edge-$l.log" || return 1
	done
}

# One round. Whether the second cut is noticed before the first must end depends
# on the moment within a second at which it comes, so several are played.
trouble() {
	l=$(leader)
	[ -n "$l" ] || give_up "no leader"
	cut_from=$(now)
	control "/cut?runner=0" || give_up "no control"
	until_true 3 is_cut || give_up "no cut"
	cut_at=$(awk -v f="$cut_from" '$1 >= f && $2 == "cut" { print $1; exit }' "$RECORD")
	until_true 5 has_moved || give_up "no task was moved"
	sleep 0.05
	second=$(moved_to "$cut_at")
	for r in $second; do control "/cut?runner=$r"; done
	while [ "$(now)" -lt $((cut_at + 5300)) ] && ! all_silent; do sleep 0.02; done
	[ "$(now)" -lt $((cut_at + 5200)) ] && sleep 0.1
	kill_daemon "$l"
	rest=$((cut_at + 5400 - $(now)))
	[ "$rest" -gt 0 ] && sleep "$(printf '0.%03d' "$rest")"
	control "/heal?runner=0" || give_up "no control"
	sleep 2
	for r in $second; do control "/heal?runner=$r"; done
}

judge() {
	awk -v from="$1" '
	$1 < from { next }
	$2 == "start" {
		if ($4 in running) {
			bad++
			if (bad <= 3) print "TWICE: " $4 " starts on " $3 " (run " $5 ") at " $1 " and still runs on " running[$4]
		}
		running[$4] = $3 " (run " $5 ")"; at[$4] = $3
		starts++
	}
	($2 == "end" || $2 == "gone") && at[$4] == $3 { delete running[$4]; delete at[$4] }
	END {
		print starts " starts, " bad + 0 " beside a run of the same task"
		exit bad > 0
	}' "$RECORD"
}

broken=0
for round in 1 2 3 4 5 6; do
	round_from=$(awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime)
	if [ "$round" = 1 ]; then start_all 18 16000; else start_again 18 16000; fi
	sleep 1
	submit 1 batch $ID "$BODY" || give_up "the submission was not accepted"
	sleep 2
	if [ "$TROUBLE" != 0 ]; then trouble; else sleep 8; fi
	sleep 3
	judge "$round_from" > "$RUN/verdict" || broken=1
	sed "s/^/round $round: /" "$RUN/verdict" | tee -a "$RECORD"
	[ "$broken" = 1 ] && break
done
exit "$broken"
