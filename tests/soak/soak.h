/**
 * @file Randomized soak: real daemons, a stand-in for the platform, a proxy
 * before the store, and faults injected from outside, by a seed.
 *
 * Callers submit jobs and follow them. Whatever the faults: what was accepted
 * comes to its end, what was refused never runs, what was shown as completed
 * stays so, and the stand-in sees no broken promise.
 */
#ifndef SOAK_H
#define SOAK_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define SOAK_HOSTS_MAX 16
#define SOAK_RUNNERS 12

struct proxy;
struct callers;

enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,  /**< bytes come late */
	PROXY_RESET,  /**< connections are reset, new ones too */
	PROXY_SILENT, /**< bytes vanish, connections stay open */
};

/** A loopback proxy on @p port to @p to, both on 127.0.0.1. */
struct proxy *proxy_new(struct event_base *base, uint16_t port, uint16_t to);
void proxy_delete(struct proxy *p);
void proxy_set(struct proxy *p, enum proxy_mode mode);

struct soak {
	struct event_base *base;
	struct http_pool *http;
	uint32_t rng;
	int port;
	int nhosts;
	bool relays;	 /**< leaders give their orders to other hosts */
	const char *bin; /**< directory of the programs */
	const char *dir; /**< logs and settings */
	pid_t standin;
	pid_t hosts[SOAK_HOSTS_MAX]; /**< 0: not running */
	bool paused[SOAK_HOSTS_MAX];
	struct proxy *proxies[SOAK_HOSTS_MAX];
	struct callers *callers;
	int64_t end_ms; /**< no fault begins after this */
	bool healed;
	int broken;
	bool loud;
};

uint32_t soak_random(struct soak *s, uint32_t n);
void soak_broken(struct soak *s, const char *what, const char *id);
/** Address of a host: 127.0.0.(30 + i). */
void soak_host_addr(int i, char buf[32]);

/* hosts.c */
void hosts_start(struct soak *s);
void host_start(struct soak *s, int i);
/** Ends all that was started, by process id. */
void hosts_end(struct soak *s);
void host_signal(struct soak *s, int i, int sig);

/* faults.c */
void faults_start(struct soak *s);
void faults_heal(struct soak *s);

/* callers.c */
struct callers *callers_new(struct soak *s, int rate);
/** No new jobs; those accepted are followed to their end. */
void callers_stop(struct callers *c);
bool callers_done(const struct callers *c);
void callers_report(const struct callers *c);
/** Asks the stand-in whether a refused job ever ran. */
void callers_check_refused(struct callers *c);
void callers_delete(struct callers *c);

#endif
