#!/usr/bin/env bash
# A host is killed while tasks run: other hosts must take over its shards and
# adopt its running tasks. It restarts; then two hosts are killed at once.
PLATFORM=${PLATFORM:-18000}
. "$(dirname "$0")/lib.sh"
setup
start_cluster 4 || exit 1
load 9 60 11 1 2 3 4
sleep 2
kill -KILL "${DAEMON[2]}"
unset 'DAEMON[2]'
T0=$(date +%s%N)
until_true 10 all_owned
TAKEOVER_MS=$((($(date +%s%N) - T0) / 1000000))
daemon 2
sleep 2
kill -KILL "${DAEMON[3]}" "${DAEMON[4]}"
unset 'DAEMON[3]' 'DAEMON[4]'
until_true 10 all_owned
check "shards are owned again after two kills" all_owned
load_done
check "every request settled" all_settled
check "invariants by the stand-in's record" judge
echo "takeover_ms=$TAKEOVER_MS"
finish
