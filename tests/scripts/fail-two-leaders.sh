#!/usr/bin/env bash
# A cell of eight daemons in two parts that don't speak to each other, and 18
# runners. The leader is cut off from the store for 11 s, together with the
# runners of its part; each part reaches its own runners alone. Then the same
# with the other part. Guards against TWICE: the leader before renewed leases
# that the next one took for over.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/cell.sh"
PORT=${PORT:-18800}
RUNNERS=18
CUT_S=${CUT_S:-11}
JOBS=6
TASKS=20
setup

# Hosts 1 to 3 are part 1, the others part 2. A part has a key and a view of its
# own; the first six runners belong to part 1.
part_of() { [ "$1" -le 3 ] && echo 1 || echo 2; }
host_settings() {
	local p; p=$(part_of "$1")
	cell_settings "$1" | sed -e "s/^store: .*/store: 127.0.0.20$p:$PORT/" \
	    -e "s/^key: .*/key: $KEY-$p/"
}
host() {
	host_settings "$1" > "$RUN/c$1.yaml"
	"$DAEMONS/celerycartd" --cell -c "$RUN/c$1.yaml" >> "$RUN/c$1.log" 2>&1 &
	PIDS+=($!)
}
leading_host() {
	local i
	for i in 1 2 3 4 5 6 7 8; do
		curl -s -m 1 "http://$(cell_addr "$i"):$((PORT + 103))/metrics" |
		    grep -q '^celerycart_leads 1' && echo "$i" && return
	done
	return 1
}
# part_leads PART: whether a host of the part takes itself for the leader
part_leads() {
	local i
	for i in 1 2 3 4 5 6 7 8; do
		[ "$(part_of "$i")" = "$1" ] || continue
		curl -s -m 1 "http://$(cell_addr "$i"):$((PORT + 103))/metrics" |
		    grep -q '^celerycart_leads 1' && return
	done
	return 1
}
first_part_leads() { local l; l=$(leading_host) && [ "$l" -le 3 ]; }
# runners of PART: their numbers
runners_of() { [ "$1" = 1 ] && seq 0 5 || seq 6 $((RUNNERS - 1)); }
# cut PART MODE [SECONDS]: the paths between the parts and, so many seconds later,
# the part's store
cut() {
	local other=$((3 - $1)) r
	for r in $(runners_of "$other"); do cell_fault "view=$1&runner=$r&mode=$2"; done
	for r in $(runners_of "$1"); do cell_fault "view=$other&runner=$r&mode=$2"; done
	sleep "${3:-0}"
	cell_fault "view=$1&store=$2"
}
# Every other job has tasks that outlive the next leader's wait for leases of the
# leader before; those of the rest end while the cut lasts.
SHORT_MS=8000
LONG_MS=16000
ms_of() { [ $(($1 % 2)) = 0 ] && echo $LONG_MS || echo $SHORT_MS; }
job_body() { # MS
	echo "{\"spec\":\"${TASKS}x1000x$1\",\"steps\":[{\"count\":$TASKS,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":$1}]}"
}
# submitted HOST ID MS
submitted() { [ "$(submit "$1" "$2" "$(job_body "$3")")" = 200 ]; }
ended() { state_is "$(leading_host)" "$1" completed; }
# round NAME SECONDS: the store's path is cut so long after those of runners
round() {
	local l p i
	l=$(leading_host)
	p=$(part_of "$l")
	for i in $(seq $JOBS); do
		check "$1: job $i is accepted" until_true 5 submitted "$l" "00000000000${1}00a$i" "$(ms_of "$i")"
	done
	sleep 0.5
	cut "$p" silent "$2"
	sleep "$CUT_S"
	check "$1: the other part leads" part_leads $((3 - p))
	cut "$p" ok
	for i in $(seq $JOBS); do
		check "$1: job $i is completed" until_true 60 ended "00000000000${1}00a$i"
	done
}

"$BIN/cellstandin" "$PORT" $RUNNERS 2> "$RUN/cellstandin.log" &
PIDS+=($!)
wait_port 127.0.0.1 $((PORT + 2))
for i in 1 2 3; do host "$i"; done
check "a host of the first part leads" until_true 10 first_part_leads
for i in 4 5 6 7 8; do host "$i"; done
sleep 2
round 1 0
# Leases of the other part's runners then seem to be over while the registry was
# read a moment before.
round 2 0.8
check "no guarantee was broken" unbroken
# No host was restarted, so none may take an earlier incarnation of itself for
# the leader. Guards against a needless claim by a leader that was just deposed.
no_own_claim() { ! grep -h 'event=claiming.* why=same-host' "$RUN"/c*.log; }
check "a deposed leader doesn't claim at once" no_own_claim
cat "$RUN/cellstandin.log" | sort | uniq -c | head -5
finish
