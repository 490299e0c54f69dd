#include "kvlog.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "err.h"
#include "../platform/clock.h"
#include "xalloc.h"

#define REPEATS_PER_SECOND 50
#define LIMIT_SLOTS 64

struct limit {
	char event[32];
	int64_t second;
	int count;
	int dropped;
};

static const struct {
	const char *name;
	int priority;
} levels[] = {
    {"error", LOG4C_PRIORITY_ERROR},
    {"warn", LOG4C_PRIORITY_WARN},
    {"info", LOG4C_PRIORITY_INFO},
    {"debug", LOG4C_PRIORITY_DEBUG},
};

static struct {
	log4c_category_t *category;
	char host[64];
	struct limit limits[LIMIT_SLOTS];
} logger;

static const char *
line_format(const log4c_layout_t *layout, const log4c_logging_event_t *ev)
{
	(void)layout;
	return ev->evt_msg;
}

static int
line_append(log4c_appender_t *appender, const log4c_logging_event_t *ev)
{
	(void)appender;
	return fprintf(stderr, "%s\n", ev->evt_rendered_msg);
}

static const log4c_layout_type_t line_layout = {"kv", line_format};
static const log4c_appender_type_t line_appender = {
    "stderr_line", NULL, line_append, NULL};

int
kvlog_level_of(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(levels) / sizeof(levels[0]); i++)
		if (strcmp(levels[i].name, name) == 0)
			return (int)i;
	return CC_EINVAL;
}

int
kvlog_open(const char *host, enum kvlog_level level)
{
	log4c_appender_t *app;
	log4c_layout_t *lay;

	if (log4c_init() != 0)
		return CC_EINVAL;
	str_copy(logger.host, host, sizeof(logger.host));
	log4c_layout_type_set(&line_layout);
	log4c_appender_type_set(&line_appender);
	lay = log4c_layout_get("celerycart");
	log4c_layout_set_type(lay, &line_layout);
	app = log4c_appender_get("celerycart");
	log4c_appender_set_type(app, &line_appender);
	log4c_appender_set_layout(app, lay);
	logger.category = log4c_category_get("celerycart");
	log4c_category_set_appender(logger.category, app);
	log4c_category_set_additivity(logger.category, 0);
	log4c_category_set_priority(logger.category, levels[level].priority);
	return CC_OK;
}

void
kvlog_close(void)
{
	logger.category = NULL;
	log4c_fini();
}

static struct limit *
limit_of(const char *event)
{
	unsigned h = 5381;
	const char *s;

	for (s = event; *s != '\0'; s++)
		h = h * 33 + (unsigned char)*s;
	return &logger.limits[h % LIMIT_SLOTS];
}

/* Says whether the event may be written; sets how many were left out. */
static int
limit_pass(const char *event, int64_t second, int *dropped)
{
	struct limit *l = limit_of(event);

	*dropped = 0;
	if (l->second != second || strcmp(l->event, event) != 0) {
		if (strcmp(l->event, event) == 0)
			*dropped = l->dropped;
		str_copy(l->event, event, sizeof(l->event));
		l->second = second;
		l->count = l->dropped = 0;
	}
	if (l->count++ < REPEATS_PER_SECOND)
		return 1;
	l->dropped++;
	return 0;
}

void
kvlog(enum kvlog_level level, const char *event, const char *fmt, ...)
{
	char pairs[1024], line[1280];
	int64_t now = clock_wall_ms();
	int dropped = 0;
	va_list ap;

	if (logger.category == NULL ||
	    !log4c_category_is_priority_enabled(
		logger.category, levels[level].priority))
		return;
	if (level != KVLOG_ERROR && !limit_pass(event, now / 1000, &dropped))
		return;
	va_start(ap, fmt);
	vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	if (dropped > 0)
		snprintf(line, sizeof(line),
		    "t=%lld level=%s host=%s event=%s repeats_dropped=%d %s",
		    (long long)now, levels[level].name, logger.host, event,
		    dropped, pairs);
	else
		snprintf(line, sizeof(line),
		    "t=%lld level=%s host=%s event=%s %s", (long long)now,
		    levels[level].name, logger.host, event, pairs);
	log4c_category_log(logger.category, levels[level].priority, "%s", line);
}
