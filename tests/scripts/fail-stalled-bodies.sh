#!/usr/bin/env bash
# Bodies with Content-Length that stall just before their end take unbounded memory
# and descriptors.
. "$(dirname "$0")/load.sh"
PORT=${PORT:-19200}
load length $((PORT + 100))
