/** @file The subcommands of celerycartctl, and the functions that they share.
 */
#ifndef COMMANDS_H
#define COMMANDS_H

#include "client.h"
#include "print.h"

/** Exit codes, as the manual gives them. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_USAGE = 1,	     /**< bad arguments */
	CTL_FINDINGS = 2,    /**< the configuration file is invalid */
	CTL_UNREACHABLE = 3, /**< no host answered; for cost: not all did */
	CTL_REFUSED = 4,     /**< the daemon refused the request */
	/** HTTP 409, for example after another operator applied a version. */
	CTL_CONFLICT = 5,
	CTL_NOT_RUN = 6, /**< the request certainly did not run */
	CTL_UNKNOWN = 7, /**< the request may have run */
};

struct command {
	const char *name;
	const char *summary;
	const char *example;
	/** argv[0] is the subcommand's name. @return a ctl_exit. */
	int (*run)(struct client *c, int argc, char **argv);
};

/** All subcommands; the last row has no name. */
extern const struct command commands[];

int cmd_config(struct client *c, int argc, char **argv);
int cmd_submit(struct client *c, int argc, char **argv);
int cmd_get(struct client *c, int argc, char **argv);
int cmd_cancel(struct client *c, int argc, char **argv);
int cmd_cost(struct client *c, int argc, char **argv);
int cmd_top(struct client *c, int argc, char **argv);
int cmd_cell(struct client *c, int argc, char **argv);

/**
 * Prints the error and the advice in a daemon's answer.
 * @param status an HTTP status, or a negative error
 * @return the exit code that the status and the answer's outcome give.
 */
int command_result(int status, json_t *answer);
/**
 * Reads a path from the first host that answers.
 * @param out JSON of the answer, owned by the caller; NULL after an error
 * @return an exit code.
 */
int command_get(struct client *c, const char *path, json_t **out);
/**
 * Reads a path from every host that is not gone and joins the arrays @p name of
 * their answers, for paths where a host lists only its own rows. Each row gets
 * a field "host". Hosts that do not answer are named on standard error.
 * @return the rows, or NULL when the list of hosts can't be read.
 */
json_t *command_gather(struct client *c, const char *path, const char *name);
/**
 * Reads a path from the first host that answers and prints the array @p name of
 * the answer as a table; with --json prints the whole answer.
 * @return an exit code.
 */
int command_show(struct client *c, const char *path, const char *name,
    const struct column *cols);
/** Prints JSON, indented and with sorted keys. */
void command_print_json(json_t *j);

#endif
