#!/usr/bin/env bash
# A gang that fills a rack is handed in after each rack has lost a runner. Exits
# with 1 if it never starts, with room for it several times over (LOST).
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
ID=00000000000000b1
BODY='{"spec":"3000/16","steps":[{"count":16,"cpu":1000,"mem_mb":30000,"estimate_ms":3000,"gang":true,"same_rack":true}]}'

start_all 48 16000
sleep 1
if [ "$TROUBLE" != 0 ]; then
	for r in 0 8 16 24 32 40; do
		control "/kill?runner=$r" || give_up "no control"
	done
fi
sleep 8 # their entries expire after 4.5 s
submit 1 batch $ID "$BODY" || give_up "the submission was not accepted"
accepted=$(now)
sleep 17 # 3 s more than finish_s
note "state: $(state 1 batch $ID)"

# 42 runners are left, each with room for 2 tasks: 84, where 16 are asked for.
awk -v id=$ID -v from="$accepted" -v last="$(now)" '
	index($4, id ".") != 1 { next }
	$2 == "start" && !first { first = $1 }
	$2 == "end" && $6 == "done" { done[$4] = 1 }
	END {
		for (t in done) n++
		waited = (first ? first : last) - from
		printf "%d of 16 tasks ended done; nothing ran for %d ms\n", n, waited
		exit waited > 3000
	}' "$RECORD" > "$RUN/verdict"
broken=$?
cat "$RUN/verdict"
cat "$RUN/verdict" >> "$RECORD"
exit "$broken"
