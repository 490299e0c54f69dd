/* celerycartctl top: shows hosts and classes, refreshed every second. */
#include <poll.h>
#include <stdio.h>
#include <termios.h>
#include <unistd.h>

#include "commands.h"
#include "print.h"

#define REFRESH_MS 1000
#define CLEAR_SCREEN "\033[H\033[2J" /* ANSI: cursor home, clear */

static const struct column host_columns[] = {
    {"host", "HOST", COL_TEXT},
    {"state", "STATE", COL_TEXT},
    {"shards", "SHARDS", COL_INT},
    {"config_version", "CONFIG", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static const struct column class_columns[] = {
    {"class", "CLASS", COL_TEXT},
    {"host", "HOST", COL_TEXT},
    {"done", "DONE", COL_INT},
    {"not_run", "NOT_RUN", COL_INT},
    {"unknown", "UNKNOWN", COL_INT},
    {"late", "LATE", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static int
draw(struct client *c)
{
	json_t *hosts, *classes;
	int rc = command_get(c, "/v1/hosts", &hosts);

	if (rc != CTL_OK)
		return rc;
	classes = command_gather(c, "/v1/classes", "classes");
	printf(CLEAR_SCREEN "celerycart, by %s (q ends)\n\n", c->last_host);
	print_table(stdout, json_object_get(hosts, "hosts"), host_columns);
	putchar('\n');
	if (classes != NULL)
		print_table(stdout, classes, class_columns);
	fflush(stdout);
	json_decref(hosts);
	json_decref(classes);
	return CTL_OK;
}

/*
 * Waits for a key, at most REFRESH_MS.
 * @return whether q was pressed or the input has ended.
 */
static bool
wait_for_quit(void)
{
	struct pollfd p = {.fd = STDIN_FILENO, .events = POLLIN};
	char ch = '\0';

	if (poll(&p, 1, REFRESH_MS) <= 0)
		return false;
	return read(STDIN_FILENO, &ch, 1) <= 0 || ch == 'q';
}

int
cmd_top(struct client *c, int argc, char **argv)
{
	struct termios old, raw;
	bool tty = tcgetattr(STDIN_FILENO, &old) == 0;
	int rc;

	(void)argc;
	(void)argv;
	if (tty) {
		raw = old;
		raw.c_lflag &= ~(tcflag_t)(ICANON | ECHO);
		tcsetattr(STDIN_FILENO, TCSANOW, &raw);
	}
	do
		rc = draw(c);
	while (rc == CTL_OK && !wait_for_quit());
	if (tty)
		tcsetattr(STDIN_FILENO, TCSANOW, &old);
	return rc;
}
