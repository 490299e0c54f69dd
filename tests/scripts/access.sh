#!/usr/bin/env bash
# Who has no key is refused; bad input gets a 4xx that names the field; slow
# and oversized callers are cut off; and nothing of it disturbs the others.
PLATFORM=${PLATFORM:-18000}
EXTRA="body_max: 20000"
. "$(dirname "$0")/lib.sh"
setup
start_cluster 1 || exit 1
O=http://$(addr 1):$((PLATFORM + 11))
code() { curl -s -m 5 -o "$RUN/body" -w '%{http_code}' "$@"; }
is() { # WANT CURL-ARGUMENTS...
	local want=$1 got
	shift
	got=$(code "$@")
	[ "$got" = "$want" ] || { echo "wanted $want, got $got"; return 1; }
}
names() { # FIELD CURL-ARGUMENTS...: a 400 that names the field
	local field=$1
	shift
	is 400 "$@" && [ "$(jq -r .field "$RUN/body")" = "$field" ]
}
for p in /v1/status /v1/tasks /v1/config /metrics; do
	check "$p needs the key" is 401 "$O$p"
done
check "health needs no key" is 200 "$O/healthz"
check "drain needs the key" is 401 -X POST "$O/v1/drain"
NONCE=$(curl -s "$O/v1/challenge" | jq -r .nonce)
MAC=$(printf '%s\nGET\n/v1/status\n' "$NONCE" |
    openssl dgst -sha256 -hmac "$KEY" | sed 's/.*= //')
check "a proof is taken" is 200 -H "X-Celerycart-Auth: $NONCE:$MAC" "$O/v1/status"
check "but once only" is 401 -H "X-Celerycart-Auth: $NONCE:$MAC" "$O/v1/status"
check "operators are refused on the callers' port" is 404 "$(url 1 /v1/status)"

T=$(url 1 /v1/classes/cure/tasks)
check "broken JSON" names body -d '{' "$T"
check "negative size" names cpus -d '{"cpus":-1,"memory_mb":1,"run_ms":1}' "$T"
check "absurd size" names memory_mb -d '{"cpus":1,"memory_mb":1e30,"run_ms":1}' "$T"
check "missing field" names run_ms -d '{"cpus":1,"memory_mb":1}' "$T"
check "unknown field" names worker -d '{"cpus":1,"memory_mb":1,"run_ms":1,"worker":"w1"}' "$T"
check "unknown team" names team -d '{"cpus":1,"memory_mb":1,"run_ms":1,"team":"nowhere"}' "$T"
check "tasks to a class of requests" names class -d '{}' "$(url 1 /v1/classes/booking/tasks)"
check "unknown class" is 404 -d '{}' "$(url 1 /v1/classes/nosuch/tasks)"
check "bad key" names Idempotency-Key -H 'Idempotency-Key: a/b' -d '{}' \
    "$(url 1 /v1/classes/dispatch/requests)"
check "wrong method" is 405 "$T"
check "bad wait" names wait_ms "$(url 1 '/v1/tasks/a?wait_ms=-5')"
check "unknown request" is 404 "$(url 1 /v1/tasks/nosuch)"
head -c 30000 /dev/zero > "$RUN/big"
oversized() {
	local c
	c=$(code --data-binary "@$RUN/big" "$(url 1 /v1/classes/booking/requests)")
	[ "$c" = 413 ] || [ "$c" = 400 ] || [ "$c" = 000 ]
}
check "an oversized body is refused" oversized
big_head() {
	local c
	c=$(code -H "X-Big: $(head -c 18000 /dev/zero | tr '\0' x)" "$(url 1 /healthz)")
	[ "$c" != 200 ]
}
check "an oversized head is refused" big_head
# A caller that never finishes its head is cut off, another is served.
exec 5<> "/dev/tcp/$(addr 1)/$((PLATFORM + 10))"
printf 'POST /v1/classes/booking/requests HTTP/1.1\r\nX-Slow: ' >&5
slow_cut_off() {
	local i
	for i in $(seq 14); do
		printf 'x' >&5 2>/dev/null || return 0
		sleep 1
	done
	! timeout 2 cat <&5 > /dev/null || return 0
	return 1
}
check "others are served meanwhile" is 200 -d '{"run_ms":5}' \
    "$(url 1 /v1/classes/booking/requests)"
trap '' PIPE
check "a slow caller is cut off" slow_cut_off
trap - PIPE
# A daemon with another key is no peer.
settings 2 | sed 's/^key: .*/key: another-key-for-tests/' > "$RUN/e2.yaml"
"$BIN/celerycartd" -c "$RUN/e2.yaml" 2> "$RUN/e2.log" &
PIDS+=($!)
check "a daemon with another key is refused" \
    until_true 10 logged "event=peer_refused" 1
finish
