#!/usr/bin/env bash
# Compares the cost report with the stand-in's record, after owners of shards
# were killed and snapshots were taken.
PLATFORM=${PLATFORM:-18000}
EXTRA="snapshot_batches: 10"
. "$(dirname "$0")/lib.sh"
settings_base=$(declare -f settings)
setup
eval "${settings_base/snapshot_batches: 40/}"
start_cluster 3 || exit 1
"$BIN/caller" --target "$(addr 1):$((PLATFORM + 10))" --rate 40 --seconds 7 \
    --seed 5 --prefix c --out "$RUN/outcomes.jsonl" \
    --mix cure:task:3:500:2:1:0 --mix cure:task:1:400:1:3:0 > "$RUN/caller.out" &
LOAD=$!
PIDS+=($LOAD)
sleep 3
kill -KILL "${DAEMON[2]}"
unset 'DAEMON[2]'
until_true 10 all_owned
daemon 2
sleep 1
kill -KILL "${DAEMON[3]}"
unset 'DAEMON[3]'
load_done
check "every request settled" all_settled
check "all shards are owned" until_true 15 all_owned
check "snapshots were taken" logged event=snapshot 1 2 3
# CPU hours, from the record, of the runs whose end was reported.
recorded=$(jq -s '[.[] | select(.ev=="start" or .ev=="stop")] |
    group_by(.worker + .key + (.serial|tostring)) |
    map(select(length==2 and .[1].why=="end") |
	(.[1].t - .[0].t) * .[0].cpus) | add / 3.6e9' "$RECORD")
reported=$(ctl cost --by class --json | jq '[.[].cpu_hours] | add')
runs=$(jq -s '[.[] | select(.ev=="stop" and .why=="end")] | length' "$RECORD")
tasks=$(ctl cost --by class --json | jq '[.[].tasks] | add')
echo "recorded=$recorded reported=$reported runs=$runs tasks=$tasks"
agree() {
	awk -v a="$recorded" -v b="$reported" \
	    'BEGIN { d = (a - b) / a; exit !(d < 0.001 && d > -0.001) }'
}
# The worker reports whole milliseconds, the record microseconds.
check "reported and recorded CPU hours agree to 0.1%" agree
check "each run was charged once" [ "$runs" -eq "$tasks" ]
"$BIN/caller" --target "$(addr 1):$((PLATFORM + 10))" --rate 50 --seconds 2 \
    --seed 6 --prefix b --out "$RUN/bookings.jsonl" \
    --mix booking:request:1:5:1:1:0 > /dev/null
counted() {
	[ "$(ctl cost --by class --json |
	    jq '.[] | select(.class=="booking").tasks')" -eq "$(wc -l < "$RUN/bookings.jsonl")" ]
}
check "each repeatable request is counted as one" until_true 10 counted
csv() { ctl cost --format csv | head -1 | grep -q '^day,class,team,tasks,cpu_hours'; }
check "the report comes as CSV" csv
finish
