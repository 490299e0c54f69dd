/* A new leader reads jobs, their progress and the runners from the store. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "parts.h"

#define PAGE_ROWS 500

struct load {
	struct cell *cell;
	uint64_t fence;
	char from[128];
};

static void load_page(struct load *l);

static void
load_job(struct cell *c, const char *id, const struct row *row)
{
	Cc__JobRow *jr = cc__job_row__unpack(NULL, row->len, row->value);
	struct job *j;
	const char *why;

	if (jr == NULL || job_check(jr, &why) != CC_OK) {
		kvlog(KVLOG_ERROR, "row_unreadable", "key=%s", row->key);
		if (jr != NULL)
			cc__job_row__free_unpacked(jr, NULL);
		return;
	}
	j = job_new(id, jr);
	j->stored = true;
	j->inherited = true;
	j->accepted_ms =
	    c->ports.now() - (c->ports.wall_now() - jr->accepted_wall_ms);
	if (j->accepted_ms > c->ports.now())
		j->accepted_ms = c->ports.now();
	HASH_ADD_STR(c->loading, id, j);
}

/* Of a job that has ended only its outcome is kept. */
static struct job *
ended_job(struct cell *c, const char *id, const Cc__JobProgress *p)
{
	Cc__JobRow *jr = xcalloc(1, sizeof(*jr));
	struct job *j;

	cc__job_row__init(jr);
	jr->queue = xstrdup(p->queue);
	jr->spec = xstrdup("");
	j = job_new(id, jr);
	j->stored = true;
	j->inherited = true;
	HASH_ADD_STR(c->loading, id, j);
	return j;
}

static void
load_progress(struct cell *c, const char *name, const struct row *row)
{
	Cc__JobProgress *p =
	    cc__job_progress__unpack(NULL, row->len, row->value);
	const char *slash = strchr(name, '/');
	char id[JOB_ID_LEN];
	uint32_t part;
	struct job *j;

	if (p == NULL) {
		kvlog(KVLOG_ERROR, "row_unreadable", "key=%s", row->key);
		return;
	}
	part = slash != NULL ? (uint32_t)strtoul(slash + 1, NULL, 10) : 0;
	str_copy(id, name,
	    slash != NULL && (size_t)(slash - name) < sizeof(id)
		? (size_t)(slash - name) + 1
		: sizeof(id));
	HASH_FIND_STR(c->loading, id, j);
	if (j == NULL && p->state >= JOB_COMPLETED)
		j = ended_job(c, id, p);
	if (j == NULL) {
		kvlog(KVLOG_ERROR, "row_without_job", "key=%s", row->key);
	} else {
		job_load_progress(j, p, part);
		if (job_ended(j))
			j->ended_ms = c->ports.now();
	}
	job_progress_free(p);
}

/* A run that a closed runner may hold keeps its task from a new start. */
static void
bind_ref(struct cell *c, struct runner *r, const Cc__RunRef *ref)
{
	struct task_ref name;
	struct job *j = NULL;
	struct task *t = NULL;
	struct run *run;

	if (task_ref_parse(&name, ref->task))
		HASH_FIND_STR(c->loading, name.id, j);
	if (j != NULL && !job_ended(j))
		t = job_task(j, &name);
	if (t == NULL || t->done || t->run != NULL)
		return;
	run = run_new(r, t, ref->task, ref->run);
	run->state = RUN_RUNNING;
	run->ordered_ms = run->confirmed_ms = c->ports.now();
	t->run = run;
	t->step->nheld++;
	if (ref->run > t->last_run)
		t->last_run = ref->run;
	j->started |= ref->begun;
}

