#!/usr/bin/env bash
# A host is frozen for longer than every lease term, and then continues.
PLATFORM=${PLATFORM:-18000}
. "$(dirname "$0")/lib.sh"
setup
start_cluster 3 || exit 1
load 10 60 12 1 2 3
sleep 2
kill -STOP "${DAEMON[2]}"
sleep 6
kill -CONT "${DAEMON[2]}"
until_true 10 logged event=lease_lost 2
check "the frozen host noticed that its lease was lost" logged event=lease_lost 2
load_done
check "every request settled" all_settled
check "invariants by the stand-in's record" judge
check "all shards are owned" until_true 10 all_owned
finish
