#!/usr/bin/env bash
# Some runners are emptied, leave, and start again under their ids. Exits with 1
# if work that needs one of them is never run (LOST).
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
ID=00000000000000e1
BODY='{"spec":"1000","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":1000,"requires":"b"}]}'
SOME="0 16 32" # the runners of kind "b"

start_all 48 16000
sleep 2
if [ "$TROUBLE" != 0 ]; then
	for r in $SOME; do control "/drain?runner=$r" || give_up "no control"; done
	sleep 3 # drain_ms and a little
	for r in $SOME; do control "/leave?runner=$r"; done
	sleep 1
	for r in $SOME; do control "/boot?runner=$r"; done
fi
sleep 5
submit 1 batch $ID "$BODY" || give_up "the submission was not accepted"
accepted=$(now)
sleep 18.5 # finish_s, the 3 s of the rule, and a little
note "state: $(state 1 batch $ID)"

# Three runners of 16 cores have the label; 4 cores are asked for.
awk -v id=$ID -v from="$((accepted + 14000))" -v last="$(now)" '
	index($4, id ".") != 1 { next }
	$2 == "start" { n++ }
	$2 == "end" { n--; if ($6 == "done") done[$4] = 1 }
	END {
		for (t in done) k++
		waited = k < 4 && !n ? last - from : 0
		printf "%d of 4 tasks ended done; nothing ran for %d ms from finish_s on\n", k, waited
		exit waited > 3000
	}' "$RECORD" > "$RUN/verdict"
broken=$?
cat "$RUN/verdict"
cat "$RUN/verdict" >> "$RECORD"
exit "$broken"
