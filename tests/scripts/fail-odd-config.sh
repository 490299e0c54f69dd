#!/usr/bin/env bash
# A cell of three daemons, built with sanitizers, whose operator's configuration has
# queues with long texts and large numbers, and one that can't be read. Guards
# against RECOVER: one such queue took the whole configuration away, and after all
# processes had been killed no host had any.
. "$(dirname "$0")/lib.sh"
DAEMONS=${SAN_BIN:-$BIN/san}
. "$(dirname "$0")/cell.sh"
PORT=${PORT:-19100}
setup

repeat() { printf '%*s' "$2" '' | tr ' ' "$1"; }
# queue NAME HOST PREFIX SERVICE [FIELDS]
queue() {
	printf '{"name":"%s","host":"%s","prefix":"%s","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"%s","max_attempts":3,"stretch":1.5%s}' \
	    "$1" "$2" "$3" "$4" "${5:-}"
}
LONG_HOST=$(repeat h 250).example
LONG_PREFIX=/$(repeat p 190)/
LONG_NAME=$(repeat n 300)
# Alike up to their last letter
A_QUEUE=$(repeat q 100)a
B_QUEUE=$(repeat q 100)b
# configure VERSION ODD: ODD is the field and value that can't be read
configure() {
	local text
	text=$(printf '{"version":%s,"routes":[%s,%s,%s,%s,%s,%s,%s],"services":[{"name":"work","admission_check":false}],"limits":{"max_body_bytes":4294967296}}' \
	    "$1" "$(queue urgent cell.example /urgent/ work)" \
	    "$(queue far "$LONG_HOST" /far/ work)" \
	    "$(queue "$LONG_NAME" cell.example "$LONG_PREFIX" work ',"advice":null')" \
	    "$(queue "$A_QUEUE" cell.example /a/ work)" \
	    "$(queue "$B_QUEUE" cell.example /b/ work)" \
	    "$(queue large cell.example /large/ work)" \
	    "$(queue odd cell.example /odd/ work)")
	text=${text/'"prefix":"/large/","timeout_ms":3000'/'"prefix":"/large/","timeout_ms":2592000000'}
	[ -z "${2:-}" ] || text=${text/'"prefix":"/odd/","timeout_ms":3000'/"\"prefix\":\"/odd/\",$2"}
	jq -n --arg v "$(printf %s "$text" | base64 -w 0)" \
	    '{expected_rev: [], writes: [{table: "op", part: "", key: "config", value: $v}], remove: []}' |
	    curl -s -m 4 -o /dev/null -d @- "http://127.0.0.1:$PORT/v1/rows-tx"
}
# at HOST QUEUE-HOST PREFIX ID [curl options]
at() {
	local to=$1 name=$2 path=$3$4
	shift 4
	curl -s -m 4 -H "Host: $name" "$@" "http://$(cell_addr "$to"):$((PORT + 100))$path"
}
# post HOST QUEUE-HOST PREFIX ID: prints the HTTP status
post() { at "$1" "$2" "$3" "$4" -o /dev/null -w '%{http_code}' -X POST -d "$BODY"; }
takes() { [ "$(post "$@")" = 200 ]; }
refuses() { [ "$(post "$@")" = 503 ]; }
ends() { until_true 20 shows_done "$@"; }
shows_done() { at "$@" | grep -q '"state":"completed"'; }
pending() { at "$1" cell.example "$2" '' | jq -e .pending > /dev/null; }
in_force() { # VERSION: on all hosts
	local i
	for i in 1 2 3; do
		curl -s -m 1 "http://$(cell_addr "$i"):$((PORT + 103))/metrics" |
		    grep -q "^celerycart_config_version $1\$" || return 1
	done
}
names_odd() { grep -q "event=config_part_refused version=$1 name=odd field=timeout_ms" "$RUN/c$2.log"; }
all_run() {
	local i
	for i in 1 2 3; do kill -0 "${DAEMON[$i]}" 2> /dev/null || return 1; done
}
no_report() { ! grep -E -l 'runtime error|Sanitizer' "$RUN"/c*.log; }

