#!/usr/bin/env bash
# Workers: one fails everything it starts, one goes silent on its open
# connections, one restarts and forgets its tasks, one dies for good.
PLATFORM=${PLATFORM:-18000}
WORKERS=12
CPUS=4
. "$(dirname "$0")/lib.sh"
setup
start_cluster 3 || exit 1
load 9 50 14 1 2 3
fault worker_fail=w0
sleep 2
fault worker_silent=w1
sleep 1
fault worker_restart=w2
sleep 1
fault worker_dead=w3
sleep 2
fault worker_silent=w4
load_done
until_true 20 logged "event=worker_lost worker=w3" 1 2 3
check "every request settled" all_settled
check "invariants by the stand-in's record" judge
check "the failing worker was put in quarantine" \
    logged "event=quarantine worker=w0" 1 2 3
check "the dead worker was noticed" logged "event=worker_lost worker=w3" 1 2 3
finish
