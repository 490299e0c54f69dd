#!/usr/bin/env bash
# A host and the workers of its shards fail at the same time, so no process is
# left that knows what became of their tasks. Every task must still be settled.
PLATFORM=${PLATFORM:-18000}
. "$(dirname "$0")/lib.sh"
setup
start_cluster 3 || exit 1
for i in $(seq 24); do
	submit $((i % 3 + 1)) cure "{\"id\":\"again-$i\",\"cpus\":2,\"memory_mb\":64,\"run_ms\":4000}" > /dev/null
	submit $((i % 3 + 1)) callout "{\"id\":\"once-$i\",\"cpus\":1,\"memory_mb\":64,\"run_ms\":4000}" > /dev/null
done
sleep 0.7
LOST=$(ctl workers --json | jq -r '.[] | select(.host=="e2").worker')
kill -KILL "${DAEMON[2]}"
unset 'DAEMON[2]'
for w in $LOST; do fault worker_restart="$w"; done
echo "lost workers: $(echo "$LOST" | wc -w)"
for i in $(seq 24); do
	for k in again once; do
		settled 1 "$k-$i" 25000 | jq -c --arg c "$k" \
		    '{id, class: $c, task: true, whole: true, count, reason, outcome}'
	done
done > "$RUN/outcomes.jsonl"
all_done() {
	local bad
	bad=$(jq -r 'select(.class=="again" and .outcome!="done").id' "$RUN/outcomes.jsonl")
	[ -z "$bad" ] || { echo "not done: $bad"; return 1; }
}
some_unknown() { [ "$(jq -r 'select(.class=="once" and .outcome=="unknown").id' "$RUN/outcomes.jsonl" | wc -l)" -gt 0 ]; }
check "all repeatable tasks are done" all_done
check "some lost task that may not run twice is unknown" some_unknown
judge() { "$BIN/checker" "$RECORD" "$RUN/outcomes.jsonl" once=once; }
check "invariants by the stand-in's record" judge
finish
