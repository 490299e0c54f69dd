#!/usr/bin/env bash
# The hosts are stopped with SIGTERM one after the other while requests are
# served and new hosts join: no request may lose its connection.
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
	check "host $i exited with 0" [ $? -eq 0 ]
	unset "DAEMON[$i]"
	if [ "$i" -eq 1 ]; then daemon 5; until_true 10 ready 5; fi
done
load_done
cut_off() { ! grep -q '"reason":"connection"' "$RUN/outcomes.jsonl"; }
check "no request lost its connection" cut_off
check "every request settled" all_settled
check "invariants by the stand-in's record" judge
finish
