/**
 * @file Randomized soak test: daemons as processes, a stand-in for the
 * platform, a proxy between each daemon and the store, and faults injected by
 * a seeded generator.
 *
 * Callers submit jobs and follow them. Under all faults, an accepted job must
 * end, a refused job must never run, a job shown as completed must stay
 * completed, and the stand-in must see no violated guarantee.
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
	PROXY_DELAY,  /**< bytes are forwarded after a delay */
	PROXY_RESET,  /**< open and new connections are reset */
	PROXY_SILENT, /**< bytes are dropped, connections stay open */
};

/** Forwards @p port to port @p to, both on 127.0.0.1; NULL: port taken. */
struct proxy *proxy_new(struct event_base *base, uint16_t port, uint16_t to);
void proxy_delete(struct proxy *p);
void proxy_set(struct proxy *p, enum proxy_mode mode);

struct soak {
	struct event_base *base;
	struct http_pool *http;
	uint32_t rng; /**< state of the random generator */
	int port;     /**< first of the ports used */
	int nhosts;
	bool relays;	 /**< daemons are so weak that leaders use relays */
	const char *bin; /**< directory of the programs */
	const char *dir; /**< for logs and configuration */
	pid_t standin;
	pid_t hosts[SOAK_HOSTS_MAX]; /**< 0: not running */
	bool paused[SOAK_HOSTS_MAX];
	struct proxy *proxies[SOAK_HOSTS_MAX];
	struct callers *callers;
	int64_t end_ms; /**< no fault begins after this, boot clock */
	bool healed;
	int broken;   /**< violations so far */
	bool verbose; /**< prints each fault */
};

/** A random number below @p n. */
uint32_t soak_random(struct soak *s, uint32_t n);
/** Counts and prints the violation @p what of the job @p id. */
void soak_broken(struct soak *s, const char *what, const char *id);
/** Address of host @p i: 127.0.0.(30 + i). */
void soak_host_addr(int i, char buf[32]);

/* hosts.c */
/** Starts the stand-in, the proxies and the daemons. */
void hosts_start(struct soak *s);
void host_start(struct soak *s, int i);
/** Ends the processes and proxies that hosts_start created. */
void hosts_end(struct soak *s);
void host_signal(struct soak *s, int i, int sig);

/* faults.c */
/** Schedules the next random fault; repeats until the soak's end_ms. */
void faults_start(struct soak *s);
/** Ends all faults at once and restarts the daemons that are down. */
void faults_end_all(struct soak *s);

/* callers.c */
/** Submits @p rate jobs a second to random hosts. */
struct callers *callers_new(struct soak *s, int rate);
/** Submits no new jobs; accepted ones are followed to their end. */
void callers_stop(struct callers *c);
/** Whether every job has ended or its submission was given up. */
bool callers_done(const struct callers *c);
/** Prints the counts and the jobs that have not ended. */
void callers_report(const struct callers *c);
/** Asks the stand-in for each refused job whether it ever ran. */
void callers_check_refused(struct callers *c);
void callers_delete(struct callers *c);

#endif
