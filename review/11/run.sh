#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs the same without the kill.
SCENARIO=pages
RUNNERS=6
CPU=16000
ARGS=(how=cut jobs=28 count=50 from=3000 to=4500 start_pct=97 cut_ms=3000)
. "$(dirname "$0")/../lib-3.sh"
run_case
