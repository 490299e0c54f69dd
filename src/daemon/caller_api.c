#include "caller_api.h"

#include <event2/util.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "../protocol/task_form.h"
#include "home_ops.h"
#include "router.h"
#include "task_view.h"

#define WAIT_MAX_MS 60000
#define PATH_PARTS_MAX 6

struct path {
	char text[512];
	const char *parts[PATH_PARTS_MAX];
	int n;
};

static void
split_path(struct path *p, const char *text)
{
	char *s, *save;

	str_copy(p->text, text, sizeof(p->text));
	p->n = 0;
	for (s = strtok_r(p->text, "/", &save); s != NULL;
	     s = strtok_r(NULL, "/", &save)) {
		if (p->n == PATH_PARTS_MAX) {
			p->n = 0;
			return;
		}
		p->parts[p->n++] = s;
	}
}

static void
answer_json(struct server_request *r, int status, json_t *j,
    const struct server_header *headers)
{
	char *text = json_dumps(j, JSON_COMPACT);

	server_answer(
	    r, status, "application/json", text, strlen(text), headers);
	free(text);
	json_decref(j);
}

static void
answer_error(
    struct server_request *r, int status, const char *field, const char *text)
{
	answer_json(r, status,
	    json_pack("{s:s,s:s,s:s,s:s}", "error", text, "field", field,
		"outcome", "not-run", "reason", "bad-request"),
	    (struct server_header[]){{"X-Outcome", "not-run"},
		{"X-Reason", "bad-request"}, {NULL, NULL}});
}

static void
answer_outcome(struct server_request *r, const char *id, enum outcome o,
    const char *reason)
{
	int status = o == OUTCOME_NOT_RUN ? 503 : 504;

	if (strcmp(reason, "key-conflict") == 0)
		status = 409;
	answer_json(r, status,
	    json_pack("{s:s,s:s,s:s}", "id", id, "outcome", outcome_name(o),
		"reason", reason),
	    (struct server_header[]){{"X-Outcome", outcome_name(o)},
		{"X-Reason", reason}, {"X-Request-Id", id}, {NULL, NULL}});
}

static void
make_id(char id[TASK_ID_LEN])
{
	uint64_t rnd[2];

	evutil_secure_rng_get_bytes(rnd, sizeof(rnd));
	snprintf(id, TASK_ID_LEN, "r-%016" PRIx64 "%08" PRIx32, rnd[0],
	    (uint32_t)rnd[1]);
}

/** An HTTP request that waits for the reply of the home or the router. */
struct pending {
	struct server_request *req;
	char id[TASK_ID_LEN];
	bool has_id;
	bool submit; /**< submits a task, else reads or cancels one */
};

static struct pending *
pending_new(struct server_request *r, const char *id)
{
	struct pending *p = xcalloc(1, sizeof(*p));

	p->req = r;
	str_copy(p->id, id, sizeof(p->id));
	return p;
}

/* ---- requests ---- */

static void
request_done(const struct route_answer *a, void *arg)
{
	struct pending *p = arg;
	char wait[24];

	if (a->outcome == OUTCOME_DONE) {
		snprintf(wait, sizeof(wait), "%" PRId64, a->wait_ms);
		server_answer(p->req, a->status > 0 ? a->status : 200,
		    a->content_type, a->body, a->len,
		    (struct server_header[]){{"X-Outcome", "done"},
			{"X-Reason", a->reason}, {"X-Request-Id", p->id},
			{"X-Wait-Ms", wait}, {NULL, NULL}});
	} else {
		answer_outcome(p->req, p->id, a->outcome, a->reason);
	}
	free(p);
}

static void
post_request(
    struct node *n, struct server_request *r, const struct class_conf *cls)
{
	const char *key = server_request_header(r, "Idempotency-Key");
	const char *team = server_request_header(r, "X-Team");
	const char *type = server_request_header(r, "Content-Type");
	struct route_request rq = {.cls = cls};
	char id[TASK_ID_LEN];

	if (key != NULL && !id_valid(key)) {
		answer_error(r, 400, "Idempotency-Key",
		    "must be 1 to 63 letters, digits, '-', '_' or '.'");
		return;
	}
	if (team != NULL && !id_valid(team)) {
		answer_error(r, 400, "X-Team", "is not a team's name");
		return;
	}
	if (key != NULL)
		str_copy(id, key, sizeof(id));
	else
		make_id(id);
	rq.id = id;
	rq.has_key = key != NULL;
	rq.team = team != NULL ? team : "";
	rq.body = server_request_body(r, &rq.len);
	rq.content_type = type != NULL ? type : "";
	router_submit(n->router, &rq, request_done, pending_new(r, id));
}

/* ---- tasks ---- */

static void
answer_home_error(struct pending *p, int err)
{
	switch (err) {
	case CC_ENOENT:
		answer_error(p->req, 404, "id", "there is no such request");
		break;
	case CC_ECONFLICT:
		answer_error(p->req, 409, "id",
		    "the id was used before with another body");
		break;
	case CC_EINVAL:
		answer_error(p->req, 409, "id", "not possible for it");
		break;
	case CC_EUNAVAIL:
		answer_outcome(p->req, p->id,
		    p->submit ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
		    "store-unavailable");
		break;
	default:
		answer_outcome(
		    p->req, p->id, OUTCOME_UNKNOWN, "home-unavailable");
	}
}

