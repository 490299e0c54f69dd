# Functions that the scripted tests share. They start stand-ins and daemons on
# loopback, note their process ids, and end only these processes.
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
BIN=${BIN:-$ROOT/build}
PLATFORM=${PLATFORM:-17000}
WORKERS=${WORKERS:-8}
RUNNERS=${RUNNERS:-4}
CPUS=${CPUS:-16}
MEMORY=${MEMORY:-65536}
SHARDS=${SHARDS:-8}
HOLD=${HOLD:-1500ms}
TAKE=${TAKE:-2000ms}
RENEW=${RENEW:-400ms}
GUARD=${GUARD:-200ms}
WLEASE=${WLEASE:-3000ms}
WWATCH=${WWATCH:-1000ms}
EXTRA=${EXTRA:-}
KEY=a-key-for-tests-only
RECORD=
RUN=
PIDS=()
declare -A DAEMON STANDIN

setup() {
	RUN=$(mktemp -d)
	RECORD=$RUN/record.jsonl
	: > "$RECORD"
	trap cleanup EXIT
}

cleanup() {
	local p
	for p in "${PIDS[@]}"; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	if [ -n "${KEEP:-}" ]; then
		echo "kept $RUN" >&2
	elif [ "${FAILED:-0}" -gt 0 ]; then
		rm -rf "$BIN/failed-$(basename "$0" .sh)"
		mv "$RUN" "$BIN/failed-$(basename "$0" .sh)"
	else
		rm -rf "$RUN"
	fi
}

# standin [OPTIONS]: starts one stand-in for the platform, workers and runners
standin() {
	"$BIN/standin" --port "$PLATFORM" --worker-port $((PLATFORM + 100)) \
	    --runner-port $((PLATFORM + 600)) --workers "$WORKERS" \
	    --runners "$RUNNERS" --cpus "$CPUS" --memory "$MEMORY" \
	    --record "$RECORD" "$@" 2> "$RUN/standin.log" &
	PIDS+=($!)
	STANDIN[all]=$!
	wait_port 127.0.0.1 $((PLATFORM + 1))
}

wait_port() {
	local i
	for i in $(seq 100); do
		(exec 3<> "/dev/tcp/$1/$2") 2>/dev/null && return 0
		sleep 0.05
	done
	echo "nobody listens on $1:$2" >&2
	return 1
}

fault() { # NAME=VALUE: sets a fault of the stand-in
	curl -s -m 2 -o /dev/null "http://127.0.0.1:$((PLATFORM + 1))/?$1"
}

# host I has the address 127.0.0.(10+I)
addr() { echo "127.0.0.$((10 + $1))"; }

settings() { # I: prints the configuration of host I
	local i=$1
	cat <<-EOF
	host: e$i
	zone: zone-$((i % 3))
	addr: $(addr "$i")
	caller_port: $((PLATFORM + 10))
	operator_port: $((PLATFORM + 11))
	peer_port: $((PLATFORM + 12))
	table: {addr: 127.0.0.1, port: $PLATFORM}
	objects: {addr: 127.0.0.1, port: $PLATFORM}
	hostlist: {addr: 127.0.0.1, port: $PLATFORM}
	seeds:
	  - {addr: $(addr 1), port: $((PLATFORM + 12))}
	  - {addr: $(addr 2), port: $((PLATFORM + 12))}
	key: $KEY
	shards: $SHARDS
	lease_hold: $HOLD
	lease_take: $TAKE
	lease_renew: $RENEW
	start_guard: $GUARD
	worker_lease: $WLEASE
	worker_watch: $WWATCH
	hostlist_poll: 500ms
	snapshot_batches: 40
	$EXTRA
	EOF
}

daemon() { # I: starts host I
	local i=$1
	settings "$i" > "$RUN/e$i.yaml"
	"$BIN/celerycartd" -c "$RUN/e$i.yaml" >> "$RUN/e$i.log" 2>&1 &
	PIDS+=($!)
	DAEMON[$i]=$!
}

ctl() {
	local i=1
	"$BIN/celerycartctl" --host "${HOST:-$(addr 1):$((PLATFORM + 11))}" \
	    --caller "${CALLER:-$(addr 1):$((PLATFORM + 10))}" \
	    --key "$KEY" "$@"
}

