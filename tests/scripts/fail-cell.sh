#!/usr/bin/env bash
# A cell of three daemons with a stand-in for the platform: operation without
# faults, invalid input, a leader that is killed, frozen and stopped, a store
# that doesn't answer, all daemons killed; and whether the logs tell the cause
# for a given job id.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/cell.sh"
PORT=${PORT:-18400}
setup

"$BIN/cellstandin" "$PORT" 6 2> "$RUN/cellstandin.log" &
PIDS+=($!)
wait_port 127.0.0.1 $((PORT + 2))
for i in 1 2 3; do cell_daemon $i; done
check "all hosts are ready" until_true 10 all_ready
if [ -n "${CELL_CORES:-}" ]; then
	check "orders go through relays" until_true 10 has_relays
fi

# without faults
check "a job is accepted" accepted 1 00000000000000a1
check "the job is completed, as another host reports" completed 2 00000000000000a1
check "a second submission of the id is accepted" accepted 3 00000000000000a1
check "an unknown id gets 410" status_is "$(ask -o /dev/null -w '%{http_code}' "$(url 2 00000000000000ff)")" 410
check "an unknown queue gets 404" status_is "$(ask -o /dev/null -w '%{http_code}' "http://$(cell_addr 1):$((PORT + 100))/none/")" 404
check "a queue reports no pending jobs" bash -c "[ \"\$(curl -s -m 3 -H 'Host: cell.example' $(url 1 "") | jq .pending)\" = 0 ]"
check "a cancellation gets 200" status_is "$(ask -o /dev/null -w '%{http_code}' -X DELETE "$(url 1 00000000000000a1)")" 200

# Guards against a descriptor of a closed connection that is reused while the
# event loop still has the former one: nothing is read from the new connection.
fresh_calls() {
	local i
	for i in $(seq 40); do
		curl -sf -m 2 -o /dev/null -H 'Connection: close' "http://$(cell_addr 1):$((PORT + 101))/v1/readiness" &&
		    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$(cell_addr 1):$((PORT + 100))/none/")" = 404 ] || return 1
	done
}
check "a new connection is read after each that was closed" fresh_calls

# invalid input
check "invalid JSON gets 400" status_is "$(submit 1 00000000000000b1 '{')" 400
check "the answer names a field of the wrong type" bash -c "curl -s -m 3 -H 'Host: cell.example' -X POST -d '{\"steps\":[{\"count\":\"4\"}]}' $(url 1 00000000000000b2) | grep -q count"
check "an invalid id gets 400" status_is "$(submit 1 xyz)" 400
head -c 700000 /dev/zero | tr '\0' ' ' > "$RUN/large"
check "a too large Content-Length gets 413" status_is "$(ask -o /dev/null -w '%{http_code}' -X POST -H 'Expect:' --data-binary @"$RUN/large" "$(url 1 00000000000000b3)")" 413
X=$(head -c 6000 /dev/zero | tr '\0' 'x')
check "too large headers get 431" status_is "$(ask -o /dev/null -w '%{http_code}' -H "X-A: $X" -H "X-B: $X" -H "X-C: $X" "$(url 1 00000000000000b4)")" 431

# celerycartctl
check "celerycartctl shows the leader" bash -c "$BIN/celerycartctl --host $(cell_addr 1):$((PORT + 103)) --key $KEY cell | grep -q 'leader c'"
check "celerycartctl shows the runners" bash -c "$BIN/celerycartctl --host $(cell_addr "$(leader)"):$((PORT + 103)) --key $KEY cell runners | grep -q i-0003"

# the leader is killed
L=$(leader)
O=$(other)
check "a job is accepted before the kill" accepted "$O" 00000000000000c1
kill -KILL "${DAEMON[$L]}"
T=$(date +%s%N)
check "a job is accepted within 3 s after the leader was killed" until_true 3 accepted "$O" 00000000000000c2
echo "  takeover_ms=$((($(date +%s%N) - T) / 1000000))"
check "the job accepted before the kill is completed" completed "$O" 00000000000000c1
if [ -n "${CELL_CORES:-}" ]; then
	check "the new leader sent all its orders through relays" \
	    status_is "$(metric orders_direct_total)" 0
fi
cell_daemon "$L"
check "all hosts are ready after the restart" until_true 10 all_ready

# The leader is frozen and continues after it was replaced. With store=late, the
# next leader reads its own row before it gets the answer to its claim.
cell_fault store=late
L=$(leader)
O=$(other)
P=$((6 - L - O))
followers_have_heartbeat() { has_leader_heartbeat "$O" && has_leader_heartbeat "$P"; }
check "the followers receive heartbeats of the leader" until_true 5 followers_have_heartbeat
kill -STOP "${DAEMON[$L]}"
check "a job is accepted while the leader is frozen" until_true 5 accepted "$O" 00000000000000d1
sleep 1
check "the frozen leader isn't suspected as a relay" \
    status_is "$(metric relays_suspected_total)" 0
cell_fault store=ok
kill -CONT "${DAEMON[$L]}"
check "the job is completed after the leader continues" completed "$O" 00000000000000d1
check "the former leader is ready as a follower" until_true 5 all_ready