static void
load_runner(struct cell *c, const Cc__RunnerRow *row)
{
	struct runner_info info = {.remaining_ms = -1};
	struct runner *r;
	size_t i;

	str_copy(info.id, row->id, sizeof(info.id));
	str_copy(info.addr, row->addr, sizeof(info.addr));
	info.port = (uint16_t)row->port;
	r = runner_new(&info);
	r->closed = r->known = row->closed;
	r->recorded = !row->closed;
	r->fence = c->fence;
	r->missing_ms = r->order_sent_ms = c->ports.now();
	HASH_ADD_STR(c->runners, info.id, r);
	c->runners_version++;
	cell_attend(c, r);
	for (i = 0; i < row->n_runs; i++)
		bind_ref(c, r, row->runs[i]);
}

static void
load_runners(struct cell *c, const struct row *row)
{
	Cc__RunnersRow *list =
	    cc__runners_row__unpack(NULL, row->len, row->value);
	size_t i;

	if (list == NULL) {
		kvlog(KVLOG_ERROR, "row_unreadable", "key=%s", row->key);
		return;
	}
	for (i = 0; i < list->n_runners; i++)
		load_runner(c, list->runners[i]);
	cc__runners_row__free_unpacked(list, NULL);
}

static void
load_row(struct cell *c, const struct row *row)
{
	if (strncmp(row->key, JOB_PREFIX, strlen(JOB_PREFIX)) == 0)
		load_job(c, row->key + strlen(JOB_PREFIX), row);
	else if (strncmp(row->key, PROGRESS_PREFIX, strlen(PROGRESS_PREFIX)) ==
	    0)
		load_progress(c, row->key + strlen(PROGRESS_PREFIX), row);
	else if (strncmp(row->key, RUNNERS_PREFIX, strlen(RUNNERS_PREFIX)) == 0)
		load_runners(c, row);
	else if (strncmp(row->key, COMMIT_KEY, strlen(COMMIT_KEY)) == 0)
		cell_chain_row(c, row);
}

static void
loaded(struct cell *c)
{
	struct job *j, *tmp;

	HASH_ITER(hh, c->loading, j, tmp)
	{
		HASH_DEL(c->loading, j);
		cell_add_job(c, j);
	}
	c->phase = CELL_SERVING;
	c->committed_ms = c->ports.now();
	kvlog(KVLOG_INFO, "leading",
	    "fence=%llu generation=%u jobs=%u runners=%u load_ms=%lld",
	    (unsigned long long)c->fence, c->generation, HASH_COUNT(c->jobs),
	    HASH_COUNT(c->runners), (long long)(c->ports.now() - c->led_ms));
	cell_check_blind(c);
	c->ports.wake(c->ports.arg);
}

static void
on_page(const struct store_result *r, void *arg)
{
	struct load *l = arg;
	struct cell *c = l->cell;
	int i;

	if (c->phase != CELL_LOADING || c->fence != l->fence) {
		free(l);
		return;
	}
	if (r->err != CC_OK) {
		kvlog(KVLOG_WARN, "load_retry", "why=%s", cc_strerror(r->err));
		c->load_stalled = l;
		return;
	}
	for (i = 0; i < r->nrows; i++)
		load_row(c, &r->rows[i]);
	if (r->has_more && r->nrows > 0) {
		snprintf(
		    l->from, sizeof(l->from), "%s!", r->rows[r->nrows - 1].key);
		load_page(l);
		return;
	}
	free(l);
	loaded(c);
}

static void
load_page(struct load *l)
{
	struct store *s = l->cell->ports.store;

	s->ops->list(s, CELL_TABLE, CELL_PART, l->from, PAGE_ROWS, on_page, l);
}

void
cell_load(struct cell *c)
{
	struct load *l = xcalloc(1, sizeof(*l));

	l->cell = c;
	l->fence = c->fence;
	load_page(l);
}

void
cell_load_retry(struct cell *c)
{
	struct load *l = c->load_stalled;

	c->load_stalled = NULL;
	if (l == NULL)
		return;
	if (c->phase == CELL_LOADING && c->fence == l->fence)
		load_page(l);
	else
		free(l);
}
