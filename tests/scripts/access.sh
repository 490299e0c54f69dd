#!/usr/bin/env bash
# Requests without the key are refused; invalid input gets a 4xx that names the
# field; slow and oversized requests are cut off while others are served.
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
check "a valid proof gets 200" is 200 -H "X-Celerycart-Auth: $NONCE:$MAC" "$O/v1/status"
check "the same proof a second time gets 401" is 401 -H "X-Celerycart-Auth: $NONCE:$MAC" "$O/v1/status"
check "operator routes get 404 on the callers' port" is 404 "$(url 1 /v1/status)"

T=$(url 1 /v1/classes/cure/tasks)
check "broken JSON names body" names body -d '{' "$T"
check "a negative size names cpus" names cpus -d '{"cpus":-1,"memory_mb":1,"run_ms":1}' "$T"
check "a too large size names memory_mb" names memory_mb -d '{"cpus":1,"memory_mb":1e30,"run_ms":1}' "$T"
check "a missing field is named" names run_ms -d '{"cpus":1,"memory_mb":1}' "$T"
check "an unknown field is named" names worker -d '{"cpus":1,"memory_mb":1,"run_ms":1,"worker":"w1"}' "$T"
check "an unknown team names team" names team -d '{"cpus":1,"memory_mb":1,"run_ms":1,"team":"nowhere"}' "$T"
check "a task for a class of requests names class" names class -d '{}' "$(url 1 /v1/classes/booking/tasks)"
check "an unknown class gets 404" is 404 -d '{}' "$(url 1 /v1/classes/nosuch/tasks)"
check "an invalid idempotency key is named" names Idempotency-Key -H 'Idempotency-Key: a/b' -d '{}' \
    "$(url 1 /v1/classes/dispatch/requests)"
check "a wrong method gets 405" is 405 "$T"
check "an invalid wait names wait_ms" names wait_ms "$(url 1 '/v1/tasks/a?wait_ms=-5')"
check "an unknown task gets 404" is 404 "$(url 1 /v1/tasks/nosuch)"
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
check "oversized headers are refused" big_head
# A caller that never completes its headers is cut off; others are served.
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
check "others are served while a caller is slow" is 200 -d '{"run_ms":5}' \
    "$(url 1 /v1/classes/booking/requests)"
trap '' PIPE
check "a slow caller is cut off" slow_cut_off
trap - PIPE
# A daemon with another key isn't accepted as a peer.
settings 2 | sed 's/^key: .*/key: another-key-for-tests/' > "$RUN/e2.yaml"
"$BIN/celerycartd" -c "$RUN/e2.yaml" 2> "$RUN/e2.log" &
PIDS+=($!)
check "a daemon with another key is refused" \
    until_true 10 logged "event=peer_refused" 1
finish
