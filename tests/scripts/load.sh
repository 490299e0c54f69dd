# Functions that the tests of clients which aren't cooperative share: one host of
# a cell with lowered limits, and what a load may cost it. No times and no share
# of served requests are checked.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/cell.sh"
CONNS=24
# Settings of the host: memory of all clients' connections in kB, connections of
# the callers' port, and of the readiness and metrics ports together.
MEMORY_KB=1024
CALLER_CONNS=12
MONITOR_CONNS=12
# Memory by which the load may raise the peak: the budget, twice as much for what
# the allocator keeps beside it, and the ordinary submission.
GROWTH_KB=3072
# Descriptors by which the load may raise the number of open ones: the
# connections of both kinds of ports, and those to the store, advice and runners.
GROWTH_FDS=18

peak_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${DAEMON[1]}/status"; }
open_fds() { ls "/proc/${DAEMON[1]}/fd" | wc -l; }
alive() { kill -0 "${DAEMON[1]}"; }
at_most() { [ "$1" -le "$2" ] || { echo "got $1, more than $2"; return 1; }; }

# load PATTERN PORT: plays one load and checks the host during and after it.
load() {
	local kb fds most=0 n pid
	setup
	"$BIN/cellstandin" "$PORT" 6 2> "$RUN/cellstandin.log" &
	PIDS+=($!)
	wait_port 127.0.0.1 $((PORT + 2))
	eval "$(declare -f cell_settings | sed '1s/cell_settings/plain_settings/')"
	cell_settings() {
		plain_settings "$1"
		echo "client_memory_kb: $MEMORY_KB"
		echo "caller_conns: $CALLER_CONNS"
		echo "monitor_conns: $MONITOR_CONNS"
	}
	cell_daemon 1
	check "the host is ready" until_true 10 cell_ready 1
	check "a submission before the load is answered with 200" until_true 5 accepted 1 00000000000000a1
	kb=$(peak_kb)
	fds=$(open_fds)
	"$BIN/load_caller" --addr "$(cell_addr 1)" --port "$2" --pattern "$1" \
	    --conns "$CONNS" > "$RUN/load" &
	pid=$!
	PIDS+=($pid)
	while kill -0 "$pid" 2>/dev/null; do
		n=$(open_fds)
		[ "$n" -gt "$most" ] && most=$n
		sleep 0.1
	done
	wait "$pid"
	cat "$RUN/load"
	check "the process is alive" alive
	check "a submission after the load is answered with 200" until_true 20 accepted 1 00000000000000a2
	echo "  peak_before_kb=$kb peak_kb=$(peak_kb) fds_before=$fds fds=$most"
	check "peak memory stays under its bound" at_most "$(peak_kb)" $((kb + GROWTH_KB))
	check "open descriptors stay under their bound" at_most "$most" $((fds + GROWTH_FDS))
	finish
}
