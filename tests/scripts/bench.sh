#!/usr/bin/env bash
# Runs benchmarks and prints one name=value a line. Arguments select parts:
# place idle rate tasks config step hol takeover (hol: head-of-line blocking of
# short requests by long ones; step: a sudden increase of the load)
PLATFORM=${PLATFORM:-19000}
HOSTS=${HOSTS:-8}
SHARDS=16
HOLD=5s TAKE=6500ms RENEW=1500ms GUARD=500ms WLEASE=30s WWATCH=10s
. "$(dirname "$0")/lib.sh"
PARTS=${*:-place idle rate tasks config step hol takeover}
# Intervals as in production, not the short ones of the tests.
eval "$(declare -f settings | sed 's/hostlist_poll: 500ms/hostlist_poll: 2s/;s/snapshot_batches: 40/snapshot_batches: 500/')"

fresh() { # ends the cluster and starts a new one for the next measurement
	cleanup
	PIDS=()
	unset DAEMON
	declare -gA DAEMON
	PLATFORM=$((PLATFORM + 3000))
	[ "$PLATFORM" -gt 27000 ] && PLATFORM=19000
	setup
	start_cluster "$HOSTS" --runner-port $((PLATFORM + 1500)) || exit 1
}

# sample FILE: all metrics of all hosts, each with the time it was read
sample() {
	local i
	for i in "${!DAEMON[@]}"; do
		HOST=$(addr "$i"):$((PLATFORM + 11)) ctl metrics |
		    awk -v h="$i" -v t="$(date +%s%N)" \
			'/^celerycart_[a-z_]* [0-9]+$/ { print h, t, $1, $2 }'
	done > "$1"
}

# window SECONDS LABEL: what the control plane costs per host in that time
window() {
	sample "$RUN/m0"
	sleep "$1"
	sample "$RUN/m1"
	awk -v l="$2" '
	NR == FNR { t[$1] = $2; v[$1, $3] = $4; next }
	{
		d[$3] += ($4 - v[$1, $3]) / (($2 - t[$1]) / 1e9)
		if ($3 == "celerycart_rss_kb" && $4 > rss) rss = $4
		hosts[$1] = 1
	}
	END {
		for (h in hosts) n++
		printf "control_cpu_pct_%s=%.3f\n", l, d["celerycart_cpu_us_total"] / 1e4 / n
		printf "control_bytes_per_s_%s=%.0f\n", l, (d["celerycart_control_sent_bytes_total"] + d["celerycart_control_received_bytes_total"]) / n
		printf "control_rss_mb_%s=%.1f\n", l, rss / 1024
		printf "table_reads_per_s_%s=%.1f\n", l, d["celerycart_table_reads_total"]
		printf "table_writes_per_s_%s=%.1f\n", l, d["celerycart_table_writes_total"]
	}' "$RUN/m0" "$RUN/m1"
}

targets() {
	local i
	for i in $(seq "$HOSTS"); do echo "--target $(addr "$i"):$((PLATFORM + 10))"; done
}

callers() { # RATE SECONDS PREFIX MIX...
	local m=() x
	for x in "${@:4}"; do m+=(--mix "$x"); done
	# shellcheck disable=SC2046
	"$BIN/caller" $(targets) --rate "$1" --seconds "$2" --seed 7 \
	    --prefix "$3" --out "$RUN/$3.jsonl" "${m[@]}" > "$RUN/$3.out"
}

quantile() { # FILE CLASS Q
	jq -r --arg c "$2" 'select(.class==$c).total_ms' "$1" | sort -n |
	    awk -v q="$3" '{ v[NR] = $1 } END { i = int(q * NR + 0.999); print v[i < 1 ? 1 : i] }'
}

wait_quantiles() { # CLASS: p50 and p99 from the daemons' histogram
	ctl histogram "$1" --json | jq -s '.[0] | "\(.p50) \(.p99)"' -r
}

part_place() { "$BIN/bench-place"; }

part_idle() {
	local w
	for w in 50 200 500; do
		WORKERS=$w RUNNERS=50
		fresh
		sleep 15
		window 20 "idle_${w}w"
	done
}

