/* Simulated advice service: each step is allowed on about 7 of 10 runners,
 * chosen by a hash of the step and the runner. */
#include <stdio.h>

#include "standin.h"

#define ALLOWED_OF_TEN 7
#define VALIDITY_MS 2500

static unsigned
hash_pair(const char *a, const char *b)
{
	unsigned h = 5381;

	for (; *a != '\0'; a++)
		h = h * 33 + (unsigned char)*a;
	for (; *b != '\0'; b++)
		h = h * 33 + (unsigned char)*b;
	return h ^ (h >> 7);
}

static void
on_advise(struct evhttp_request *req, void *arg)
{
	json_t *b = request_json(req), *allowed = json_array(), *v;
	const char *step = json_string_value(json_object_get(b, "step"));
	size_t i;

	(void)arg;
	json_array_foreach(json_object_get(b, "workers"), i, v)
	{
		const char *id = json_string_value(v);

		if (hash_pair(step, id) % 10 < ALLOWED_OF_TEN)
			json_array_append_new(
			    allowed, json_pack("[s,s]", id, "ticket"));
	}
	json_decref(b);
	reply_json(req, 200,
	    json_pack(
		"{s:o,s:i}", "allowed", allowed, "validity_ms", VALIDITY_MS));
}

void
advice_sim_new(struct event_base *base, uint16_t port)
{
	struct evhttp *http = evhttp_new(base);

	evhttp_set_cb(http, "/v1/advise", on_advise, NULL);
	if (evhttp_bind_socket(http, "127.0.0.1", port) != 0)
		fprintf(stderr, "cellstandin: port %u is taken\n", port);
}
