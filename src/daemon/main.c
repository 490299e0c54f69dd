/*
 * celerycartd: reads and checks its settings, then runs one node, or with
 * --cell a cell on the platform.
 */
#include <argtable2.h>
#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../../platform/adapter.h"
#include "../state/cell_settings.h"
#include "../state/settings.h"
#include "../state/yaml_doc.h"
#include "node.h"

#define VERSION "0.2.0"
/** Environment variable with the settings file, for --cell without -c. */
#define SETTINGS_VARIABLE "CELERYCART_BOOT"

enum exit_code {
	EXIT_OK,
	EXIT_USAGE,
	EXIT_SETTINGS,
	EXIT_LISTEN
};

static void
on_signal(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	node_leave(arg);
}

/** Parses settings into @p out, a struct of the matching type. */
typedef void (*parse_fn)(
    void *out, const char *text, size_t len, struct findings *fs);

static void
parse_settings(void *out, const char *text, size_t len, struct findings *fs)
{
	settings_parse(out, text, len, fs);
}

static void
parse_cell_settings(
    void *out, const char *text, size_t len, struct findings *fs)
{
	cell_settings_parse(out, text, len, fs);
}

static int
read_settings(const char *path, parse_fn parse, void *s)
{
	struct findings fs;
	size_t len;
	char *text = yaml_read_file(path, &len), *report;
	int bad;

	if (text == NULL) {
		fprintf(stderr, "celerycartd: cannot read %s\n", path);
		return CC_ENOENT;
	}
	findings_init(&fs, path);
	parse(s, text, len, &fs);
	free(text);
	bad = fs.count;
	report = findings_text(&fs);
	fputs(report, stderr);
	free(report);
	findings_done(&fs);
	return bad > 0 ? CC_EINVAL : CC_OK;
}

static int
run(const struct settings *s)
{
	struct event_base *base;
	struct event *term, *intr;
	struct node *n;

	signal(SIGPIPE, SIG_IGN);
	kvlog_open(s->host, (enum kvlog_level)kvlog_level_of(s->log_level));
	base = event_base_new();
	n = node_new(base, s);
	if (n == NULL)
		return EXIT_LISTEN;
	term = evsignal_new(base, SIGTERM, on_signal, n);
	intr = evsignal_new(base, SIGINT, on_signal, n);
	event_add(term, NULL);
	event_add(intr, NULL);
	kvlog(KVLOG_INFO, "listening", "addr=%s caller=%d operator=%d peer=%d",
	    s->addr, (int)s->caller_port, (int)s->operator_port,
	    (int)s->peer_port);
	event_base_dispatch(base);
	event_free(term);
	event_free(intr);
	node_delete(n);
	event_base_free(base);
	kvlog_close();
	return EXIT_OK;
}

struct cell_daemon {
	struct adapter *adapter;
	const char *path;
};

static void
on_cell_signal(evutil_socket_t sig, short what, void *arg)
{
	struct cell_daemon *d = arg;

	(void)sig;
	(void)what;
	adapter_leave(d->adapter);
}

/*
 * Checks the settings file and logs the result. Nothing is applied: addresses
 * and limits are fixed for the lifetime of a process.
 */
static void
on_reload(evutil_socket_t sig, short what, void *arg)
{
	const struct cell_daemon *d = arg;
	struct cell_settings s;
	int rc = read_settings(d->path, parse_cell_settings, &s);

	(void)sig;
	(void)what;
	kvlog(KVLOG_INFO, "reload", "file=%s result=%s", d->path,
	    cc_strerror(rc));
}

static int
run_cell(const struct cell_settings *s, const char *path)
{
	struct event_base *base;
	struct event *term, *intr, *hup;
	struct cell_daemon d = {.path = path};

	signal(SIGPIPE, SIG_IGN);
	kvlog_open(s->host, (enum kvlog_level)kvlog_level_of(s->log_level));
	base = event_base_new();
	d.adapter = adapter_new(base, s);
	if (d.adapter == NULL)
		return EXIT_LISTEN;
	term = evsignal_new(base, SIGTERM, on_cell_signal, &d);
	intr = evsignal_new(base, SIGINT, on_cell_signal, &d);
	hup = evsignal_new(base, SIGHUP, on_reload, &d);
	event_add(term, NULL);
	event_add(intr, NULL);
	event_add(hup, NULL);
	kvlog(KVLOG_INFO, "started", "version=%s addr=%s callers=%s store=%s",
	    VERSION, s->addr, s->callers, s->store);
	event_base_dispatch(base);
	kvlog(KVLOG_INFO, "stopped", "version=%s", VERSION);
	event_free(term);
	event_free(intr);
	event_free(hup);
	adapter_delete(d.adapter);
	event_base_free(base);
	kvlog_close();
	return EXIT_OK;
}

static int
cell_main(const char *path, bool check)
{
	struct cell_settings s;

	if (path == NULL) {
		fprintf(stderr, "celerycartd: needs -c FILE or %s\n",
		    SETTINGS_VARIABLE);
		return EXIT_USAGE;
	}
	if (read_settings(path, parse_cell_settings, &s) != CC_OK)
		return EXIT_SETTINGS;
	if (check) {
		printf("%s: no findings\n", path);
		return EXIT_OK;
	}
	return run_cell(&s, path);
}

int
main(int argc, char **argv)
{
	struct arg_file *conf =
	    arg_file0("c", "config", "FILE", "settings in YAML");
	struct arg_lit *cell =
	    arg_lit0(NULL, "cell", "serve a cell on the platform");
	struct arg_lit *check =
	    arg_lit0(NULL, "check", "check the settings and end");
	struct arg_lit *help = arg_lit0("h", "help", "print this and end");
	struct arg_lit *version =
	    arg_lit0(NULL, "version", "print the version and end");
	struct arg_end *end = arg_end(8);
	void *table[] = {conf, cell, check, help, version, end};
	struct settings s;
	int errors = arg_parse(argc, argv, table), rc;

	if (help->count > 0) {
		printf("usage: celerycartd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		printf("example: celerycartd -c settings.yaml --check\n");
		rc = EXIT_OK;
	} else if (version->count > 0) {
		printf("celerycartd %s\n", VERSION);
		rc = EXIT_OK;
	} else if (errors == 0 && cell->count > 0) {
		rc = cell_main(conf->count > 0 ? conf->filename[0]
					       : getenv(SETTINGS_VARIABLE),
		    check->count > 0);
	} else if (errors > 0 || conf->count == 0) {
		arg_print_errors(stderr, end, "celerycartd");
		fprintf(stderr, "celerycartd: needs -c FILE; try --help\n");
		rc = EXIT_USAGE;
	} else if (read_settings(conf->filename[0], parse_settings, &s) !=
	    CC_OK) {
		rc = EXIT_SETTINGS;
	} else if (check->count > 0) {
		printf("%s: no findings\n", conf->filename[0]);
		rc = EXIT_OK;
	} else {
		rc = run(&s);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
