# Functions of the scripts 11 to 15. A script sets SCENARIO and ARGS (of
# cellsim), RUNNERS, CPU and HOSTS, and calls run_case. It runs the daemons with
# the command of deploy/system.toml and settings as deploy/cell.yaml makes them,
# on loopback addresses; a daemon that ends starts again after RESTART_S.
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
SIM=$ROOT/target/review-3/cellsim
RESTART_S=${RESTART_S:-1}
HOSTS=${HOSTS:-4}
RUN=
PIDS=()

settings() { # HOST
	cat <<-END
	host: "e$1"
	zone: "z$(($1 % 3 + 1))"
	addr: "127.0.0.$((10 + $1))"
	callers: "127.0.0.$((10 + $1)):$((PORT + 1))"
	readiness: "127.0.0.$((10 + $1)):$((PORT + 2))"
	store: "127.0.0.1:$PORT"
	peer_port: $((PORT + 3))
	metrics_port: $((PORT + 4))
	key: "celerycart-cell-peers"
	log_level: info
	max_hold_ms: 10000
	stop_grace_ms: 400
	status_s: 120
	grace_s: 6
	remote_factor: 3
	cores: 0.25
	link_mbps: 1000.0
	memory_mb: 260
	max_fds: 4100
	END
}

# Runs one host and starts it again when it ends.
host() { # HOST
	cd "$ROOT" || return
	while [ ! -e "$RUN/stop" ]; do
		CELERYCART_BOOT=$RUN/e$1.yaml target/celerycartd --cell \
		    >> "$RUN/e$1.log" 2>&1 &
		echo $! > "$RUN/pid.$1"
		wait $!
		sleep "$RESTART_S"
	done
}

cleanup() {
	local p i
	[ -n "$RUN" ] || return
	touch "$RUN/stop"
	for p in "${PIDS[@]}"; do kill -KILL "$p" 2>/dev/null; done
	for i in $(seq "$HOSTS"); do
		p=$(cat "$RUN/pid.$i" 2>/dev/null) || continue
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	if [ -n "${KEEP:-}" ]; then echo "kept $RUN"; else rm -rf "$RUN"; fi
}

# Exits with 0 when the rule held, 1 when it was broken, 2 when the case
# couldn't run.
run_case() {
	local i rc try
	[ -x "$SIM" ] && [ -x "$ROOT/target/celerycartd" ] || {
		echo "build the deploy file and review/build-3.sh first"
		exit 2
	}
	RUN=$(mktemp -d)
	trap cleanup EXIT
	for try in 1 2 3 4 5; do
		PORT=$((20000 + (RANDOM + $$) % 8000))
		"$SIM" "$PORT" "$RUN" "$RUNNERS" "$CPU" "$SCENARIO" \
		    hosts="$HOSTS" trouble="${TROUBLE:-1}" "${ARGS[@]}" \
		    > "$RUN/result" &
		i=$!
		sleep 0.3
		kill -0 "$i" 2>/dev/null && break
	done
	PIDS+=("$i")
	for h in $(seq "$HOSTS"); do
		settings "$h" > "$RUN/e$h.yaml"
		host "$h" &
		PIDS+=($!)
	done
	wait "$i"
	rc=$?
	cp "$RUN/record.txt" "$CASE/record.txt" 2>/dev/null
	cat "$RUN/result"
	exit "$rc"
}
