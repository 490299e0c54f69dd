#include "hostlist.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../base/err.h"
#include "../base/json_get.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "placer.h"
#include "router.h"

#define READ_TIMEOUT_MS 3000
/** Time after which a host that is missing from the list counts as gone. */
#define MISSING_MS 3000

struct hostlist {
	struct node *node;
	struct event *timer;
	struct host_row *rows;
	char etag[64];
	struct size total;
	bool known;
};

static const struct {
	const char *name;
	enum host_role role;
} roles[] = {
    {"worker", HOST_WORKER},
    {"runner", HOST_RUNNER},
    {"entry", HOST_ENTRY},
};

static bool
role_of(const char *name, enum host_role *out)
{
	size_t i;

	for (i = 0; i < sizeof(roles) / sizeof(roles[0]); i++)
		if (strcmp(roles[i].name, name) == 0) {
			*out = roles[i].role;
			return true;
		}
	return false;
}

static void
apply_row(struct hostlist *l, const json_t *j)
{
	const char *name = json_get_text(j, "name");
	struct host_row *r;
	enum host_role role;

	if (*name == '\0' || strlen(name) >= sizeof(r->name) ||
	    !role_of(json_get_text(j, "role"), &role))
		return;
	HASH_FIND_STR(l->rows, name, r);
	if (r == NULL) {
		r = xcalloc(1, sizeof(*r));
		str_copy(r->name, name, sizeof(r->name));
		HASH_ADD_STR(l->rows, name, r);
	}
	r->role = role;
	str_copy(r->addr, json_get_text(j, "addr"), sizeof(r->addr));
	r->port = (uint16_t)(uint32_t)json_get_int(j, "port");
	str_copy(r->rack, json_get_text(j, "rack"), sizeof(r->rack));
	str_copy(r->zone, json_get_text(j, "zone"), sizeof(r->zone));
	str_copy(r->service, json_get_text(j, "service"), sizeof(r->service));
	r->size.cpus = (uint32_t)json_get_int(j, "cpus");
	r->size.memory_mb = (uint32_t)json_get_int(j, "memory_mb");
	r->size.accelerators = (uint32_t)json_get_int(j, "accelerators");
	r->leaving = strcmp(json_get_text(j, "state"), "leaving") == 0;
	r->shard =
	    (int)(XXH64(name, strlen(name), 0) % (uint64_t)l->node->nshards);
	r->seen = true;
	r->missing_since_ms = 0;
}

static void
mark_missing(struct hostlist *l, int64_t now)
{
	struct host_row *r, *tmp;

	memset(&l->total, 0, sizeof(l->total));
	HASH_ITER(hh, l->rows, r, tmp)
	{
		if (!r->seen && r->missing_since_ms == 0)
			r->missing_since_ms = now;
		if (r->role == HOST_WORKER && r->missing_since_ms == 0)
			size_add(&l->total, &r->size);
	}
}

static void
apply_list(struct hostlist *l, const json_t *hosts)
{
	struct host_row *r;
	size_t i;

	for (r = l->rows; r != NULL; r = r->hh.next)
		r->seen = false;
	for (i = 0; i < json_array_size(hosts); i++)
		apply_row(l, json_array_get(hosts, i));
	mark_missing(l, clock_boot_ms());
	if (!l->known)
		kvlog(KVLOG_INFO, "hostlist", "hosts=%zu",
		    json_array_size(hosts));
	l->known = true;
}

/*
 * Frees the rows of workers and runners that are gone, so that placement and
 * routing no longer use them. Rows of entry hosts stay for hostlist_gone().
 */
static void
drop_missing(struct hostlist *l, int64_t now)
{
	struct host_row *r, *tmp;

	HASH_ITER(hh, l->rows, r, tmp)
	{
		if (r->missing_since_ms == 0 ||
		    now - r->missing_since_ms < MISSING_MS ||
		    r->role == HOST_ENTRY)
			continue;
		HASH_DEL(l->rows, r);
		free(r);
	}
}

static void
schedule_read(struct hostlist *l)
{
	int64_t ms = l->node->settings->hostlist_ms;
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	evtimer_add(l->timer, &tv);
}

static void
read_done(const struct http_answer *a, void *arg)
{
	struct hostlist *l = arg;
	json_error_t je;
	json_t *body, *hosts;
	const char *etag;

	if (a->err == CC_OK && a->status == 200) {
		body = json_loadb((const char *)a->body, a->len, 0, &je);
		hosts = json_object_get(body, "hosts");
		if (json_array_size(hosts) > 0) {
			etag = evhttp_find_header(a->headers, "ETag");
			str_copy(
			    l->etag, etag != NULL ? etag : "", sizeof(l->etag));
			apply_list(l, hosts);
		}
		json_decref(body);
	}
	drop_missing(l, clock_boot_ms());
	if (l->known) {
		placer_hosts_changed(l->node->placer);
		router_hosts_changed(l->node->router);
	}
	schedule_read(l);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct hostlist *l = arg;
	const struct endpoint *ep = &l->node->settings->hostlist;
	struct http_request r = {
	    .addr = ep->addr,
	    .port = (uint16_t)ep->port,
	    .method = EVHTTP_REQ_GET,
	    .path = "/v1/hosts",
	    .timeout_ms = READ_TIMEOUT_MS,
	    .fn = read_done,
	    .arg = l,
	};

	(void)fd;
	(void)what;
	if (l->etag[0] != '\0')
		r.headers[0] = (struct http_header){"If-None-Match", l->etag};
	http_call(l->node->http, &r);
}

struct hostlist *
hostlist_new(struct node *n)
{
	struct hostlist *l = xcalloc(1, sizeof(*l));
	struct timeval tv = {0, 0};

	l->node = n;
	l->timer = evtimer_new(n->base, on_timer, l);
	evtimer_add(l->timer, &tv);
	return l;
}

void
hostlist_delete(struct hostlist *l)
{
	struct host_row *r, *tmp;

	HASH_ITER(hh, l->rows, r, tmp)
	{
		HASH_DEL(l->rows, r);
		free(r);
	}
	event_free(l->timer);
	free(l);
}

bool
hostlist_known(const struct hostlist *l)
{
	return l->known;
}

const struct host_row *
hostlist_rows(const struct hostlist *l)
{
	return l->rows;
}

bool
hostlist_gone(const struct hostlist *l, const char *name)
{
	const struct host_row *r;

	HASH_FIND_STR(l->rows, name, r);
	return r != NULL && r->missing_since_ms > 0 &&
	    clock_boot_ms() - r->missing_since_ms > MISSING_MS;
}

struct size
hostlist_total(const struct hostlist *l)
{
	return l->total;
}

bool
hostlist_could_hold(const struct hostlist *l, const struct size *need)
{
	const struct host_row *r;

	if (!l->known)
		return true;
	for (r = l->rows; r != NULL; r = r->hh.next)
		if (r->role == HOST_WORKER && size_fits(need, &r->size))
			return true;
	return false;
}
