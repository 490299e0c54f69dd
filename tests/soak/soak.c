/* soak --seed N --seconds S: one run with the faults that follow from seed N;
 * its last line says ok or not ok. */
#include "soak.h"

#include <argtable2.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/base/err.h"
#include "../../src/base/xalloc.h"
#include "../../src/sys/clock.h"
#include "../../src/transport/http_call.h"

#define RATE 15 /* jobs per second */
#define HOSTS 5
#define SETTLE_MS 45000 /* for accepted jobs to end after the last fault */
/** Pause before the first job, in which the daemons start, and pause from the
 * last job to the end of the faults. */
#define WARM_MS 2500
#define CHECK_MS 1000 /* for the stand-in's answers */

uint32_t
soak_random(struct soak *s, uint32_t n)
{
	s->rng = s->rng * 1664525u + 1013904223u;
	return (s->rng >> 8) % n;
}

void
soak_broken(struct soak *s, const char *what, const char *id)
{
	s->broken++;
	printf("BROKEN %s %s\n", what, id);
}

/* Runs the event loop until end_ms or until done() holds, if given. */
static bool
run_until(struct soak *s, int64_t end_ms, bool (*done)(const struct callers *))
{
	struct timeval tv = {0, 100000};

	while (clock_boot_ms() < end_ms) {
		event_base_loopexit(s->base, &tv);
		event_base_dispatch(s->base);
		if (done != NULL && done(s->callers))
			return true;
	}
	return done == NULL;
}

static void
on_report(const struct http_answer *a, void *arg)
{
	struct soak *s = arg;
	json_t *b, *v;
	size_t i;

	if (a->err != CC_OK) {
		soak_broken(s, "the stand-in gives no report", "");
		return;
	}
	b = json_loadb((const char *)a->body, a->len, 0, NULL);
	json_array_foreach(json_object_get(b, "texts"), i, v)
	    soak_broken(s, "seen by runners:", json_string_value(v));
	printf("starts=%lld done=%lld\n",
	    (long long)json_integer_value(json_object_get(b, "starts")),
	    (long long)json_integer_value(json_object_get(b, "done")));
	json_decref(b);
}

static void
request_report(struct soak *s)
{
	struct http_request r = {.addr = "127.0.0.1",
	    .port = (uint16_t)(s->port + 2),
	    .method = EVHTTP_REQ_GET,
	    .path = "/report",
	    .timeout_ms = 3000,
	    .fn = on_report,
	    .arg = s};

	http_call(s->http, &r);
}

static void
run(struct soak *s, int seconds)
{
	hosts_start(s);
	run_until(s, clock_boot_ms() + WARM_MS, NULL);
	s->callers = callers_new(s, RATE);
	s->end_ms = clock_boot_ms() + seconds * 1000;
	faults_start(s);
	run_until(s, s->end_ms, NULL);
	callers_stop(s->callers);
	run_until(s, clock_boot_ms() + WARM_MS, NULL);
	faults_end_all(s);
	if (!run_until(s, clock_boot_ms() + SETTLE_MS, callers_done))
		soak_broken(s, "not all accepted jobs ended", "");
	callers_check_refused(s->callers);
	request_report(s);
	run_until(s, clock_boot_ms() + CHECK_MS, NULL);
	callers_report(s->callers);
}

int
main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
	struct arg_int *seconds =
	    arg_int0(NULL, "seconds", "S", "seconds with faults");
	struct arg_int *port =
	    arg_int0(NULL, "port", "P", "first of 200 ports");
	struct arg_int *hosts =
	    arg_int0(NULL, "hosts", "N", "number of daemons");
	struct arg_str *bin =
	    arg_str0(NULL, "bin", "DIR", "directory of the programs");
	struct arg_str *dir = arg_str0(
	    NULL, "dir", "DIR", "directory for logs and configuration");
	struct arg_lit *loud = arg_lit0(NULL, "loud", "print each fault");
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, seconds, port, hosts, bin, dir, loud, end};
	struct soak s = {
	    .port = 19000, .nhosts = HOSTS, .bin = "build", .dir = "/tmp"};

	seed->ival[0] = 1;
	seconds->ival[0] = 10;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "soak");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	s.relays = seed->ival[0] % 2 == 1;
	s.rng = (uint32_t)seed->ival[0] * 2654435761u + 1;
	s.verbose = loud->count > 0;
	if (port->count > 0)
		s.port = port->ival[0];
	if (hosts->count > 0 && hosts->ival[0] <= SOAK_HOSTS_MAX)
		s.nhosts = hosts->ival[0];
	if (bin->count > 0)
		s.bin = bin->sval[0];
	if (dir->count > 0)
		s.dir = dir->sval[0];
	s.base = event_base_new();
	s.http = http_pool_new(s.base, "");
	run(&s, seconds->ival[0]);
	hosts_end(&s);
	http_pool_delete(s.http);
	callers_delete(s.callers);
	printf("%s soak seed %d\n", s.broken == 0 ? "ok" : "not ok",
	    seed->ival[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return s.broken > 0;
}