static void
task_done(const Cc__HomeReply *r, void *arg)
{
	struct pending *p = arg;
	int status = 200;

	if (r->error != CC_OK || r->task == NULL) {
		answer_home_error(p, r->error);
	} else {
		if (p->submit && r->created)
			status = 202;
		answer_json(p->req, status, task_view_json(r->task),
		    (struct server_header[]){
			{"X-Outcome",
			    outcome_name((enum outcome)r->task->outcome)},
			{"X-Reason", r->task->reason}, {"X-Request-Id", p->id},
			{NULL, NULL}});
	}
	free(p);
}

static void
post_task(
    struct node *n, struct server_request *r, const struct class_conf *cls)
{
	const char *key = server_request_header(r, "Idempotency-Key");
	const uint8_t *body;
	struct task_form f;
	struct form_error err;
	struct pending *p;
	Cc__RecAccept a = CC__REC_ACCEPT__INIT;
	Cc__Size size;
	size_t len;

	body = server_request_body(r, &len);
	if (task_form_parse(&f, (const char *)body, len, &err) != CC_OK) {
		answer_error(r, 400, err.field, err.text);
		return;
	}
	if (f.id[0] == '\0' && key != NULL) {
		if (!id_valid(key)) {
			answer_error(
			    r, 400, "Idempotency-Key", "is not a valid id");
			return;
		}
		str_copy(f.id, key, sizeof(f.id));
	}
	if (f.id[0] == '\0')
		make_id(f.id);
	if (f.team[0] != '\0' && n->conf.classes.nteams > 0 &&
	    classes_team(&n->conf.classes, f.team) == NULL) {
		answer_error(r, 400, "team", "there is no such team");
		return;
	}
	size_pack(&size, &f.size);
	a.id = f.id;
	a.class_name = (char *)cls->name;
	a.team = f.team;
	a.size = &size;
	a.count = f.count;
	a.run_ms = f.run_ms;
	a.body_hash = task_form_hash(&f, cls->name);
	a.wall_ms = clock_wall_ms();
	a.repeatable = cls->repeatable;
	p = pending_new(r, f.id);
	p->submit = true;
	home_submit(n, &a, task_done, p);
}

static void
task_by_id(struct node *n, struct server_request *r, const char *id)
{
	const char *wait = server_request_param(r, "wait_ms");
	char *end = "";
	unsigned long ms = wait != NULL ? strtoul(wait, &end, 10) : 0;

	if (!id_valid(id)) {
		answer_error(r, 400, "id", "is not a valid id");
		return;
	}
	if (*end != '\0' || ms > WAIT_MAX_MS) {
		answer_error(r, 400, "wait_ms", "must be 0 to 60000");
		return;
	}
	switch (server_request_method(r)) {
	case SERVER_GET:
		home_get(n, id, (uint32_t)ms, task_done, pending_new(r, id));
		break;
	case SERVER_DELETE:
		home_cancel(n, id, task_done, pending_new(r, id));
		break;
	default:
		answer_error(r, 405, "method", "allowed are GET and DELETE");
	}
}

/* ---- paths ---- */

typedef void (*class_fn)(
    struct node *n, struct server_request *r, const struct class_conf *cls);

static const struct {
	const char *name;
	enum class_kind kind;
	class_fn post;
} resources[] = {
    {"requests", CLASS_REQUEST, post_request},
    {"tasks", CLASS_TASK, post_task},
};

static void
post_to_class(struct node *n, struct server_request *r, const struct path *p)
{
	const struct class_conf *cls;
	size_t i;

	for (i = 0; i < sizeof(resources) / sizeof(resources[0]); i++)
		if (strcmp(resources[i].name, p->parts[3]) == 0)
			break;
	if (i == sizeof(resources) / sizeof(resources[0])) {
		answer_error(r, 404, "path", "there is no such path");
		return;
	}
	if (server_request_method(r) != SERVER_POST) {
		answer_error(r, 405, "method", "allowed is POST");
		return;
	}
	cls = classes_find(&n->conf.classes, p->parts[2]);
	if (cls == NULL) {
		answer_error(r, 404, "class", "there is no such class");
		return;
	}
	if (cls->kind != (int)resources[i].kind) {
		answer_error(r, 400, "class",
		    cls->kind == CLASS_TASK
			? "the class takes tasks, not requests"
			: "the class takes requests, not tasks");
		return;
	}
	resources[i].post(n, r, cls);
}

static void
answer_ready(struct node *n, struct server_request *r)
{
	bool ready = n->conf.known && !n->leaving;

	answer_json(r, ready ? 200 : 503,
	    json_pack("{s:b,s:s}", "ready", ready, "why",
		n->leaving	     ? "leaving"
		    : !n->conf.known ? "configuration not known"
				     : ""),
	    NULL);
}

void
caller_api_handle(struct server_request *r, void *node)
{
	struct node *n = node;
	struct path p;

	split_path(&p, server_request_path(r));
	if (p.n == 1 && strcmp(p.parts[0], "healthz") == 0)
		answer_json(r, 200, json_pack("{s:b}", "alive", 1), NULL);
	else if (p.n == 1 && strcmp(p.parts[0], "readyz") == 0)
		answer_ready(n, r);
	else if (!n->conf.known)
		answer_outcome(r, "", OUTCOME_NOT_RUN, "not-ready");
	else if (p.n == 4 && strcmp(p.parts[0], "v1") == 0 &&
	    strcmp(p.parts[1], "classes") == 0)
		post_to_class(n, r, &p);
	else if (p.n == 3 && strcmp(p.parts[0], "v1") == 0 &&
	    (strcmp(p.parts[1], "tasks") == 0 ||
		strcmp(p.parts[1], "requests") == 0))
		task_by_id(n, r, p.parts[2]);
	else
		answer_error(r, 404, "path", "there is no such path");
}
