#!/usr/bin/env bash
# The same idempotency key is sent to three hosts at once, while one of them is
# killed; later the key is used again with another body; and many tasks are
# cancelled at once, each twice.
PLATFORM=${PLATFORM:-18000}
. "$(dirname "$0")/lib.sh"
setup
start_cluster 3 || exit 1
post() { # HOST KEY: keeps the headers and the body of the answer
	curl -s -m 40 -D "$RUN/h.$1.$2" -X POST -H "Idempotency-Key: $2" \
	    -d '{"run_ms":300,"answer_bytes":5000}' \
	    "$(url "$1" /v1/classes/dispatch/requests)" > "$RUN/b.$1.$2"
}
CURLS=()
for k in $(seq 20); do
	for h in 1 2 3; do post $h "twice-$k" & CURLS+=($!); done
	[ "$k" -eq 10 ] && kill -KILL "${DAEMON[3]}" && unset 'DAEMON[3]'
done
wait "${CURLS[@]}"
ran_twice() {
	jq -r 'select(.ev=="run").request' "$RECORD" | sort | uniq -d | grep -q .
}
no_run_twice() { ! ran_twice; }
check "no request ran twice" no_run_twice
# Each caller must get the whole answer, not-run if nothing ran, or unknown.
true_outcomes() {
	local k h o
	for k in $(seq 20); do
		for h in 1 2; do
			o=$(tr -d '\r' < "$RUN/h.$h.twice-$k" |
			    sed -n 's/^X-Outcome: //p')
			case $o in
			done) [ "$(wc -c < "$RUN/b.$h.twice-$k")" -eq \
			    $((5000 + $(printf 'answer to twice-%s\n' "$k" | wc -c))) ] || return 1 ;;
			not-run) jq -e --arg k "twice-$k" \
			    'select(.ev=="run" and .request==$k)' "$RECORD" \
			    > /dev/null && return 1 ;;
			unknown) ;;
			*) return 1 ;;
			esac
		done
	done
}
check "each caller gets the whole answer or a true outcome" true_outcomes
conflict() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' -X POST \
	    -H 'Idempotency-Key: twice-1' -d '{"run_ms":1}' \
	    "$(url 1 /v1/classes/dispatch/requests)")" = 409 ]
}
check "a used key with another body gets 409" conflict
until_true 15 all_owned
for i in $(seq 60); do
	submit 1 cure "{\"id\":\"wave-$i\",\"cpus\":4,\"memory_mb\":64,\"run_ms\":60000}" > /dev/null
done
SECONDS=0
for i in $(seq 60); do
	curl -s -m 20 -X DELETE "$(url $((i % 2 + 1)) "/v1/tasks/wave-$i")" > /dev/null &
	CURLS+=($!)
	curl -s -m 20 -X DELETE "$(url 1 "/v1/tasks/wave-$i")" > /dev/null &
	CURLS+=($!)
done
wait "${CURLS[@]}" 2>/dev/null
wave_settled() {
	local i o n
	for i in $(seq 60); do
		o=$(settled 1 "wave-$i" 5000 | jq -r .outcome)
		n=$(jq -r --arg k "wave-$i#0" \
		    'select(.ev=="start" and .key==$k).key' "$RECORD" | wc -l)
		case $o in
		done) [ "$n" -ge 1 ] || return 1 ;;
		not-run) [ "$n" -eq 0 ] || return 1 ;;
		*) echo "wave-$i: $o"; return 1 ;;
		esac
	done
}
check "the outcomes of 60 tasks cancelled twice agree with what ran" wave_settled
finish
