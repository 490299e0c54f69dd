#!/usr/bin/env bash
# A demonstration: starts stand-ins and three daemons, submits work of every
# class, and runs the checker. Exits with 0 only if all work was settled and no
# invariant broken.
. "$(dirname "$0")/lib.sh"
PLATFORM=${DEMO_PORT:-17000}
setup
echo "== stand-ins and three daemons on loopback"
start_cluster 3 || exit 1
echo "== a gang of four cures through host 2, by the command"
CALLER=$(addr 2):$((PLATFORM + 10)) ctl submit cure --id demo-gang \
    --cpus 2 --memory-mb 1024 --count 4 --run 700ms
echo "== a task that fits nowhere"
CALLER=$(addr 3):$((PLATFORM + 10)) ctl submit callout --id demo-huge \
    --cpus 999 --memory-mb 10 --run 1s
ctl get demo-gang --wait 5s
ctl get demo-huge --wait 5s
echo "== bookings, dispatches, callouts and cures through the balancer"
"$BIN/caller" --target "$(addr 1):$((PLATFORM + 10))" \
    --target "$(addr 2):$((PLATFORM + 10))" \
    --target "$(addr 3):$((PLATFORM + 10))" --rate 60 --seconds 4 --seed 1 \
    --mix booking:request:4:20:1:1:0:2000 \
    --mix dispatch:request:2:30:1:1:0:100 \
    --mix callout:task:2:200:1:1:10 --mix cure:task:2:400:2:1:0 \
    --mix cure:task:1:300:2:3:0 --prefix demo --out "$RUN/outcomes.jsonl"
settled_all=$?
echo "== by class"
ctl classes
ctl histogram callout
ctl cost --by class
echo "== the checker, by the stand-in's own record"
"$BIN/checker" "$RECORD" "$RUN/outcomes.jsonl" once=dispatch once=callout \
    cpus="$CPUS" memory="$MEMORY"
held=$?
for i in 1 2 3; do kill -TERM "${DAEMON[$i]}"; done
for i in 1 2 3; do wait "${DAEMON[$i]}"; done
[ $settled_all -eq 0 ] && [ $held -eq 0 ] && echo "demo: all settled, nothing broken"
