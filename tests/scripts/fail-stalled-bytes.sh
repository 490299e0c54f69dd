#!/usr/bin/env bash
# Bodies chunked in pieces of one byte take memory by the number of their pieces, many
# times their size.
. "$(dirname "$0")/load.sh"
PORT=${PORT:-19440}
load bytes $((PORT + 100))
