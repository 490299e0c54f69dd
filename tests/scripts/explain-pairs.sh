#!/usr/bin/env bash
# Explains tasks with more than one start from the logs of a cell's hosts:
#   explain-pairs.sh LOGDIR [TASK]
# reads LOGDIR/c*.log. For each start after another one of the same task it prints
# who ordered both, what the second host knew of the first run, who led, and which
# hypotheses of docs/incidents/twice-zone-cuts.md the lines fit. Without TASK it
# leaves out starts after an end that the runner listed, and copies.
# Whether the first run was alive still, only the runners know: a start after a
# lapse is shown here whether or not it broke a rule.
[ -d "${1:-}" ] || { echo "usage: $0 LOGDIR [TASK]" >&2; exit 2; }
cat "$1"/c*.log | grep -a '^t=[0-9]* .* event=' | sort -s -t' ' -k1,1 |
    awk -v only="${2:-}" -f "$(dirname "$0")/explain-pairs.awk"
