# Reads log lines in the order of time; see explain-pairs.sh.

# Longest age of a renewal at a leader that the store serves, ms.
BEGIN { RENEWED_MAX_MS = 300 }
# A next leader's wait for runners that it doesn't hear, ms.
BEGIN { WAIT_MS = 7100 }
# Run numbers of a generation begin at the generation times this.
BEGIN { RUNS_PER_GENERATION = 1024 }

{
	delete f
	for (i = 1; i <= NF; i++) {
		at = index($i, "=")
		if (at == 0)
			continue
		name = substr($i, 1, at - 1)
		f[name] = substr($i, at + 1)
		if (name ~ /^(t|run|prev_run|generation|unheard_runners|.*_ms|.*_ms_ago)$/)
			f[name] += 0 # compared as a number
	}
	t = f["t"]
	h = f["host"]
	e = f["event"]
	r = f["runner"]
}

# Leaderships: of each host a list of begins and ends.
e == "claimed" {
	n = ++nleads[h]
	lead_from[h, n] = t
	lead_fence[h, n] = f["fence"]
	lead_generation[h, n] = f["generation"]
	hosts[h] = 1
}
e == "deposed" && nleads[h] > 0 && !((h, nleads[h]) in lead_to) {
	lead_to[h, nleads[h]] = t
	lead_end[h, nleads[h]] = "deposed why=" f["why"]
}
e == "resigned" && nleads[h] > 0 && !((h, nleads[h]) in lead_to) {
	lead_to[h, nleads[h]] = t
	lead_end[h, nleads[h]] = "resigned"
}
e == "lead_unrenewed" {
	n = ++nunrenewed[h]
	unrenewed_at[h, n] = t
	unrenewed_ms[h, n] = f["renewed_ms_ago"]
}
e == "inherited_work_free" {
	free_at[h, f["fence"]] = t
	free_after[h, f["fence"]] = f["after_ms"]
	free_unheard[h, f["fence"]] = f["unheard_runners"]
}

# Runners: what each host knew of them.
e == "runner_adopted" { adopted_at[h, f["fence"], r] = t }
e == "runner_unheard" { unheard_at[h, r] = t }
e == "runner_adopted" && f["born_ms"] > 0 {
	if (r in born && born[r] != f["born_ms"])
		note_restart(r, t, h " runner_adopted born_ms=" f["born_ms"])
	born[r] = f["born_ms"]
}
e == "runner_restarted" { note_restart(r, t, h " runner_restarted") }

# Runs.
e == "placed" {
	k = f["task"]
	if (!(k in nstarts))
		tasks[++ntasks] = k
	n = ++nstarts[k]
	start_t[k, n] = t
	start_host[k, n] = h
	start_run[k, n] = f["run"]
	start_runner[k, n] = r
	start_fence[k, n] = f["fence"]
	start_generation[k, n] = f["generation"]
	start_renewed[k, n] = f["renewed_ms_ago"]
	start_inherited[k, n] = f["inherited"]
	start_copy[k, n] = f["copy"]
	prev_run[k, n] = f["prev_run"]
	prev_how[k, n] = f["prev_how"]
	prev_by[k, n] = f["prev_by"]
	prev_ago[k, n] = f["prev_ms_ago"]
}
e ~ /^(run_ended|run_ended_before|run_adopted|run_inherited|run_superseded|start_answered|start_without_run|stop|task_crashed_runner)$/ {
	k = f["task"] SUBSEP f["run"]
	n = ++nknown[k]
	known_t[k, n] = t
	known_host[k, n] = h
	known_text[k, n] = e
	for (i = 1; i <= NF; i++)
		if ($i !~ /^(t|level|host|event|task|run)=/)
			known_text[k, n] = known_text[k, n] " " $i
	if (e == "run_ended" && f["by"] == "list" && f["how"] != "done" &&
	    !(k in listed_at))
		listed_at[k] = t
	if (e == "run_ended") {
		end_at[k, h] = t
		end_how[k, h] = f["how"]
		end_by[k, h] = f["by"]
		end_renewed[k, h] = f["renewed_ms_ago"]
		end_lease_left[k, h] = f["lease_left_ms"]
	}
	if (r != "")
		run_runner[k] = r
}

function note_restart(r, t, text,   n)
{
	n = ++nrestarts[r]
	restart_at[r, n] = t
	restart_text[r, n] = text
}

# The host's leadership at time t; 0: none.
function leadership(h, t,   n)
{
	for (n = nleads[h]; n > 0; n--)
		if (lead_from[h, n] <= t)
			return ((h, n) in lead_to) && lead_to[h, n] <= t ? 0 : n
	return 0
}

function seconds(ms) { return sprintf("%+.3f", ms / 1000) }

