#!/usr/bin/env bash
# Bodies chunked in 32 KB pieces that stall just before their end take unbounded
# memory and descriptors.
. "$(dirname "$0")/load.sh"
PORT=${PORT:-19320}
load chunks $((PORT + 100))
