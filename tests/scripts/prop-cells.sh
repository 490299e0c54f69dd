#!/usr/bin/env bash
# Runs the properties of a cell beside each other; each takes over a minute.
cd "$(dirname "$0")/../.." || exit 1
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT
KEYS="faults slow split crashes"
for k in $KEYS; do build/prop cells "$k" > "$OUT/$k" 2>&1 & done
wait
for k in $KEYS; do grep -v ' passed, ' "$OUT/$k"; done
! grep -q '^not ok' "$OUT"/*
