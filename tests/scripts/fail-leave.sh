#!/usr/bin/env bash
# Hosts are told to leave while work runs: no request is cut off, and the
# whole fleet is replaced one by one.
PLATFORM=${PLATFORM:-18000}
. "$(dirname "$0")/lib.sh"
setup
start_cluster 3 || exit 1
load 12 60 16 1 2 3 4 5
daemon 4
until_true 10 ready 4
for i in 1 2 3; do
	kill -TERM "${DAEMON[$i]}"
	wait "${DAEMON[$i]}"
	check "host $i left in order" [ $? -eq 0 ]
	unset "DAEMON[$i]"
	if [ "$i" -eq 1 ]; then daemon 5; until_true 10 ready 5; fi
done
load_done
cut_off() { ! grep -q '"reason":"connection"' "$RUN/outcomes.jsonl"; }
check "no request was cut off" cut_off
check "every request settled" all_settled
check "invariants by the stand-in's record" judge
finish
