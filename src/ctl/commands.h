/** @file The subcommands; each is one row of a table. */
#ifndef COMMANDS_H
#define COMMANDS_H

#include "client.h"
#include "print.h"

/** Exit codes, as the manual gives them. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_USAGE = 1,	     /**< bad arguments */
	CTL_FINDINGS = 2,    /**< a file has findings */
	CTL_UNREACHABLE = 3, /**< no host answered */
	CTL_REFUSED = 4,     /**< the daemon refused */
	CTL_CONFLICT = 5,    /**< another operator was faster */
	CTL_NOT_RUN = 6,     /**< the request certainly did not run */
	CTL_UNKNOWN = 7,     /**< the request may have run */
};

struct command {
	const char *name;
	const char *summary;
	const char *example;
	int (*run)(struct client *c, int argc, char **argv);
};

extern const struct command commands[];

int cmd_config(struct client *c, int argc, char **argv);
int cmd_submit(struct client *c, int argc, char **argv);
int cmd_get(struct client *c, int argc, char **argv);
int cmd_cancel(struct client *c, int argc, char **argv);
int cmd_cost(struct client *c, int argc, char **argv);
int cmd_top(struct client *c, int argc, char **argv);
int cmd_cell(struct client *c, int argc, char **argv);

/** Exit code for an HTTP status or an error; prints the daemon's error. */
int command_result(int status, json_t *answer);
/** Reads a path; @p out is NULL after an error. @return an exit code. */
int command_get(struct client *c, const char *path, json_t **out);
/** Rows of a read that every live host answers for itself, as one array. */
json_t *command_gather(struct client *c, const char *path, const char *name);
/** Reads a path and prints one array of the answer. @return an exit code. */
int command_show(struct client *c, const char *path, const char *name,
    const struct column *cols);
/** Prints the answer as JSON. */
void command_print_json(json_t *j);

#endif
