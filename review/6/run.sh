#!/usr/bin/env bash
# LOST: a runner is emptied and taken away. A gang of one rack that then fits on
# no rack any more, but on two, is never started.
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$CASE/../lib.sh"

ID=00000000000000d1
RUNNERS=24
CPU=16000
# Memory for one member on each runner, for none on one of half the size. The
# racks have 8 runners; two of the three have one of half the size.
BODY='{"spec":"1000","steps":[{"count":8,"cpu":1000,"mem_mb":40000,"estimate_ms":1000,"gang":true,"same_rack":true}]}'
FINISH_S=14

done_all() { [ "$(grep -c " end .* $ID\..* done" "$RECORD")" -ge 8 ]; }

start_all $RUNNERS $CPU 8 16
if [ "$TROUBLE" = 1 ]; then
	control "/drain?runner=0"
	sleep 3
	control "/leave?runner=0"
	sleep 3
fi
submit 1 urgent $ID "$BODY" || give_up "the job wasn't accepted"
until_true $((FINISH_S + 3)) done_all
note "state at edge-1: $(state 1 urgent $ID)"
if done_all; then
	echo "held: the gang is done" | tee -a "$RECORD"
	exit 0
fi
echo "broken LOST: $(grep -c " start " "$RECORD") starts in $((FINISH_S + 3)) s; 21 runners have room for a member, 8 are needed" | tee -a "$RECORD"
exit 1
