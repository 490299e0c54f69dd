#!/usr/bin/env bash
# The checks of fail-cell.sh with hosts so weak that they send orders for each
# other.
cd "$(dirname "$0")" || exit 1
CELL_CORES=0.005 PORT=${PORT:-18400} exec ./fail-cell.sh