part_rate() {
	local r w
	WORKERS=200 RUNNERS=4
	fresh
	for r in 20 50 94; do
		callers $r 24 "r$r" cure:task:1:3000:1:1:0 &
		sleep 6
		window 16 "rate_$r"
		wait $!
		echo "starts_$r: $(grep -h class=cure "$RUN/r$r.out")"
	done
	w=$(wait_quantiles cure)
	echo "start_wait_p50_ms_cure=${w% *}"
	echo "start_wait_p99_ms_cure=${w#* }"
}

part_tasks() {
	local t
	WORKERS=200 RUNNERS=4
	fresh
	for t in 500 1500 2700; do
		callers 125 4 "t$t" cure:task:1:900000:1:1:0 &
		[ $t -gt 500 ] && callers 125 4 "u$t" cure:task:1:900000:1:1:0 &
		sleep 20
		kill %% 2>/dev/null
		PIDS+=($!)
		echo "running_tasks_at_$t=$(jq -s '[.[]|select(.ev=="start")]|length' "$RECORD")"
		window 15 "tasks_$t"
	done
}

part_config() {
	local i v
	WORKERS=50 RUNNERS=50
	fresh
	(for i in $(seq 20); do
		sed "s/share: 60%/share: $((20 + i))%/" "$ROOT/examples/classes.yaml" > "$RUN/c.yaml"
		ctl config apply "$RUN/c.yaml" > /dev/null
		ctl hosts --json | jq '[.hosts[].config_took_ms] | max' >> "$RUN/took"
		sleep 0.8
	done) &
	sleep 1
	window 15 "config_1_per_s"
	wait $!
	sleep 3
	v=$(ctl hosts --json | jq '[.hosts[].config_took_ms] | max')
	echo "config_in_force_s=$(awk -v v="$v" 'BEGIN { print v / 1000 }')"
	kill -STOP "${DAEMON[8]}"
	ctl config apply "$ROOT/examples/classes.yaml" > /dev/null
	sleep 3
	echo "config_in_force_s_one_paused=$(ctl hosts --json |
	    jq '[.hosts[] | select(.host != "e8").config_took_ms] | max / 1000')"
	kill -CONT "${DAEMON[8]}"
}

late() { ctl classes --json | jq --arg c "$1" '[.[] | select(.class==$c).late] | add'; }

part_step() {
	local l0 l1 n
	WORKERS=8 RUNNERS=50
	fresh
	callers 150 5 before booking:request:1:400:1:1:0
	l0=$(late booking)
	callers 750 8 crest booking:request:1:400:1:1:0
	l1=$(late booking)
	callers 150 5 after booking:request:1:400:1:1:0
	for n in before crest after; do
		echo "booking_total_p50_ms_$n=$(quantile "$RUN/$n.jsonl" booking 0.5)"
		echo "booking_total_p99_ms_$n=$(quantile "$RUN/$n.jsonl" booking 0.99)"
	done
	n=$(wc -l < "$RUN/crest.jsonl")
	echo "crest_on_time_pct=$(awk -v l=$((l1 - l0)) -v n="$n" 'BEGIN { printf "%.2f", 100 - 100 * l / n }')"
	grep -h class= "$RUN/crest.out"
}

part_hol() {
	local a b
	WORKERS=8 RUNNERS=16
	fresh
	callers 100 10 short booking:request:1:30:1:1:0
	callers 100 4 warm booking:request:9:30:1:1:0 dispatch:request:1:2500:1:1:0
	callers 140 12 mixed booking:request:10:30:1:1:0 dispatch:request:4:2500:1:1:0
	a=$(quantile "$RUN/short.jsonl" booking 0.99)
	b=$(quantile "$RUN/mixed.jsonl" booking 0.99)
	echo "hol_short_p99_ms_alone=$a"
	echo "hol_short_p99_ms_with_long=$b"
	echo "hol_short_p99_ratio=$(awk -v a="$a" -v b="$b" 'BEGIN { printf "%.2f", b / a }')"
	grep -h class= "$RUN/mixed.out"
}

part_takeover() {
	local i t0
	WORKERS=50 RUNNERS=50
	fresh
	sleep 15 # until every host has its shards
	for i in 2 3 4; do
		kill -KILL "${DAEMON[$i]}"
		unset "DAEMON[$i]"
		t0=$(date +%s%N)
		until_true 30 all_owned
		echo "takeover_s_$i=$(awk -v t=$(($(date +%s%N) - t0)) 'BEGIN { printf "%.1f", t / 1e9 }')"
	done
}

for p in $PARTS; do "part_$p"; done
