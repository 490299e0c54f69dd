/*
 * celerycartctl, the operators' command: reads the common options and the
 * environment, then runs the subcommand with the remaining arguments.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "commands.h"

#define VERSION "0.2.0"

static void
print_help(FILE *out)
{
	const struct command *k;

	fprintf(out,
	    "usage: celerycartctl [options] COMMAND [arguments]\n"
	    "  --host ADDR:PORT    an operator port; may be repeated\n"
	    "  --caller ADDR:PORT  a caller port, for submit, get, cancel\n"
	    "  --key KEY           the shared key\n"
	    "  --key-file FILE     file with the shared key\n"
	    "  --json              print JSON\n"
	    "  --help              after a command: about that command\n"
	    "The environment may give CELERYCART_HOST, CELERYCART_CALLER and "
	    "CELERYCART_KEY.\n"
	    "commands:\n");
	for (k = commands; k->name != NULL; k++)
		fprintf(out, "  %-10s %s\n", k->name, k->summary);
}

static const struct command *
find_command(const char *name)
{
	const struct command *k;

	for (k = commands; k->name != NULL; k++)
		if (strcmp(k->name, name) == 0)
			return k;
	return NULL;
}

static int
add_host(struct client *c, const char *text)
{
	if (c->nhosts == CLIENT_HOSTS_MAX ||
	    client_host_parse(&c->hosts[c->nhosts], text) != CC_OK) {
		fprintf(stderr,
		    "celerycartctl: '%s' is not ADDR:PORT with an "
		    "IP number\n",
		    text);
		return CC_EINVAL;
	}
	c->nhosts++;
	return CC_OK;
}

static int
set_caller(struct client *c, const char *text)
{
	if (client_host_parse(&c->caller, text) != CC_OK) {
		fprintf(stderr,
		    "celerycartctl: '%s' is not ADDR:PORT with an "
		    "IP number\n",
		    text);
		return CC_EINVAL;
	}
	c->has_caller = true;
	return CC_OK;
}

static int
set_key(struct client *c, const char *text)
{
	str_copy(c->key, text, sizeof(c->key));
	return CC_OK;
}

static int
read_key(struct client *c, const char *file)
{
	FILE *f = fopen(file, "r");

	if (f == NULL || fgets(c->key, (int)sizeof(c->key), f) == NULL) {
		fprintf(stderr,
		    "celerycartctl: the key file %s is empty or cannot be "
		    "read\n",
		    file);
		if (f != NULL)
			fclose(f);
		return CC_EINVAL;
	}
	fclose(f);
	c->key[strcspn(c->key, "\r\n")] = '\0';
	return CC_OK;
}

static const struct {
	const char *name;
	const char *env;
	int (*set)(struct client *c, const char *value);
} options[] = {
    {"--host", "CELERYCART_HOST", add_host},
    {"--caller", "CELERYCART_CALLER", set_caller},
    {"--key", "CELERYCART_KEY", set_key},
    {"--key-file", NULL, read_key},
};

#define NOPTIONS (sizeof(options) / sizeof(options[0]))

/*
 * Applies the common options and removes them from the arguments, before or
 * after the subcommand.
 * @return the number of arguments left, or CC_EINVAL.
 */
static int
take_options(struct client *c, int argc, char **argv, bool *help)
{
	int i, n = 1;
	size_t k;

	for (i = 1; i < argc; i++) {
		for (k = 0; k < NOPTIONS; k++)
			if (strcmp(argv[i], options[k].name) == 0)
				break;
		if (k < NOPTIONS) {
			if (i + 1 == argc ||
			    options[k].set(c, argv[++i]) != CC_OK)
				return CC_EINVAL;
		} else if (strcmp(argv[i], "--json") == 0) {
			c->json = true;
		} else if (strcmp(argv[i], "--help") == 0) {
			*help = true;
		} else {
			argv[n++] = argv[i];
		}
	}
	argv[n] = NULL;
	return n;
}

/* Applies environment variables in place of options that were not given. */
static int
use_environment(struct client *c)
{
	const char *v;
	size_t k;

	for (k = 0; k < NOPTIONS; k++) {
		v = options[k].env != NULL ? getenv(options[k].env) : NULL;
		if (v == NULL || (options[k].set == add_host && c->nhosts) ||
		    (options[k].set == set_caller && c->has_caller) ||
		    (options[k].set == set_key && c->key[0] != '\0'))
			continue;
		if (options[k].set(c, v) != CC_OK)
			return CC_EINVAL;
	}
	return CC_OK;
}

int
main(int argc, char **argv)
{
	const struct command *k;
	struct client c;
	bool help = false;
	int n, rc;

	signal(SIGPIPE, SIG_IGN);
	client_init(&c);
	n = take_options(&c, argc, argv, &help);
	if (n < 0 || use_environment(&c) != CC_OK)
		return CTL_USAGE;
	if (n == 2 && strcmp(argv[1], "--version") == 0) {
		printf("celerycartctl %s\n", VERSION);
		return CTL_OK;
	}
	if (n < 2) {
		print_help(help ? stdout : stderr);
		return help ? CTL_OK : CTL_USAGE;
	}
	k = find_command(argv[1]);
	if (k == NULL) {
		fprintf(stderr,
		    "celerycartctl: there is no command '%s'; "
		    "--help lists them\n",
		    argv[1]);
		return CTL_USAGE;
	}
	if (help) {
		printf(
		    "%s: %s\nexample: %s\n", k->name, k->summary, k->example);
		return CTL_OK;
	}
	rc = k->run(&c, n - 1, argv + 1);
	client_done(&c);
	return rc;
}
