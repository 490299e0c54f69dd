#!/usr/bin/env bash
# Runs the properties of a cell beside each other; each takes over a minute.
cd "$(dirname "$0")/../.." || exit 1
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT
KEYS="faults slow split crashes"
for k in $KEYS; do build/prop cells "$k" > "$OUT/$k" 2>&1 & done
# A history of this one takes ten times as long as those of the others.
RC_PARAMS=${RC_PARAMS:-seed=20261204 max_success=600} \
	build/prop cells zones > "$OUT/zones" 2>&1 &
KEYS="$KEYS zones"
# Twenty seconds.
RC_PARAMS=${RC_PARAMS:-seed=20261207 max_success=2000 noshrink=1} \
	build/prop cells caps > "$OUT/caps" 2>&1 &
KEYS="$KEYS caps"
for k in cuts deadly deadly-led; do
	RC_PARAMS=${RC_PARAMS:-seed=20261205 max_success=1500 noshrink=1} \
		build/prop cells "$k" > "$OUT/$k" 2>&1 &
	KEYS="$KEYS $k"
done
wait
for k in $KEYS; do grep -v ' passed, ' "$OUT/$k"; done
! grep -q '^not ok' "$OUT"/*
