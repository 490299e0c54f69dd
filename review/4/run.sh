#!/usr/bin/env bash
# LOST: a runner drains, exits and starts again under its id. It is given no
# work any more, so that work which needs its label never runs.
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$CASE/../lib.sh"

ID=00000000000000e1
RUNNERS=16
CPU=16000
DRAIN_S=2.5
DOWN_S=1
FINISH_S=14
# Runner 0 is the only one of the kind "b".
BODY='{"spec":"500","steps":[{"count":4,"cpu":1000,"mem_mb":256,"estimate_ms":500,"requires":"b"}]}'

completed() { state 1 urgent "$1" | grep -q completed; }

start_all $RUNNERS $CPU
submit 1 urgent 00000000000000e0 "$BODY" || give_up "the first job wasn't accepted"
until_true 10 completed 00000000000000e0 || give_up "the first job isn't completed"
if [ "$TROUBLE" = 1 ]; then
	control "/drain?runner=0"
	sleep $DRAIN_S
	control "/leave?runner=0"
	sleep $DOWN_S
	control "/boot?runner=0"
fi
sleep 4
submit 1 urgent $ID "$BODY" || give_up "the job wasn't accepted"
until_true $((FINISH_S + 3)) completed $ID
note "state at edge-1: $(state 1 urgent $ID)"
if completed $ID; then
	echo "held: the job is completed" | tee -a "$RECORD"
	exit 0
fi
if ! idle $ID; then
	echo "held: the job is at work" | tee -a "$RECORD"
	exit 0
fi
echo "broken LOST: $(grep -c " start .* $ID\." "$RECORD") starts in $((FINISH_S + 3)) s; i-0000 is ready and empty, with room for 16 tasks" | tee -a "$RECORD"
exit 1
