/**
 * @file HTTP client of celerycartctl: one blocking request at a time.
 *
 * Requests to operator ports carry an HMAC of the request and of a nonce from
 * the host, made with the shared key.
 */
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
	struct client_host caller; /**< caller port; valid with has_caller */
	bool has_caller;
	char key[128];	    /**< shared key */
	bool json;	    /**< print JSON instead of tables */
	char last_host[64]; /**< ADDR:PORT of the last host that was tried */
};

void client_init(struct client *c);
void client_done(struct client *c);
/**
 * Parses "ADDR:PORT" or "[ADDR]:PORT", where ADDR is an IP number.
 * @return CC_OK or CC_EINVAL.
 */
int client_host_parse(struct client_host *h, const char *text);
/**
 * Sends a request to the hosts in turn until one answers; prints each that does
 * not on standard error.
 * @param out JSON of the response, owned by the caller; NULL without one
 * @return the HTTP status, or the error of the last host; CC_ECONN without any
 *     host.
 */
int client_request(struct client *c, enum evhttp_cmd_type method,
    const char *path, json_t *body, json_t **out);
/** Sends a request to the operator port of one host; prints no errors. */
int client_request_host(struct client *c, const struct client_host *h,
    enum evhttp_cmd_type method, const char *path, json_t *body, json_t **out);
/**
 * Sends a request to the caller port, which needs no key; prints
 * connection errors.
 * @return the HTTP status or an error; CC_EINVAL when --caller was not given.
 */
int client_request_caller(struct client *c, enum evhttp_cmd_type method,
    const char *path, json_t *body, json_t **out);
/**
 * Reads a path that is not JSON, such as /metrics, from the first host that
 * answers with status 200.
 * @return the text, which the caller frees, or NULL.
 */
char *client_get_text(struct client *c, const char *path);

#endif