# a follower is frozen, which may hold orders to relay
L=$(leader)
O=$(other)
P=$((6 - L - O))
check "a job is accepted before a follower is frozen" accepted "$O" 00000000000000d2
kill -STOP "${DAEMON[$P]}"
check "a job is accepted while a follower is frozen" accepted "$O" 00000000000000d3
check "the job accepted meanwhile is completed" completed "$O" 00000000000000d3
check "the job accepted before is completed" completed "$O" 00000000000000d2
kill -CONT "${DAEMON[$P]}"
check "the follower is ready again" until_true 5 all_ready
check "no late order of the follower violated a guarantee" unbroken

# the leader is stopped with SIGTERM
L=$(leader)
O=$(other)
kill -TERM "${DAEMON[$L]}"
check "a job is accepted while the leader stops" until_true 2 accepted "$O" 00000000000000e1
check "the stopped leader exits within 7 s" until_true 7 bash -c "! kill -0 ${DAEMON[$L]} 2>/dev/null"
cell_daemon "$L"
check "all hosts are ready after the leader's restart" until_true 10 all_ready

# the leader is stopped while the store is slow
cell_fault store=slow
L=$(leader)
O=$(other)
kill -TERM "${DAEMON[$L]}"
sleep 0.3
check "a job is accepted within 4 s with a slow store" until_true 4 accepted "$O" 00000000000000e2
cell_fault store=ok
until_true 7 bash -c "! kill -0 ${DAEMON[$L]} 2>/dev/null"
cell_daemon "$L"
check "all hosts are ready after the slow store" until_true 10 all_ready

# the store doesn't answer
cell_fault store=silent
sleep 2
ask -i -X POST -d "$BODY" "$(url 1 00000000000000f1)" > "$RUN/refused"
check "a job gets 503 while the store doesn't answer" grep -q '503' "$RUN/refused"
check "the refusal has a Retry-After of 1 to 4 s" grep -qi 'retry-after: [1-4]' "$RUN/refused"
cell_fault store=ok
check "a job is accepted after the store has recovered" until_true 8 accepted 1 00000000000000f2
check "that job is completed" completed 1 00000000000000f2
check "the refused job gets 410" status_is "$(ask -o /dev/null -w '%{http_code}' "$(url 1 00000000000000f1)")" 410

# a host restarts under its name at another address
L=$(leader)
H=$((L % 3 + 1))
kill -KILL "${DAEMON[$H]}"
cell_addr() { [ "$1" = "$H" ] && echo "127.0.0.8$1" || echo "127.0.0.$((70 + $1))"; }
cell_daemon "$H"
check "a host at another address is ready" until_true 10 cell_ready "$H"
check "the host at another address accepts a job" accepted "$H" 00000000000000f5
check "the host at another address receives heartbeats" until_true 5 has_leader_heartbeat "$H"

# one runner crashes while it has work, another drains
check "a job is accepted before the runners fail" accepted 1 00000000000000f3
cell_fault "runner=0&mode=crash&down=3000"
cell_fault "runner=1&mode=drain"
check "the job is completed despite the lost runners" completed 1 00000000000000f3

# all daemons are killed
check "a job is accepted before all are killed" accepted 2 00000000000000f4
for i in 1 2 3; do kill -KILL "${DAEMON[$i]}" 2>/dev/null; done
for i in 1 2 3; do cell_daemon $i; done
check "all hosts are ready within 5 s after the restart" until_true 5 all_ready
check "the job accepted before is completed after the restart" completed 3 00000000000000f4
check "no runner saw a violated guarantee" unbroken

# A leader's run numbers start from its generation, so no two leaders may have
# the same one.
generations() { sed -n 's/.* event=claimed .*generation=//p' "$RUN"/c*.log; }
check "no two leaders had the same generation" \
    status_is "$(generations | sort | uniq -d | wc -l)" 0
rows_differ() {
	local fence generation n=0
	while read -r fence generation; do
		grep -hq " event=leader_seen .* version=$fence generation=$generation " \
		    "$RUN"/c*.log || n=$((n + 1))
	done < <(sed -n 's/.* event=claimed fence=\([0-9]*\) generation=/\1 /p' "$RUN"/c*.log)
	echo $n
}
check "the generation of each leader is that of its row" status_is "$(rows_differ)" 0

# the logs tell the cause for an id
logs() { cat "$RUN"/c*.log; }
check "the log tells why a job was refused" bash -c "cat $RUN/c*.log | grep -q 'event=submit_refused id=00000000000000f1 why=store-down'"
check "the log tells that the store failed" bash -c "cat $RUN/c*.log | grep -q 'event=store_failing'"
check "the log tells when a job ended and how long it took" bash -c "cat $RUN/c*.log | grep -q 'event=job_ended id=00000000000000f3 .*state=completed took_ms='"
check "the log tells why a job waited: a runner or run was lost" bash -c "cat $RUN/c*.log | grep -Eq 'event=(runner_restarted|runner_silent|run_ended) '"
finish