function gap(k, n) { return start_t[k, n] - start_t[k, n - 1] }

# Restart of the first run's runner between both starts; 0: none.
function restart_between(k, n,   r, i)
{
	r = start_runner[k, n - 1]
	for (i = 1; i <= nrestarts[r]; i++)
		if (restart_at[r, i] >= start_t[k, n - 1] &&
		    restart_at[r, i] <= start_t[k, n])
			return i
	return 0
}

function other_leads(h, t,   o)
{
	for (o in hosts)
		if (o != h && leadership(o, t))
			return 1
	return 0
}

# Whether the second host ended the first run itself, as lapsed or lost.
function ended_itself(k, n,   a, h)
{
	a = k SUBSEP start_run[k, n - 1]
	h = start_host[k, n]
	return (a, h) in end_how && end_at[a, h] <= start_t[k, n] &&
	    end_by[a, h] != "list" && end_by[a, h] != "stop-accepted"
}

# Whether the host ended the run as lapsed when it didn't know that it led still,
# and the lease wasn't over as of the last renewal.
function lapsed_unrenewed(a, h, t)
{
	return (a, h) in end_how && end_at[a, h] <= t &&
	    end_how[a, h] == "lapsed" && end_by[a, h] != "list" &&
	    end_renewed[a, h] > RENEWED_MAX_MS &&
	    (end_by[a, h] != "lease-clock" ||
	    end_lease_left[a, h] + end_renewed[a, h] > 0)
}

function fits_1(k, n,   a, h, first)
{
	a = k SUBSEP start_run[k, n - 1]
	h = start_host[k, n]
	first = start_host[k, n - 1]
	if (lapsed_unrenewed(a, h, start_t[k, n]))
		return "1: " h " ended run " start_run[k, n - 1] " as lapsed " \
		    end_renewed[a, h] " ms after its last renewal"
	if (start_generation[k, n] < start_generation[k, n - 1] &&
	    start_renewed[k, n] > RENEWED_MAX_MS)
		return "1: " h " ordered " start_renewed[k, n] \
		    " ms after its last renewal, " first " before it by a later claim"
	if (start_generation[k, n] > start_generation[k, n - 1] &&
	    free_unheard[h, start_fence[k, n]] > 0 &&
	    free_after[h, start_fence[k, n]] < WAIT_MS &&
	    (h, start_runner[k, n - 1]) in unheard_at &&
	    leadership(first, free_at[h, start_fence[k, n]]))
		return "1: " h " didn't hear " start_runner[k, n - 1] \
		    ", where " first " led; inherited work was free after " \
		    free_after[h, start_fence[k, n]] " ms"
	return ""
}

function fits_2(k, n,   i, r)
{
	i = restart_between(k, n)
	r = start_runner[k, n - 1]
	return i ? "2: " r " was restarted between both starts (" \
	    restart_text[r, i] " at " \
	    seconds(restart_at[r, i] - start_t[k, n - 1]) ")" : ""
}

function fits_3(k, n,   a, h)
{
	a = k SUBSEP start_run[k, n - 1]
	h = start_host[k, n]
	if (start_host[k, n - 1] != h ||
	    start_fence[k, n - 1] != start_fence[k, n] ||
	    !ended_itself(k, n) || other_leads(h, start_t[k, n]))
		return ""
	if (lapsed_unrenewed(a, h, start_t[k, n]))
		return ""
	if (end_by[a, h] == "restarted")
		return ""
	return "3: " h " alone led and ended run " start_run[k, n - 1] " as " \
	    end_how[a, h] " by " end_by[a, h]
}

function fits_4(k, n,   h, c, r)
{
	h = start_host[k, n]
	c = start_fence[k, n]
	r = start_runner[k, n - 1]
	if (start_generation[k, n] <= start_generation[k, n - 1] ||
	    !((h, c) in free_at) || free_at[h, c] > start_t[k, n] ||
	    free_unheard[h, c] > 0 || free_after[h, c] >= WAIT_MS)
		return ""
	if ((h, c, r) in adopted_at && adopted_at[h, c, r] <= free_at[h, c])
		return ""
	return "4: inherited work of " h " was free after " free_after[h, c] \
	    " ms, with no unheard runner and without " r
}

function print_start(k, n,   text)
{
	text = "  start run=" start_run[k, n] " by " start_host[k, n] " at " \
	    seconds(start_t[k, n] - start_t[k, 1]) " on " start_runner[k, n] \
	    " fence=" start_fence[k, n] " generation=" start_generation[k, n] \
	    " renewed_ms_ago=" start_renewed[k, n] " inherited=" \
	    start_inherited[k, n] " copy=" start_copy[k, n] " prev_run=" \
	    prev_run[k, n] " prev_how=" prev_how[k, n] " prev_by=" \
	    prev_by[k, n] " prev_ms_ago=" prev_ago[k, n]
	print text
}

