#!/usr/bin/env bash
# Faults of the table: answers lost after the write, then slow, then down for
# longer than every lease term, then unreachable from one host only.
PLATFORM=${PLATFORM:-18000}
. "$(dirname "$0")/lib.sh"
setup
start_cluster 3 || exit 1
load 20 50 13 1 2 3
fault table_lose_pct=20
sleep 4
fault table_lose_pct=0
fault table_slow_ms=300
sleep 3
fault table_slow_ms=0
fault table_down=1
sleep 5
fault table_down=0
sleep 3
fault table_cut="$(addr 2)"
sleep 4
fault table_cut=none
load_done
check "every request settled" all_settled
check "invariants by the stand-in's record" judge
check "all shards are owned" until_true 15 all_owned
finish
