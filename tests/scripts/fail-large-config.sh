#!/usr/bin/env bash
# A cell of three hosts whose operator's configuration has grown until its text
# takes seconds on their links. Guards against CONFIG: a watch that was given up
# by the clock was repeated for ever, and hosts kept an older version.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/cell.sh"
PORT=${PORT:-19700}
HOSTS=3
ROUTES=3000
# Bytes a second of the store's answers to one host, and between two hosts
STORE_RATE=400000
PEER_RATE=150000
# Within this much of the time that the text takes, a version is in force.
APPLY_S=2
POLL_S=2.5
# 50 bytes a second are no progress
SILENT_RATE=50
SILENCE_S=2
setup

# configure VERSION: prints the bytes of the text
configure() {
	jq -nc --argjson v "$1" --argjson n "$ROUTES" '
	    {name: "urgent", host: "cell.example", prefix: "/urgent/",
	     timeout_ms: 3000, target_latency_ms: 250, priority: 0,
	     service: "work", max_attempts: 3, stretch: 1.5} as $q |
	    {version: $v, routes: ([$q] + [range($n) | $q +
	     {name: "q\(.)", prefix: "/q\(.)/"}]),
	     services: [{name: "work", admission_check: false}],
	     limits: {max_body_bytes: 262144}}' | tr -d '\n' > "$RUN/config.json"
	base64 -w 0 "$RUN/config.json" |
	    jq -Rc '{expected_rev: [], writes: [{table: "op", part: "",
	        key: "config", value: .}], remove: []}' |
	    curl -s -m 4 -o /dev/null -d @- "http://127.0.0.1:$PORT/v1/rows-tx"
	wc -c < "$RUN/config.json"
}
# seconds BYTES RATE: until all of it has passed, and APPLY_S
seconds() { echo $(($1 / $2 + 1 + APPLY_S)); }
version_at() { curl -s -m 1 "http://$(cell_addr "$1"):$((PORT + 103))/metrics" |
    sed -n 's/^celerycart_config_version //p'; }
in_force_at() { [ "$(version_at "$2")" = "$1" ]; }
in_force() { local i; for i in $(seq $HOSTS); do in_force_at "$1" "$i" || return 1; done; }
stalled() {
	local i
	for i in $(seq $HOSTS); do
		grep -q 'event=follow_lost table=op .*received=[1-9]' "$RUN/c$i.log" || return 1
	done
}
all_run() { local i; for i in $(seq $HOSTS); do kill -0 "${DAEMON[$i]}" 2> /dev/null || return 1; done; }
never_logged() { ! grep -q "$1" "$RUN"/c*.log; }

"$BIN/cellstandin" "$PORT" 6 "$RUN/record" $HOSTS 2> "$RUN/cellstandin.log" &
PIDS+=($!)
wait_port 127.0.0.1 $((PORT + 2))
for i in $(seq $HOSTS); do host "$i"; done
check "all hosts are ready" until_true 20 each_ready
for v in 1 2 3; do cell_fault "rate=$STORE_RATE&view=$v"; done
BYTES=$(configure 101)
CODED=$((BYTES * 4 / 3))
check "a large configuration is in force on all hosts" until_true "$(seconds $CODED $STORE_RATE)" in_force 101
for v in 103 105 107; do
	sleep $POLL_S # so that the change comes late in a long poll of 3 s
	configure $v > /dev/null
	check "so is its change $v" until_true "$(seconds $CODED $STORE_RATE)" in_force $v
done
check "the watch was never given up" never_logged 'event=follow_lost table=op'

# A change comes early in a long poll, and its answer stops halfway: that shows
# long before the long poll would end.
for v in 1 2 3; do cell_fault "rate=$STORE_RATE&view=$v"; done
configure 108 > /dev/null
sleep 0.5
for v in 1 2 3; do cell_fault "rate=$SILENT_RATE&view=$v"; done
check "silence within an answer shows on all hosts" until_true $SILENCE_S stalled
for v in 1 2 3; do cell_fault "rate=$STORE_RATE&view=$v"; done
check "and the change is in force when the store is back" until_true "$(seconds $CODED $STORE_RATE)" in_force 108

for v in 1 2 3; do cell_fault "rate=100000000&view=$v"; done
cell_fault "rate=$PEER_RATE"
APART=$(($(leading_host) % HOSTS + 1))
cell_fault "store=silent&view=$((APART % 3 + 1))"
configure 109 > /dev/null
check "a host that the store doesn't answer has the next change from its peers" \
    until_true "$(seconds "$BYTES" $PEER_RATE)" in_force_at 109 $APART
check "no link was taken for silent meanwhile" never_logged 'event=peer_down .*why=silent'
cell_fault "store=ok&view=$((APART % 3 + 1))"
configure 111 > /dev/null
check "it follows the store again" until_true "$(seconds "$BYTES" $PEER_RATE)" in_force 111
check "all processes run" all_run
finish
