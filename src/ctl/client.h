/** @file HTTP client of the command: one call at a time, with the key. */
#ifndef CLIENT_H
#define CLIENT_H

#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define CLIENT_HOSTS_MAX 64

struct client_host {
	char addr[48];
	uint16_t port;
};

struct client {
	struct event_base *base;
	struct client_host hosts[CLIENT_HOSTS_MAX]; /**< operator ports */
	int nhosts;
	struct client_host caller;
	bool has_caller;
	char key[128];
	bool json;     /**< print JSON as it came */
	char used[64]; /**< the host that answered last */
};

void client_init(struct client *c);
void client_done(struct client *c);
/** Parses "ADDR:PORT" or "[ADDR]:PORT". @return CC_OK or CC_EINVAL. */
int client_host_parse(struct client_host *h, const char *text);
/**
 * Asks the hosts in turn until one answers; each that does not is named on
 * standard error.
 * @param out the answer's JSON, owned by the caller
 * @return the HTTP status, or CC_ECONN when nobody answered.
 */
int client_ask(struct client *c, enum evhttp_cmd_type method, const char *path,
    json_t *body, json_t **out);
/** Asks one host. */
int client_ask_host(struct client *c, const struct client_host *h,
    enum evhttp_cmd_type method, const char *path, json_t *body, json_t **out);
/** Asks the caller port, without a key. */
int client_ask_caller(struct client *c, enum evhttp_cmd_type method,
    const char *path, json_t *body, json_t **out);
/** The answer as text, for the metrics. The caller frees. */
char *client_text(struct client *c, const char *path);

#endif