# check_queues ROUND: all that can be read are served, at each host
check_queues() {
	local i
	for i in 1 2 3; do
		check "$1: the sound queue takes a job at host $i" takes "$i" cell.example /urgent/ "0000000000${1}0${i}a1"
		check "$1: the queue of a long host name takes one at host $i" takes "$i" "$LONG_HOST" /far/ "0000000000${1}0${i}a2"
		check "$1: the queue of a long prefix and name takes one at host $i" takes "$i" cell.example "$LONG_PREFIX" "0000000000${1}0${i}a3"
		check "$1: the queue of a long time-out takes one at host $i" takes "$i" cell.example /large/ "0000000000${1}0${i}a4"
	done
	for i in 1 2 3; do
		check "$1: the job of the sound queue is completed ($i)" ends "$i" cell.example /urgent/ "0000000000${1}0${i}a1"
		check "$1: that of the long host name is completed ($i)" ends "$i" "$LONG_HOST" /far/ "0000000000${1}0${i}a2"
		check "$1: that of the long prefix and name is completed ($i)" ends "$i" cell.example "$LONG_PREFIX" "0000000000${1}0${i}a3"
		check "$1: that of the long time-out is completed ($i)" ends "$i" cell.example /large/ "0000000000${1}0${i}a4"
	done
}

"$BIN/cellstandin" "$PORT" 6 2> "$RUN/cellstandin.log" &
PIDS+=($!)
wait_port 127.0.0.1 $((PORT + 2))
for i in 1 2 3; do cell_daemon $i; done
check "all hosts are ready" until_true 20 all_ready
configure 1001
check "a configuration of long texts and large numbers is in force" until_true 4 in_force 1001
check "a queue takes a job before a later version of it can't be read" takes 1 cell.example /odd/ 00000000000000b1
check "a job is known by its own queue" takes 2 cell.example /a/ 00000000000000b2
hidden() { [ "$(at "$1" "$2" "$3" "$4" -o /dev/null -w "%{http_code}")" != 200 ]; }
check "and not by one that is alike up to the last letter" hidden 3 cell.example /b/ 00000000000000b2
configure 1003 '"timeout_ms":-1'
check "a version with one odd queue is in force" until_true 4 in_force 1003
L=$(leader)
check "the leader's log names the queue and the field" names_odd 1003 "$L"
check "the odd queue takes no new job" refuses $((L % 3 + 1)) cell.example /odd/ 00000000000000b3
check "it still answers for its accepted job" takes 1 cell.example /odd/ 00000000000000b1
check "and its job is completed" ends 2 cell.example /odd/ 00000000000000b1
check_queues 11

for i in 1 2 3; do kill -KILL "${DAEMON[$i]}"; done
for i in 1 2 3; do wait "${DAEMON[$i]}" 2>/dev/null; done
for i in 1 2 3; do cell_daemon $i; done
check "all hosts are ready after all processes were killed" until_true 20 all_ready
check "the version with one odd queue is in force again" until_true 4 in_force 1003
check "the odd queue still takes no new job" refuses 1 cell.example /odd/ 00000000000000b4
check "and still answers for its job" ends 3 cell.example /odd/ 00000000000000b1
check_queues 22

configure 1005
check "the next version follows" until_true 4 in_force 1005
check "the queue that was odd takes jobs" until_true 4 takes 1 cell.example /odd/ 00000000000000b4
check "which are completed" ends 2 cell.example /odd/ 00000000000000b4
check "the number of waiting jobs is answered" pending 3 "$LONG_PREFIX"
check "all processes run" all_run
check "the sanitizers report nothing" no_report
check "no runner saw a violated guarantee" unbroken
finish
