/* Stand-ins for the review's scripts: see main.c. */
#ifndef SIM_H
#define SIM_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

#define MAX_HOLD_MS 10000
#define STOP_GRACE_MS 400
#define BEAT_MS 1500
#define HOSTS_MAX 8

struct options {
	int port;
	const char *folder;
	int runners;
	int cpu;
	const char *scenario;
	char **args;
	int nargs;
	int hosts;
	bool trouble; /**< with the disruption */
};

extern struct event_base *base;
extern struct options opt;

int64_t now_ms(void);
int64_t wall_ms(void);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Ends the process. */
void finish(int code, const char *why) __attribute__((noreturn));
const char *arg_text(const char *name, const char *def);
int arg_int(const char *name, int def);
uint32_t hash_text(const char *s);
bool host_signal(int host, int sig);
/** Listens on 127.0.0.1, with a queue for many new connections. */
bool listen_on(struct evhttp *http, int port);
json_t *request_json(struct evhttp_request *req);
void reply(
    struct evhttp_request *req, int status, json_t *body, int delay_ms);

/* store.c */
bool store_init(void);
void store_put(
    const char *table, const char *part, const char *key, json_t *value);
void store_remove(const char *table, const char *part, const char *key);
/** Number of the host that the leader's row names; 0: none. */
int store_leader(void);

/* runner.c */

/** One start of a task. */
struct run {
	TAILQ_ENTRY(run) link;	    /**< in the runner's list while it runs */
	TAILQ_ENTRY(run) task_link; /**< in the task's list */
	struct task *task;
	struct runner *runner;
	int number;
	int64_t start_ms;
	int64_t end_ms; /**< planned, then real */
	bool fails;
	const char *how; /**< NULL: it runs */
	bool noted;	 /**< its end was taken note of */
	bool stopping;
	int64_t stop_ms;
};
TAILQ_HEAD(run_list, run);

struct task {
	UT_hash_handle hh;
	char name[80];
	struct run_list runs;
	int running;
	bool done_noted;   /**< an end "done" was taken note of */
	bool done;	   /**< a run has ended as done */
	int64_t done_ms;
};

struct breaks {
	int twice;	/**< two runs at the same time */
	int again;	/**< a start after a done end that was noted */
	int unasked;	/**< a start that no client sent */
	char first[400]; /**< the first one */
};
extern struct breaks breaks;
extern struct task *tasks;

bool runners_init(void);
void runners_tick(void);
int runs_now(void);
int runs_total(void);
/** The runner with the most runs. */
int fullest_runner(void);
/** Cuts the runner off from all hosts for a time; it runs on. */
void runner_cut(int runner, int ms);

/* client.c */
enum client_state {
	CLIENT_NEW,
	CLIENT_SENT,
	CLIENT_ACCEPTED,
	CLIENT_REJECTED,
	CLIENT_UNKNOWN,
};

/** A submission and its client. */
struct sub {
	UT_hash_handle hh;
	char id[20];
	char *body;
	const char *prefix;
	enum client_state state;
	int tries;
	int64_t first_ms, accepted_ms, next_ms;
	bool in_flight;
	char shown[16]; /**< last state shown */
	int64_t shown_ms;
	bool polling;
	int64_t poll_ms;
	int poll_status;
};
extern struct sub *subs;

/** Adds a submission; it is sent at once, and again as long as it has no
 * definite answer. */
struct sub *sub_add(const char *id, const char *prefix, json_t *body);
void sub_poll(struct sub *s, int host);
void clients_tick(void);
/** Whether all hosts report themselves ready, as last asked. */
bool hosts_ready(void);

/* scenario.c */
bool scenario_init(void);
void scenario_tick(void);

#endif
