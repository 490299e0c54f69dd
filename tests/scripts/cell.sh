# Functions that the scripts of a cell share: three daemons of the folder DAEMONS,
# with the store of the stand-in at PORT, CELL_CORES cores each and the further
# settings CELL_EXTRA.
DAEMONS=${DAEMONS:-$BIN}

cell_addr() { echo "127.0.0.$((70 + $1))"; }
cell_settings() {
	cat <<-EOF
	host: c$1
	zone: z$(($1 % 3))
	addr: $(cell_addr "$1")
	callers: $(cell_addr "$1"):$((PORT + 100))
	readiness: $(cell_addr "$1"):$((PORT + 101))
	store: 127.0.0.1:$PORT
	advice: 127.0.0.1:$((PORT + 1))
	key: $KEY
	peer_port: $((PORT + 102))
	metrics_port: $((PORT + 103))
	cores: ${CELL_CORES:-0.25}
	${CELL_EXTRA:-}
	EOF
}
cell_daemon() {
	cell_settings "$1" > "$RUN/c$1.yaml"
	"$DAEMONS/celerycartd" --cell -c "$RUN/c$1.yaml" >> "$RUN/c$1.log" 2>&1 &
	PIDS+=($!)
	DAEMON[$1]=$!
}
cell_fault() { curl -s -m 2 -o /dev/null "http://127.0.0.1:$((PORT + 2))/fault?$1"; }
cell_ready() { curl -sf -m 2 -o /dev/null "http://$(cell_addr "$1"):$((PORT + 101))/v1/readiness"; }
url() { echo "http://$(cell_addr "$1"):$((PORT + 100))/urgent/$2"; }
ask() { curl -s -m 4 -H 'Host: cell.example' "$@"; }
BODY='{"spec":"3x1000x300,2x1000x200>0","steps":[{"count":3,"cpu":1000,"mem_mb":10,"estimate_ms":300},{"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":200,"after":[0]}]}'
# submit HOST ID [BODY]: prints the HTTP status
submit() { ask -o /dev/null -w '%{http_code}' -X POST -d "${3:-$BODY}" "$(url "$1" "$2")"; }
accepted() { [ "$(submit "$1" "$2")" = 200 ]; }
state_is() { ask "$(url "$1" "$2")" | grep -q "\"state\":\"$3\""; }
completed() { until_true 20 state_is "$1" "$2" completed; }
leader() {
	local i
	for i in 1 2 3; do
		curl -s -m 1 "http://$(cell_addr "$i"):$((PORT + 103))/metrics" |
		    grep -q '^celerycart_leads 1' && echo "$i" && return
	done
}
other() { local l; l=$(leader); echo $((l % 3 + 1)); }
has_leader_heartbeat() {
	curl -s -m 2 "http://$(cell_addr "$1"):$((PORT + 103))/cell/members" |
	    jq -e '[.members[] | select(.leads and .beat_ms_ago >= 0 and .beat_ms_ago < 1000)] | length == 1' > /dev/null
}
all_ready() { cell_ready 1 && cell_ready 2 && cell_ready 3; }
unbroken() { curl -s -m 2 "http://127.0.0.1:$((PORT + 2))/report" | jq -e '.broken == 0' > /dev/null; }
status_is() { [ "$1" = "$2" ] || { echo "got $1, not $2"; return 1; }; }
# metric NAME: of the leader
metric() { curl -s -m 1 "http://$(cell_addr "$(leader)"):$((PORT + 103))/metrics" |
    sed -n "s/^celerycart_$1 //p"; }
has_relays() { [ "$(metric relays)" -gt 0 ]; }
# A site of HOSTS hosts: host and runner i are in zone i % 3, which uses view
# i % 3 + 1.
host() {
	cell_settings "$1" | sed "s/^store: .*/store: 127.0.0.20$(($1 % 3 + 1)):$PORT/" \
	    > "$RUN/c$1.yaml"
	"$DAEMONS/celerycartd" --cell -c "$RUN/c$1.yaml" >> "$RUN/c$1.log" 2>&1 &
	PIDS+=($!)
	DAEMON[$1]=$!
}
leads() {
	curl -s -m 1 "http://$(cell_addr "$1"):$((PORT + 103))/metrics" |
	    grep -q '^celerycart_leads 1'
}
leading_host() {
	local i
	for i in $(seq $HOSTS); do leads "$i" && echo "$i" && return; done
	return 1
}
each_ready() { local i; for i in $(seq $HOSTS); do cell_ready "$i" || return 1; done; }
