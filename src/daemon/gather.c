#include "gather.h"

#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "home_ops.h"
#include "task_view.h"

#define CALL_TIMEOUT_MS 4000
#define HOUR_MS 3600000.0
#define MB_PER_GIB 1024.0

struct gather {
	struct node *node;
	int pending; /**< replies to come, the own list included */
	json_t *rows;
	json_t *missing;
	const char *name; /**< JSON field of the rows in the result */
	void (*add_rows)(struct gather *g, const Cc__HomeReply *r);
	gather_fn fn;
	void *arg;
};

/** A call to another host. */
struct gather_call {
	struct gather *gather;
	char host[64];
};

static void
reply_done(struct gather *g)
{
	json_t *result;

	if (--g->pending > 0)
		return;
	result = json_pack("{s:o,s:o,s:I}", g->name, g->rows, "missing",
	    g->missing, "control_cpu_ms", (json_int_t)(clock_cpu_us() / 1000));
	g->fn(result, g->arg);
	free(g);
}

static void
add_tasks(struct gather *g, const Cc__HomeReply *r)
{
	size_t i;

	for (i = 0; i < r->n_tasks; i++)
		json_array_append_new(g->rows, task_view_json(r->tasks[i]));
}

/* Finds the row of a day, class and team, or adds it. */
static json_t *
get_cost_row(json_t *rows, const Cc__RecCost *c)
{
	json_t *row;
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		row = json_array_get(rows, i);
		if (json_integer_value(json_object_get(row, "day")) == c->day &&
		    strcmp(json_string_value(json_object_get(row, "class")),
			c->class_name) == 0 &&
		    strcmp(json_string_value(json_object_get(row, "team")),
			c->team) == 0)
			return row;
	}
	row = json_pack("{s:I,s:s,s:s,s:I,s:f,s:f,s:f,s:f}", "day",
	    (json_int_t)c->day, "class", c->class_name, "team", c->team,
	    "tasks", (json_int_t)0, "cpu_hours", 0.0, "gib_hours", 0.0,
	    "accelerator_hours", 0.0, "money", 0.0);
	json_array_append_new(rows, row);
	return row;
}

static void
add_real(json_t *row, const char *name, double v)
{
	json_object_set_new(row, name,
	    json_real(json_real_value(json_object_get(row, name)) + v));
}

static void
add_costs(struct gather *g, const Cc__HomeReply *r)
{
	const struct class_conf *cl;
	const Cc__RecCost *c;
	double cpu, gib, acc, money;
	json_t *row;
	size_t i;

	for (i = 0; i < r->n_costs; i++) {
		c = r->costs[i];
		row = get_cost_row(g->rows, c);
		cpu = (double)c->cpu_ms / HOUR_MS;
		gib = (double)c->memory_mb_ms / MB_PER_GIB / HOUR_MS;
		acc = (double)c->accelerator_ms / HOUR_MS;
		cl = classes_find(&g->node->conf.classes, c->class_name);
		money = cl == NULL
		    ? 0.0
		    : cpu * cl->price_cpu_hour + gib * cl->price_gib_hour +
			acc * cl->price_accelerator_hour +
			(double)c->tasks * cl->price_request;
		json_object_set_new(row, "tasks",
		    json_integer(
			json_integer_value(json_object_get(row, "tasks")) +
			(json_int_t)c->tasks));
		add_real(row, "cpu_hours", cpu);
		add_real(row, "gib_hours", gib);
		add_real(row, "accelerator_hours", acc);
		add_real(row, "money", money);
	}
}

static void
on_local_list(const Cc__HomeReply *r, void *arg)
{
	struct gather *g = arg;

	g->add_rows(g, r);
	reply_done(g);
}

static void
on_peer_reply(int err, const Cc__Frame *f, void *arg)
{
	struct gather_call *c = arg;
	struct gather *g = c->gather;

	if (err == CC_OK && f->body_case == CC__FRAME__BODY_HOME_REPLY)
		g->add_rows(g, f->home_reply);
	else
		json_array_append_new(g->missing, json_string(c->host));
	free(c);
	reply_done(g);
}

static struct gather *
gather_new(struct node *n, const char *name,
    void (*add_rows)(struct gather *, const Cc__HomeReply *), gather_fn fn,
    void *arg)
{
	struct gather *g = xcalloc(1, sizeof(*g));

	g->node = n;
	g->name = name;
	g->add_rows = add_rows;
	g->rows = json_array();
	g->missing = json_array();
	g->fn = fn;
	g->arg = arg;
	g->pending = 1;
	return g;
}

/* Calls the live hosts only: the shards of the others have no owner now. */
static void
call_peers(struct gather *g, Cc__Frame *f)
{
	struct node *n = g->node;
	const struct peer_host *h;
	struct gather_call *c;
	int i;

	for (i = 0; i < n->nhosts; i++) {
		h = &n->hosts[i];
		if (!h->present || h->expired ||
		    strcmp(h->name, n->settings->host) == 0)
			continue;
		c = xcalloc(1, sizeof(*c));
		c->gather = g;
		str_copy(c->host, h->name, sizeof(c->host));
		g->pending++;
		peer_call(
		    n->peers, h->name, f, CALL_TIMEOUT_MS, on_peer_reply, c);
	}
}

void
gather_tasks(struct node *n, const char *class_name, const char *state,
    gather_fn fn, void *arg)
{
	struct gather *g = gather_new(n, "tasks", add_tasks, fn, arg);
	Cc__Frame f = CC__FRAME__INIT;
	Cc__ListTasks m = CC__LIST_TASKS__INIT;

	m.class_name = (char *)class_name;
	m.state = (char *)state;
	f.body_case = CC__FRAME__BODY_LIST_TASKS;
	f.list_tasks = &m;
	call_peers(g, &f);
	home_list(n, class_name, state, on_local_list, g);
}

void
gather_costs(
    struct node *n, int64_t from_day, int64_t to_day, gather_fn fn, void *arg)
{
	struct gather *g = gather_new(n, "costs", add_costs, fn, arg);
	Cc__Frame f = CC__FRAME__INIT;
	Cc__CostGet m = CC__COST_GET__INIT;

	m.from_day = from_day;
	m.to_day = to_day;
	f.body_case = CC__FRAME__BODY_COST_GET;
	f.cost_get = &m;
	call_peers(g, &f);
	home_costs(n, from_day, to_day, on_local_list, g);
}
