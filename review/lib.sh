# Functions that the review's scripts share. A script sets CASE to its folder
# and sources this file. Everything listens on loopback addresses; all processes
# that were started are ended by their ids.
REVIEW=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
ROOT=$(cd "$REVIEW/.." && pwd)
TROUBLE=${TROUBLE:-1}
HOSTS=3
KEY=a-key-for-tests-only
RECORD=$CASE/record.txt
RUN=
PORT=
PIDS=()
DAEMON=()

# Milliseconds of the boot clock, as in the stand-in's lines.
now() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }
note() { echo "$(now) $*" >> "$RECORD"; }

end_processes() {
	local p
	for p in "${PIDS[@]}"; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	PIDS=()
}

cleanup() {
	end_processes
	[ -n "$RUN" ] && rm -rf "$RUN"
}

# The case could not run.
give_up() {
	echo "could not run: $*"
	note "could not run: $*"
	exit 2
}

port_is_free() { ! (exec 3<> "/dev/tcp/$1/$2") 2>/dev/null; }

# A base port from which the ports that a script uses are free.
pick_port() {
	local i p
	for i in $(seq 50); do
		p=$((20000 + RANDOM % 9000))
		port_is_free 127.0.0.1 $p && port_is_free 127.0.0.1 $((p + 2)) &&
		    port_is_free 127.0.0.1 $((p + 10)) &&
		    port_is_free "$(addr 1)" $((p + 100)) &&
		    port_is_free "$(addr 1)" $((p + 102)) && PORT=$p && return
	done
	give_up "no free ports"
}

addr() { echo "127.0.0.$((70 + $1))"; }

# Settings of host I, in the form of deploy/cell.yaml.
settings() {
	cat <<-EOF
	host: edge-$1
	zone: z$(($1 % 3))
	addr: $(addr "$1")
	callers: $(addr "$1"):$((PORT + 100))
	readiness: $(addr "$1"):$((PORT + 101))
	store: 127.0.0.1:$PORT
	peer_port: $((PORT + 102))
	metrics_port: $((PORT + 103))
	key: $KEY
	log_level: info
	max_hold_ms: 10000
	stop_grace_ms: 400
	status_s: 120
	grace_s: 6
	remote_factor: 3
	cores: 0.25
	link_mbps: 1000
	EOF
}

daemon() {
	settings "$1" > "$RUN/edge-$1.yaml"
	CELERYCART_BOOT=$RUN/edge-$1.yaml "$ROOT/target/celerycartd" --cell \
	    >> "$RUN/edge-$1.log" 2>&1 &
	PIDS+=($!)
	DAEMON[$1]=$!
	note "daemon edge-$1 starts"
}

# kill_daemon I: SIGKILL, as when the process crashes.
kill_daemon() {
	note "kill edge-$1"
	kill -KILL "${DAEMON[$1]}"
	wait "${DAEMON[$1]}" 2>/dev/null
}

# http METHOD ADDR PORT PATH [BODY]: prints the status, then the body.
http() {
	local body=${5:-}
	timeout 4 bash -c '
		exec 3<> "/dev/tcp/$2/$3" || exit 1
		printf "%s %s HTTP/1.1\r\nHost: cell.example\r\nContent-Type: application/json\r\nX-Celerycart-Deadline-Ms: 3000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" \
		    "$1" "$4" "${#5}" "$5" >&3
		tr -d "\r" <&3' - "$1" "$2" "$3" "$4" "$body" 2>/dev/null |
	    awk 'NR == 1 { print $2 } blank { print } /^$/ { blank = 1 }'
}

control() { [ "$(http GET 127.0.0.1 $((PORT + 2)) "$1" | head -1)" = 200 ]; }

ready() { [ "$(http GET "$(addr "$1")" $((PORT + 101)) /v1/readiness | head -1)" = 200 ]; }
all_ready() {
	local i
	for i in $(seq "$HOSTS"); do ready "$i" || return 1; done
}

# until_true SECONDS COMMAND...
until_true() {
	local end=$(($(now) + $1 * 1000))
	shift
	while ! "$@"; do
		[ "$(now)" -ge "$end" ] && return 1
		sleep 0.1
	done
}

# The number of the host that leads, by its metrics.
leader() {
	local i
	for i in $(seq "$HOSTS"); do
		http GET "$(addr "$i")" $((PORT + 103)) /metrics |
		    grep -q '^celerycart_leads 1' && echo "$i" && return
	done
}
has_leader() { [ -n "$(leader)" ]; }

# submit HOST ROUTE ID BODY: hands in until it is accepted; up to 5 attempts at
# hosts in turn, as clients do.
submit() {
	local i host status
	for i in 0 1 2 3 4; do
		host=$((($1 + i - 1) % HOSTS + 1))
		status=$(http POST "$(addr $host)" $((PORT + 100)) "/$2/$3" "$4" | head -1)
		note "submit $3 to edge-$host: ${status:-no answer}"
		[ "$status" = 200 ] && return 0
		sleep 0.2
	done
	return 1
}

# state HOST ROUTE ID: prints the answer on one line.
state() { http GET "$(addr "$1")" $((PORT + 100)) "/$2/$3" | tr '\n' ' '; }

# idle ID: whether nothing of the submission has run for the last 3 s.
idle() {
	awk -v id="$1." -v now="$(now)" '
	index($4, id) != 1 { next }
	$2 == "start" { n++; last = $1 }
	$2 == "end" || $2 == "gone" { n--; last = $1 }
	END { exit !(n == 0 && now - last >= 3000) }' "$RECORD"
}

# start_all RUNNERS CPU [HALF]...: starts the stand-in and the daemons, with a new record.
start_all() {
	: > "$RECORD"
	[ -x "$ROOT/target/celerycartd" ] || give_up "target/celerycartd isn't built"
	[ -x "$REVIEW/bin/standin" ] || give_up "review/build.sh wasn't run"
	RUN=$(mktemp -d)
	trap cleanup EXIT
	start_processes "$@"
}

# Ends all processes and starts anew, with the same record.
start_again() {
	end_processes
	rm -f "$RUN"/*.log
	start_processes "$@"
}

start_processes() {
	local i
	pick_port
	"$REVIEW/bin/standin" "$PORT" "$@" >> "$RECORD" 2> "$RUN/standin.log" &
	PIDS+=($!)
	until_true 5 control / || give_up "the stand-in doesn't answer"
	for i in $(seq "$HOSTS"); do daemon "$i"; done
	until_true 15 all_ready || give_up "the daemons aren't ready"
	until_true 5 has_leader || give_up "no host leads"
}