url() { echo "http://$(addr "$1"):$((PLATFORM + 10))$2"; }

# until_true SECONDS COMMAND...: repeats the command until it succeeds
until_true() {
	local end=$((SECONDS + $1))
	shift
	until "$@" > /dev/null 2>&1; do
		[ $SECONDS -ge $end ] && { echo "gave up: $*" >&2; return 1; }
		sleep 0.1
	done
}

ready() { curl -sf -m 2 -o /dev/null "$(url "$1" /readyz)"; }

# owned_by HOST: number of shards that the host reports as owned
owned_by() {
	HOST=$(addr "$1"):$((PLATFORM + 11)) ctl status --json |
	    jq '.shards | length'
}

all_owned() {
	local i sum=0 n
	for i in "${!DAEMON[@]}"; do
		kill -0 "${DAEMON[$i]}" 2>/dev/null || continue
		n=$(owned_by "$i" 2>/dev/null) || n=0
		sum=$((sum + ${n:-0}))
	done
	[ "$sum" -eq "$SHARDS" ]
}

# start_cluster HOSTS [STAND-IN OPTIONS]: returns when all hosts are ready, all
# shards are owned and the example configuration is in force
start_cluster() {
	local i
	standin "${@:2}"
	for i in $(seq "$1"); do daemon "$i"; done
	for i in $(seq "$1"); do until_true 10 ready "$i" || return 1; done
	ctl config apply "$ROOT/examples/classes.yaml" > /dev/null || return 1
	until_true 15 all_owned || return 1
	for i in $(seq "$1"); do until_true 10 conf_in_force "$i" 1 || return 1; done
}

conf_in_force() { # HOST VERSION
	[ "$(HOST=$(addr "$1"):$((PLATFORM + 11)) ctl status --json |
	    jq .config_version)" -ge "$2" ]
}

# submit HOST CLASS JSON
submit() {
	curl -s -m 20 -X POST --data "$3" "$(url "$1" "/v1/classes/$2/tasks")"
}

settled() { # HOST ID WAIT_MS: prints the task after waiting for its outcome
	curl -s -m $(($3 / 1000 + 10)) \
	    "$(url "$1" "/v1/tasks/$2?wait_ms=$3")"
}

PASSED=0
FAILED=0
check() { # NAME COMMAND...
	local name=$1
	shift
	if "$@"; then
		PASSED=$((PASSED + 1))
		echo "ok $name"
	else
		FAILED=$((FAILED + 1))
		echo "not ok $name"
	fi
}

finish() {
	echo "$PASSED passed, $FAILED failed"
	[ "$FAILED" -eq 0 ]
}

# load SECONDS RATE SEED HOSTS...: starts callers of every class in the
# background; RATE is in calls per second
load() {
	local t=() h
	for h in "${@:4}"; do t+=(--target "$(addr "$h"):$((PLATFORM + 10))"); done
	"$BIN/caller" "${t[@]}" --rate "$2" --seconds "$1" --seed "$3" \
	    --drain "${DRAIN:-45}" --prefix "q$3" \
	    --out "$RUN/outcomes.jsonl" \
	    --mix booking:request:4:20:1:1:0:2000 \
	    --mix dispatch:request:3:30:1:1:0:100 \
	    --mix callout:task:3:400:1:1:10 --mix cure:task:3:900:2:1:5 \
	    --mix cure:task:1:500:2:3:5 > "$RUN/caller.out" &
	LOAD=$!
	PIDS+=($LOAD)
}

load_done() { wait "$LOAD"; LOAD_RC=$?; cat "$RUN/caller.out"; }

# Runs the checker over the record; the last stops need a moment to be written.
judge() {
	sleep 0.3
	"$BIN/checker" "$RECORD" "$RUN/outcomes.jsonl" once=dispatch \
	    once=callout cpus="$CPUS" memory="$MEMORY" "$@"
}

all_settled() { [ "$LOAD_RC" -eq 0 ]; }

logged() { # PATTERN HOSTS...: whether the log of any of the hosts matches
	local p=$1 h
	for h in "${@:2}"; do grep -q "$p" "$RUN/e$h.log" && return 0; done
	return 1
}
