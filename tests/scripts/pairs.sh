#!/usr/bin/env bash
# Compares what explain-pairs.sh says of small logs with the expected text: for each
# hypothesis, for a pair that fits none, and for starts that are no pair. With BLESS
# set, the output first replaces the expected text.
. "$(dirname "$0")/lib.sh"
CASES=$ROOT/tests/expected/pairs
setup
explain() { "$ROOT/tests/scripts/explain-pairs.sh" "$CASES/$1" > "$RUN/$1.out"; }
same() { explain "$1" && diff "$CASES/$1/expected.out" "$RUN/$1.out"; }
# expect CASE NAME
expect() {
	[ -n "${BLESS:-}" ] && explain "$1" && cp "$RUN/$1.out" "$CASES/$1/expected.out"
	check "$2" same "$1"
}
expect lapsed-unrenewed "a lapse long after the last renewal fits 1"
expect unheard "inherited work that is free before the old leader's leases end fits 1"
expect former-leader "a start by the former leader beside the next one fits 1"
expect restarted "a restart of the first run's runner fits 2"
expect lost "a run that its only leader counts as lost fits 3"
expect lapsed-renewed "a lapse at the only leader, which is renewed, fits 3"
expect not-awaited "inherited work that is free without the first run's runner fits 4"
expect none "a pair after the whole wait for the old leader fits none"
expect unlogged "a pair whose first start has no line names the run before"
expect ordinary "a start after an end that the runner listed is left out"
finish
