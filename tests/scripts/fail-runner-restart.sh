#!/usr/bin/env bash
# A cell of three daemons in two parts that don't speak to each other, and 12
# runners. The leader is cut off from the store for 9 s, together with the
# runners of its part; each part reaches its own runners alone. Idle runners of
# the leader's part restart under their ids at that moment, and the leader starts
# tasks on them. Guards against TWICE: such a runner took a lease on its
# former clock for one that outlasts the next leader's wait.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/cell.sh"
PORT=${PORT:-18900}
RUNNERS=12
CUT_S=9
JOBS=4
# Clocks of runners are ahead of a new incarnation's by the longest lease then.
WARM_MS=8500
setup

# Host 1 is part 1, the others part 2. A part has a key and a view of its own;
# the first eight runners belong to part 1.
part_of() { [ "$1" = 1 ] && echo 1 || echo 2; }
host() {
	local p; p=$(part_of "$1")
	cell_settings "$1" | sed -e "s/^store: .*/store: 127.0.0.20$p:$PORT/" \
	    -e "s/^key: .*/key: $KEY-$p/" > "$RUN/c$1.yaml"
	"$DAEMONS/celerycartd" --cell -c "$RUN/c$1.yaml" >> "$RUN/c$1.log" 2>&1 &
	PIDS+=($!)
}
leads() { [ "$(leader)" = "$1" ]; }
other_part_leads() { leads 2 || leads 3; }
# cut MODE: the paths between the parts, and the first part's store
cut() {
	local r
	for r in 8 9 10 11; do cell_fault "view=1&runner=$r&mode=$1"; done
	for r in 0 1 2 3 4 5 6 7; do cell_fault "view=2&runner=$r&mode=$1"; done
	cell_fault "view=1&store=$1"
}
# Due after the cut, so that the next leader knows the job and nothing of its
# runs.
DUE_MS=1500
TASKS=8
job() {
	echo "{\"spec\":\"${TASKS}x1000x9000\",\"steps\":[{\"count\":$TASKS,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}],\"repeat_count\":1,\"interval_ms\":60000,\"start_at_ms\":$(($(date +%s%3N) + DUE_MS))}"
}
id() { echo "00000000000000c$1"; }
submitted() { [ "$(submit 1 "$(id "$1")" "$(job)")" = 200 ]; }
ended() { state_is "$(leader)" "$(id "$1")" completed; }
# Whether host 1 has started all tasks.
placed_all() { [ "$(grep -c 'event=placed ' "$RUN/c1.log")" -ge $((JOBS * TASKS)) ]; }

"$BIN/cellstandin" "$PORT" $RUNNERS 2> "$RUN/cellstandin.log" &
PIDS+=($!)
wait_port 127.0.0.1 $((PORT + 2))
BORN=$(date +%s%3N)
host 1
check "a host of the first part leads" until_true 10 leads 1
host 2
host 3
while [ $(($(date +%s%3N) - BORN)) -lt $WARM_MS ]; do sleep 0.1; done
for i in $(seq $JOBS); do
	check "job $i is accepted" until_true 5 submitted "$i"
done
sleep 0.3
cut silent
for r in 4 5 6 7; do cell_fault "runner=$r&mode=crash&down=100"; done
sleep "$CUT_S"
check "the leader before started the tasks behind the cut" placed_all
cut ok
for i in $(seq $JOBS); do
	check "job $i is completed" until_true 60 ended "$i"
done
check "the other part leads" other_part_leads
check "no guarantee was broken" unbroken
sort "$RUN/cellstandin.log" | uniq -c | head -5
finish
