#!/usr/bin/env bash
# Pipelined readiness requests whose responses aren't read take unbounded memory.
. "$(dirname "$0")/load.sh"
PORT=${PORT:-19560}
load pipeline $((PORT + 101))