# What the hosts logged of the first run; of the second host also if nothing.
function print_known(k, n,   a, i, h, seen)
{
	a = k SUBSEP start_run[k, n - 1]
	h = start_host[k, n]
	for (i = 1; i <= nknown[a]; i++) {
		seen += known_host[a, i] == h && known_t[a, i] <= start_t[k, n]
		print "  run " start_run[k, n - 1] " at " known_host[a, i] " " \
		    seconds(known_t[a, i] - start_t[k, 1]) " " known_text[a, i]
	}
	if (!seen)
		print "  run " start_run[k, n - 1] " at " h ": nothing before " \
		    "the next start"
}

function unrenewed(h, t,   n)
{
	for (n = nunrenewed[h]; n > 0; n--)
		if (unrenewed_at[h, n] <= t)
			return t - unrenewed_at[h, n] < 1100 ? \
			    " lead_unrenewed=" unrenewed_ms[h, n] : ""
	return ""
}

# The last leadership that began before the second start, of both hosts and of
# all that lead then.
function print_leaders(k, n,   names, m, i, h, c, text)
{
	m = sorted_hosts(names)
	for (i = 1; i <= m; i++) {
		h = names[i]
		for (c = nleads[h]; c > 0 && lead_from[h, c] > start_t[k, n]; )
			c--
		if (c == 0 || !(leadership(h, start_t[k, n]) ||
		    h == start_host[k, n] || h == start_host[k, n - 1]))
			continue
		text = "  leader " h " fence=" lead_fence[h, c] " generation=" \
		    lead_generation[h, c] " claimed " \
		    seconds(lead_from[h, c] - start_t[k, 1])
		if ((h, c) in lead_to)
			text = text ", " lead_end[h, c] " " \
			    seconds(lead_to[h, c] - start_t[k, 1])
		print text unrenewed(h, start_t[k, n])
	}
}

function sorted_hosts(names,   h, m, i, x)
{
	for (h in hosts)
		names[++m] = h
	for (i = 2; i <= m; i++)
		for (x = i; x > 1 && names[x - 1] > names[x]; x--) {
			h = names[x]
			names[x] = names[x - 1]
			names[x - 1] = h
		}
	return m
}

function explain(k, n,   i, text, fits)
{
	print_start(k, n - 1)
	print_start(k, n)
	print_known(k, n)
	print_leaders(k, n)
	text[1] = fits_1(k, n)
	text[2] = fits_2(k, n)
	text[3] = fits_3(k, n)
	text[4] = fits_4(k, n)
	for (i = 1; i <= 4; i++)
		if (text[i] != "") {
			fits++
			count[i]++
			print "  fits " text[i]
		}
	if (!fits) {
		count["none"]++
		print "  fits none"
	}
}

# Starts that need no explanation: a runner has listed the end of the run before,
# to this host or another, or the start is a copy.
function is_ordinary(k, n,   a)
{
	a = k SUBSEP start_run[k, n - 1]
	return start_copy[k, n] == 1 ||
	    (a in listed_at && listed_at[a] <= start_t[k, n]) ||
	    (prev_run[k, n] == start_run[k, n - 1] &&
	    (prev_by[k, n] == "list" || prev_by[k, n] == "stop-accepted"))
}

# The start of a run that a later start names, if no line of it was kept.
function add_unlogged_start(k,   a)
{
	a = k SUBSEP prev_run[k, 1]
	start_t[k, 0] = start_t[k, 1]
	start_host[k, 0] = "unknown"
	start_run[k, 0] = prev_run[k, 1]
	start_runner[k, 0] = a in run_runner ? run_runner[a] : "unknown"
	start_generation[k, 0] = int((prev_run[k, 1] - 1) / RUNS_PER_GENERATION)
}

END {
	for (i = 1; i <= ntasks; i++) {
		k = tasks[i]
		if (only != "" && k != only)
			continue
		if (prev_run[k, 1] > 0)
			add_unlogged_start(k)
		shown = 0
		for (n = prev_run[k, 1] > 0 ? 1 : 2; n <= nstarts[k]; n++) {
			if (only == "" && is_ordinary(k, n)) {
				ordinary++
				continue
			}
			if (!shown++)
				print "task " k
			explain(k, n)
		}
	}
	printf "pairs by hypothesis: 1: %d, 2: %d, 3: %d, 4: %d, none: %d; " \
	    "left out: %d\n", count[1], count[2], count[3], count[4], \
	    count["none"], ordinary
}
