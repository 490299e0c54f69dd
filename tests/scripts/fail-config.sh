#!/usr/bin/env bash
# Two operators apply different configurations at the same time; one host is
# frozen meanwhile and one starts during an outage of the table. Of each pair
# one must win, be in force on every host, and never be replaced by an older
# version.
PLATFORM=${PLATFORM:-18000}
. "$(dirname "$0")/lib.sh"
setup
start_cluster 3 || exit 1
sed 's/share: 60%/share: 50%/' "$ROOT/examples/classes.yaml" > "$RUN/a.yaml"
sed 's/share: 60%/share: 40%/' "$ROOT/examples/classes.yaml" > "$RUN/b.yaml"
race() { HOST=$(addr "$1"):$((PLATFORM + 11)) ctl config apply "$2" \
    --seen "$3" > "$RUN/race$1" 2>&1; echo $? > "$RUN/rc$1"; }
for round in 1 2 3 4 5; do
	race 1 "$RUN/a.yaml" "$round" &
	A=$!
	race 2 "$RUN/b.yaml" "$round" &
	wait $A $!
	cat "$RUN/rc1" "$RUN/rc2" | sort -n | tr '\n' ' ' >> "$RUN/winners"
done
one_winner() { [ "$(cat "$RUN/winners")" = "0 5 0 5 0 5 0 5 0 5 " ]; }
check "each race has one winner and one conflict" one_winner
shows_difference() { grep -q '^[-+] *share: ' "$RUN/race1" "$RUN/race2"; }
check "the operator who lost is shown the difference" shows_difference
for i in 1 2 3; do
	check "version 6 is in force on host $i" until_true 15 conf_in_force $i 6
done
kill -STOP "${DAEMON[3]}"
ctl config apply "$RUN/a.yaml" > /dev/null
check "version 7 is in force with one host frozen" until_true 5 conf_in_force 2 7
fault table_down=1
kill -CONT "${DAEMON[3]}"
check "the host that was frozen gets version 7 from its peers" until_true 15 conf_in_force 3 7
daemon 4
check "a host that starts in the outage gets version 7 from its peers" \
    until_true 15 conf_in_force 4 7
kill -KILL "${DAEMON[1]}"
unset 'DAEMON[1]'
daemon 1
check "a host that was killed gets version 7 from its peers" until_true 15 conf_in_force 1 7
fault table_down=0
fault table_lose_pct=60
HOST=$(addr 2):$((PLATFORM + 11)) ctl config apply "$RUN/b.yaml" > "$RUN/lost" 2>&1
RC=$?
fault table_lose_pct=0
agrees() {
	local v want=7
	[ "$RC" -eq 0 ] && want=8
	v=$(HOST=$(addr 2):$((PLATFORM + 11)) ctl status --json | jq .config_version)
	[ "$v" -ge "$want" ]
}
check "after lost answers, the exit code agrees with the version in force" until_true 10 agrees
# Each log lists the versions put in force; they must never decrease.
never_back() {
	local h
	for h in 2 3 4; do
		grep -h event=config_in_force "$RUN/e$h.log" |
		    sed 's/.*version=\([0-9]*\).*/\1/' | sort -C -n || return 1
	done
}
check "no host put an older version in force" never_back
finish
