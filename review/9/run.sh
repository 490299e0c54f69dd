#!/usr/bin/env bash
# A manifest adds a queue whose host name has 141 characters; then all processes
# are killed, and start again.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-2.sh"
ID=00000000000c0901
start_all desk

# Requests on the queue that was there all along: one submission and one question
# for the queue's count, at each host. Prints the number that was served.
SENT=0
ask_all() {
	local i served=0
	for i in 1 2 3; do
		[[ $(client GET $i /desk/) == 200* ]] && served=$((served + 1))
		[[ $(client POST $i /desk/$1$i '{"spec":"S0:300","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":300}]}') == 200* ]] && served=$((served + 1))
	done
	echo $served
}

# An accepted submission of two steps
[[ $(client POST 1 /desk/$ID '{"spec":"S0:6000 S1:500","steps":[{"count":2,"cpu":1000,"mem_mb":64,"estimate_ms":6000},{"count":2,"cpu":1000,"mem_mb":64,"estimate_ms":500,"after":[0]}]}') == 200* ]] ||
    cannot_run "the submission was not accepted"
BEFORE=$(ask_all 00000000000c091)
[ "$BEFORE" = 6 ] || cannot_run "requests before: $BEFORE of 6 served"

# A valid domain name: labels of at most 63 characters, 141 together.
LONG=bookings.spray-booth-application.agenda-cabinas.nave-norte-and-nave-sur.oficina-central.montevideo.uruguay.talleres-barreiro-hermanos.example
route() { echo "{\"name\":\"$1\",\"host\":\"$2\",\"prefix\":\"/$1/\",\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":0,\"service\":\"work\",\"max_attempts\":3,\"stretch\":1.5}"; }
control POST /config "{\"version\":7,\"routes\":[$(route desk desk.example),$(route far $LONG)],\"services\":[{\"name\":\"work\",\"admission_check\":false}],\"limits\":{\"max_body_bytes\":262144,\"max_header_bytes\":16384}}" ||
    cannot_run "manifest"
say "manifest 7 with routes desk and far, host $LONG"
sleep 1

if [ "$TROUBLE" = 1 ]; then
	say "all processes are killed"
	for i in 1 2 3; do kill -KILL "${HOST_PID[$i]}"; done
	for i in 1 2 3; do wait "${HOST_PID[$i]}" 2>/dev/null; done
	sleep 1
	for i in 1 2 3; do start_host $i; done
fi
# recovery_s is 12; the rule asks for a quarter of the requests after that.
sleep 13
SERVED=0
for n in 2 3 4; do
	SERVED=$((SERVED + $(ask_all 00000000000c09$n)))
	sleep 2
done
# finish_s (14 s) after the end of the first step at the latest
sleep 8
STATE=$(client GET 2 /desk/$ID)
SECOND=$(seen " start .*task=$ID.0.1.")
say "served after recovery_s: $SERVED of 18; starts of the accepted submission's second step: $SECOND of 2; its state: $STATE"
[ "$SERVED" -ge 15 ] && [ "$SECOND" -ge 2 ] && held "requests are served, the submission is done"
[ "$SERVED" -lt 4 ] && broken "RECOVER: $SERVED of 18 requests are served after recovery_s; accepted work stands still"
cannot_run "unclear"
