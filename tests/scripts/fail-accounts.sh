#!/usr/bin/env bash
# A cell of three daemons whose configuration has client accounts with API keys.
# Guards against ROUTE and CONFIG: calls with unknown, missing or removed keys were
# served, a host that the store turns away or that is cut off from all others went on
# serving a removed key, and jobs were shown to other accounts.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/cell.sh"
PORT=${PORT:-19500}
HOSTS=3
REVOKE_MS=2000
setup

CELL_EXTRA="revoke_strict: ${STRICT:-yes}
revoke_ms: $REVOKE_MS"
A1=first-key-of-alpha-7f31
A2=second-key-of-alpha-90c2
A3=third-key-of-alpha-1d77
A4=fourth-key-of-alpha-e5b8
B1=only-key-of-beta-44aa
C1=only-key-of-gamma-6e0d
NEVER=in-no-configuration-3b09
VERSION=1001
# configure KEYS: a new version with these keys of alpha, a JSON list. Returns when
# the store has acknowledged it.
configure() {
	local text status
	VERSION=$((VERSION + 2))
	text=$(jq -nc --argjson keys "$1" --argjson v $VERSION --arg b "$B1" --arg c "$C1" '
	    def queue(n; more): {name: n, host: "cell.example", prefix: "/\(n)/",
	        timeout_ms: 3000, target_latency_ms: 250, priority: 0,
	        service: "work", max_attempts: 3, stretch: 1.5} + more;
	    {version: $v, routes: [queue("urgent"; {}), queue("open"; {public: true})],
	     services: [{name: "work", admission_check: false}],
	     limits: {max_body_bytes: 262144},
	     tenants: [{name: "alpha", api_keys: $keys, weight: 100},
	               {name: "beta", api_keys: [$b], weight: 100},
	               {name: "gamma", api_keys: [$c], weight: 0.2, cap: {cpu: 1000}}]}')
	status=$(jq -n --arg v "$(printf %s "$text" | base64 -w 0)" \
	    '{expected_rev: [], writes: [{table: "op", part: "", key: "config", value: $v}], remove: []}' |
	    curl -s -m 4 -o /dev/null -w '%{http_code}' -d @- "http://127.0.0.1:$PORT/v1/rows-tx")
	[ "$status" = 200 ]
}
keys() { jq -nc '$ARGS.positional' --args "$@"; }
in_force() { # on all hosts
	local i
	for i in 1 2 3; do
		curl -s -m 1 "http://$(cell_addr "$i"):$((PORT + 103))/metrics" |
		    grep -q "^celerycart_config_version $VERSION\$" || return 1
	done
}
# call HOST KEY METHOD PATH [curl options]; KEY "": none
call() {
	local to=$1 key=$2 method=$3 path=$4
	shift 4
	[ -z "$key" ] || set -- -H "Authorization: Bearer $key" "$@"
	curl -s -m 4 -H 'Host: cell.example' -X "$method" "$@" \
	    "http://$(cell_addr "$to"):$((PORT + 100))$path"
}
status() { call "$@" -o /dev/null -w '%{http_code}'; }
post() { status "$1" "$2" POST "$3" -d "$BODY"; }
posts() { [ "$(post "$1" "$2" "$3")" = "$4" ]; } # HOST KEY PATH STATUS
gets() { [ "$(status "$1" "$2" GET "$3")" = "$4" ]; }
cancels() { [ "$(status "$1" "$2" DELETE "$3")" = "$4" ]; }
done_for() { call "$1" "$2" GET "$3" | grep -q '"state":"completed"'; } # HOST KEY PATH
bound_over() { sleep "$(jq -n $REVOKE_MS/1000+0.1)"; }
# never_served HOST KEY PATH STATUSES: ten submissions and reads in a row, each of
# which is answered with one of STATUSES
never_served() {
	local i s
	for i in $(seq 10); do
		for s in "$(post "$1" "$2" "/urgent/00000000000f${1}0${i: -1}0")" \
		    "$(status "$1" "$2" GET "$3")"; do
			[[ " $4 " = *" $s "* ]] || { echo "got $s, not $4"; return 1; }
		done
		sleep 0.1
	done
}
no_key_in() { ! grep -l -F -e "$A1" -e "$A2" -e "$A3" -e "$A4" -e "$B1" -e "$C1" -e "$NEVER" "$@"; }
refused_at() { # HOST REASON: the host's log names the reason
	grep -q "event=access_refused why=$2 " "$RUN/c$1.log"
}

"$BIN/cellstandin" "$PORT" 6 "$RUN/events.jsonl" $HOSTS 2> "$RUN/cellstandin.log" &
PIDS+=($!)
wait_port 127.0.0.1 $((PORT + 2))
for i in 1 2 3; do host $i; done
check "all hosts are ready" until_true 20 all_ready
check "the store takes a configuration with accounts" configure "$(keys $A1 $A2)"
check "it is in force" until_true 10 in_force
for i in 1 2 3; do
	J=/urgent/000000000000a1${i}0
	check "host $i takes a job with a known key" until_true 5 posts $i $A1 $J 200
	check "host $i refuses an unknown key" posts $i $NEVER /urgent/000000000000a2${i}0 401
	check "host $i refuses a missing key" posts $i "" /urgent/000000000000a3${i}0 401
	check "host $i refuses a read without a key" gets $i "" $J 401
	check "host $i refuses a cancel with an unknown key" cancels $i $NEVER $J 401
	check "host $i refuses a count without a key" gets $i "" /urgent/ 401
	check "host $i takes a job of a public queue without a key" posts $i "" /open/000000000000a4${i}0 200
	check "host $i refuses an unknown key on a public queue" posts $i $NEVER /open/000000000000a5${i}0 401
	check "the job of host $i is completed" until_true 20 done_for $((i % 3 + 1)) $A1 $J
	check "host $i shows it to the account's other key" gets $i $A2 $J 200
	check "host $i shows it to no other account" gets $i $B1 $J 403
	check "host $i cancels it for no other account" cancels $i $B1 $J 403
	check "host $i takes its id from no other account" posts $i $B1 $J 403
	check "host $i logs the unknown key" refused_at $i unknown-key
done

# What operators search the logs for; see docs/OPERATIONS.md.
any_log() { grep -q -E "$1" "$RUN"/c*.log; }
# step_of COUNT MS GANG
step_of() {
	printf '{"spec":"%sx1000x%s","steps":[{"count":%s,"cpu":1000,"mem_mb":10,"estimate_ms":%s,"gang":%s}]}' \
	    "$1" "$2" "$1" "$2" "$3"
}
check "a gang above the account's cap gets 400" \
    test "$(status 1 $C1 POST /urgent/00000000000000c1 -d "$(step_of 2 100 true)")" = 400
check "a line names the reason and the account" \
    any_log 'event=submit_refused id=00000000000000c1 why=gang-above-cap account="?gamma'
counts_gang() { [ "$(metric 'account_refused_total{account="gamma",why="gang-above-cap"}')" -gt 0 ]; }
check "the leader counts it" until_true 10 counts_gang
check "a job of more tasks than the cap holds is taken" \
    test "$(status 2 $C1 POST /urgent/00000000000000c2 -d "$(step_of 3 2500 false)")" = 200
check "a line says that the cap holds its step back" \
    until_true 20 any_log 'event=step_waits job=00000000000000c2 .* held=account-cap'
N=0
sends_beyond_rate() {
	N=$((N + 1))
	status 3 $C1 POST "/urgent/00000000000d$(printf %04d $N)" -d "$(step_of 1 10 false)"
	any_log 'event=(submit_over_rate|submit_refused) id=00000000000d.* account="?gamma"? tokens='
}
check "a line says that a job is beyond its account's rate" until_true 20 sends_beyond_rate
check "the job that the cap held back is completed" until_true 30 done_for 1 $C1 /urgent/00000000000000c2

J=/urgent/00000000000000b0
check "a key that is in no version yet is refused" posts 1 $A3 $J 401
check "a version adds a key" configure "$(keys $A1 $A2 $A3)"
for i in 1 2 3; do
	check "host $i takes a job with the added key" until_true 10 posts $i $A3 /urgent/000000000000b1${i}0 200
done
check "a job is submitted with a key that will be removed" posts 2 $A1 $J 200
check "a version removes that key" configure "$(keys $A2 $A3)"
bound_over
for i in 1 2 3; do
	check "host $i never serves the removed key" never_served $i $A1 $J "401 503"
	check "host $i refuses it with 401" until_true 10 gets $i $A1 $J 401
	check "host $i shows the job to the account's other key" until_true 10 done_for $i $A2 $J
	check "host $i doesn't show it to another account" gets $i $B1 $J 403
done

# The store turns one host away: it is confirmed by the others only.
H=$(other)
cell_fault "store=busy&view=$((H % 3 + 1))"
check "the host that the store turns away serves the key" until_true 10 gets "$H" $A3 $J 200
check "a version removes the key" configure "$(keys $A2 $A4)"
bound_over
check "the host never serves the removed key" never_served "$H" $A3 $J "401 503"
check "it serves a key that was added meanwhile" until_true 10 gets "$H" $A4 $J 200
cell_fault "store=ok&view=$((H % 3 + 1))"

# The leader is cut off from the store and the others, and has the jobs in memory.
check "a leader is known" until_true 20 leader
H=$(leader)
O=$((H % 3 + 1))
check "the leader serves the key before it is cut off" until_true 10 gets "$H" $A4 $J 200
cell_fault "cut=$((H % 3))&runners=own"
check "a version removes the key meanwhile" configure "$(keys $A2)"
bound_over
check "the host that is cut off never serves the removed key" never_served "$H" $A4 $J 503
check "nor any other, as it can't tell" never_served "$H" $A2 $J 503
check "its log says that its configuration isn't confirmed" refused_at "$H" config-unconfirmed
check "another host serves the account's other key" until_true 20 gets $O $A2 $J 200
check "and never the removed one" never_served $O $A4 $J "401 503"
cell_fault cut=none
check "after the cut the host refuses the removed key" until_true 20 gets "$H" $A4 $J 401
check "and serves the other one" until_true 20 gets "$H" $A2 $J 200

# A leader counts from its takeover on, and the cut may change it more than once.
N=0
counts_start() {
	N=$((N + 1))
	post "$O" $A2 "/urgent/00000000000c$(printf %04d $N)"
	[ "$(metric 'account_first_start_ms_count{account="alpha"}')" -gt 0 ]
}
check "the leader's metrics count the account's first starts" until_true 20 counts_start
shows_idle() {
	[ "$(metric 'account_held_cpu{account="alpha"}')" = 0 ] &&
	    [ "$(metric 'account_steps_waiting{account="alpha"}')" = 0 ]
}
check "they show that it holds and wants nothing once its jobs are done" until_true 20 shows_idle
shows_share() {
	[ "$(metric 'account_weight{account="alpha"}')" = 100.000 ] &&
	    [ "$(metric accounts_summed)" = 0 ]
}
check "they show its share" until_true 20 shows_share
text_of() { curl -s -m 2 "http://$(cell_addr "$1"):$((PORT + 103))/metrics"; } # HOST
counts_unconfirmed() { text_of "$1" | grep -q '^celerycart_access_refused_total{why="config-unconfirmed"} [1-9]'; }
confirmed() { text_of "$1" | grep -q '^celerycart_config_confirmed_ms_ago [0-9]\{1,3\}$'; }
check "the host that was cut off counts its refusals" counts_unconfirmed "$H"
for i in 1 2 3; do check "host $i shows a confirmed configuration" until_true 10 confirmed $i; done
lists_account() {
	"$BIN/celerycartctl" --host "$(cell_addr "$(leader)"):$((PORT + 103))" --key $KEY cell accounts |
	    grep -q '^alpha  *1  *100\.0'
}
check "celerycartctl lists the account" until_true 20 lists_account

for i in 1 2 3; do kill -KILL "${DAEMON[$i]}"; done
for i in 1 2 3; do wait "${DAEMON[$i]}" 2> /dev/null; done
for i in 1 2 3; do host $i; done
check "all hosts are ready after all processes were killed" until_true 20 all_ready
for i in 1 2 3; do
	check "host $i shows the job to its account" until_true 20 done_for $i $A2 $J
	check "host $i doesn't show it to another account" gets $i $B1 $J 403
	check "host $i still refuses the removed keys" never_served $i $A1 $J "401 503"
	curl -s -m 2 "http://$(cell_addr $i):$((PORT + 103))/metrics" > "$RUN/metrics$i.log"
	curl -s -m 2 "http://$(cell_addr $i):$((PORT + 103))/cell/accounts" > "$RUN/accounts$i.log"
done
check "no key is in a log, the metrics or the view of accounts" no_key_in "$RUN"/*.log
check "no runner saw a violated guarantee" unbroken
finish
