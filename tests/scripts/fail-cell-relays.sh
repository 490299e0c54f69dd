#!/usr/bin/env bash
# Runs fail-cell.sh with so few cores per host that the leader sends its orders
# through relays.
cd "$(dirname "$0")" || exit 1
CELL_CORES=0.005 PORT=${PORT:-18400} exec ./fail-cell.sh
