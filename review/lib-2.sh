# Functions that the scripts of cases 6 to 10 share. A script sets CASE to its
# folder and sources this file. All addresses are loopback addresses, and all
# processes that were started are ended by their ids.
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
TROUBLE=${TROUBLE:-1}
HOSTS=${HOSTS:-3}
RUNNERS=${RUNNERS:-4}
RECORD=$CASE/record.txt
TMP=$(mktemp -d) || exit 2
PIDS=()
declare -A HOST_PID
PORT=
: > "$RECORD"

end_all() {
	local p
	for p in "${PIDS[@]}"; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "${KEEP_LOGS:-}" ] && cp "$TMP"/*.log "$KEEP_LOGS" 2>/dev/null
	rm -rf "$TMP"
}
trap end_all EXIT

boot_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }
say() { echo "$(boot_ms) $*" >> "$RECORD"; }
cannot_run() { say "could not run: $*"; echo "could not run: $*"; exit 2; }
broken() { say "BROKEN: $*"; echo "broken: $*"; exit 1; }
held() { say "held: $*"; echo "held: $*"; exit 0; }

is_open() { (exec 3<> "/dev/tcp/$1/$2") 2>/dev/null; }
host_addr() { echo "127.0.0.$((90 + $1))"; }

choose_ports() {
	local i k free
	for i in $(seq 60); do
		PORT=$((20000 + RANDOM % 600 * 20))
		free=1
		for k in 0 1 2 10 11 12 13; do
			is_open 127.0.0.1 $((PORT + k)) && free=0
		done
		for k in 1 2 3; do
			is_open "$(host_addr $k)" $((PORT + 100)) && free=0
		done
		[ $free = 1 ] && return
	done
	cannot_run "no free ports"
}

# until_true SECONDS COMMAND...
until_true() {
	local end=$(($(boot_ms) + $1 * 1000))
	shift
	until "$@"; do
		[ "$(boot_ms)" -ge "$end" ] && return 1
		sleep 0.1
	done
}

# http METHOD ADDR PORT PATH [BODY]: prints the status, a space and the body.
http() {
	timeout 4 bash -c '
		exec 3<> "/dev/tcp/$2/$3" || exit 1
		printf "%s %s HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\nX-Celerycart-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s" \
		    "$1" "$4" "${#5}" "$5" >&3
		tr -d "\r" <&3' - "$1" "$2" "$3" "$4" "${5:-}" 2>/dev/null |
	    awk 'NR == 1 { s = $2 } blank { b = b $0 } /^$/ { blank = 1 } END { print s, b }'
}

# client METHOD HOST PATH [BODY]: a call of a client; noted with its answer.
client() {
	local answer
	answer=$(http "$1" "$(host_addr "$2")" $((PORT + 100)) "$3" "${4:-}")
	say "client $1 $3 at edge-$2 -> $answer"
	echo "$answer"
}

control() { [[ $(http "$1" 127.0.0.1 $((PORT + 1)) "$2" "${3:-}") == 200* ]]; }

# The settings of deploy/cell.yaml, as the platform fills them in.
start_host() {
	cat > "$TMP/edge-$1.yaml" <<-EOF
	host: "edge-$1"
	zone: "z$(($1 % 3))"
	addr: "$(host_addr "$1")"
	callers: "$(host_addr "$1"):$((PORT + 100))"
	readiness: "$(host_addr "$1"):$((PORT + 101))"
	store: "127.0.0.1:$((PORT + 2))"
	peer_port: $((PORT + 102))
	metrics_port: $((PORT + 103))
	key: "celerycart-cell-peers"
	log_level: info
	max_hold_ms: 10000
	stop_grace_ms: 400
	status_s: 120
	grace_s: 6
	remote_factor: 3
	cores: 0.25
	link_mbps: 1000.0
	EOF
	CELERYCART_BOOT=$TMP/edge-$1.yaml "$ROOT/target/celerycartd" --cell \
	    >> "$TMP/edge-$1.log" 2>&1 &
	PIDS+=($!)
	HOST_PID[$1]=$!
	say "edge-$1 starts"
}

ready() { [[ $(http GET "$(host_addr "$1")" $((PORT + 101)) /v1/readiness) == 200* ]]; }
all_ready() { local i; for i in $(seq "$HOSTS"); do ready "$i" || return 1; done; }

# The host that leads, by the metrics of the deploy file.
leader() {
	local i
	for i in "${!HOST_PID[@]}"; do
		http GET "$(host_addr "$i")" $((PORT + 103)) /metrics |
		    grep -q 'celerycart_leads 1' && echo "$i" && return
	done
}

# manifest VERSION ROUTE...: each route is its own queue of the service "work".
manifest() {
	local v=$1 r list=
	shift
	for r in "$@"; do
		list+="${list:+,}{\"name\":\"$r\",\"host\":\"desk.example\",\"prefix\":\"/$r/\",\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":0,\"service\":\"work\",\"max_attempts\":3,\"stretch\":1.5}"
	done
	control POST /config "{\"version\":$v,\"routes\":[$list],\"services\":[{\"name\":\"work\",\"admission_check\":false}],\"limits\":{\"max_body_bytes\":262144}}" ||
	    cannot_run "manifest $v"
	say "manifest $v with routes $*"
}

# start_all ROUTE...
start_all() {
	local i
	[ -x "$ROOT/target/celerycartd" ] || cannot_run "target/celerycartd is not built"
	[ -x "$ROOT/review/bin/standin-2" ] || cannot_run "review/build-2.sh was not run"
	for i in 1 2 3 4 5; do
		choose_ports
		"$ROOT/review/bin/standin-2" "$PORT" "$RUNNERS" "$RECORD" \
		    "${RACKS:--}" "${CPU:-16000}" \
		    2> "$TMP/standin.log" &
		PIDS+=($!)
		# Another process may have taken the ports in the meantime.
		until_true 3 is_open 127.0.0.1 $((PORT + 1)) && sleep 0.3 &&
		    kill -0 "${PIDS[-1]}" 2>/dev/null && break
		[ "$i" = 5 ] && cannot_run "stand-in"
	done
	manifest 3 "$@"
	for i in $(seq "$HOSTS"); do start_host "$i"; done
	until_true 15 all_ready || cannot_run "hosts are not ready"
	sleep 2
}

# Number of lines of the record that match.
seen() { grep -Ec "$1" "$RECORD"; }
seen_at_least() { [ "$(seen "$1")" -ge "$2" ]; }
