#include "kvlog.h"

#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "err.h"
#include "../sys/clock.h"
#include "xalloc.h"

#define EVENT_LINES_PER_SECOND 200
/** Events are hashed to this many rate limits. */
#define LIMIT_SLOTS 64
#define LINE_MAX_LEN 1400

/** Rate limit of one event. */
struct rate_limit {
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
	struct rate_limit limits[LIMIT_SLOTS];
	char unsent[LINE_MAX_LEN]; /**< rest of a line written in part */
	size_t unsent_len;
	unsigned long lost_lines; /**< not written, as the pipe was full */
} logger;

static const char *
line_format(const log4c_layout_t *layout, const log4c_logging_event_t *ev)
{
	(void)layout;
	return ev->evt_msg;
}

/*
 * Writes without blocking. Keeps the rest of a line that a full pipe took only
 * in part. @return 0 when nothing was written.
 */
static int
write_bytes(const char *buf, size_t len)
{
	ssize_t n = write(STDOUT_FILENO, buf, len);

	if (n < 0)
		return 0;
	if ((size_t)n < len) {
		logger.unsent_len = len - (size_t)n;
		memcpy(logger.unsent, buf + n, logger.unsent_len);
	}
	return 1;
}

/* Writes the rest of the last line. @return whether all of it is written. */
static int
flush_unsent(void)
{
	char buf[LINE_MAX_LEN];
	size_t len = logger.unsent_len;

	if (len == 0)
		return 1;
	memcpy(buf, logger.unsent, len);
	logger.unsent_len = 0;
	if (write_bytes(buf, len))
		return logger.unsent_len == 0;
	logger.unsent_len = len;
	return 0;
}

static int
line_append(log4c_appender_t *appender, const log4c_logging_event_t *ev)
{
	char line[LINE_MAX_LEN];
	int len;

	(void)appender;
	if (!flush_unsent()) {
		logger.lost_lines++;
		return 0;
	}
	if (logger.lost_lines > 0)
		len = snprintf(line, sizeof(line), "%s lines_lost=%lu\n",
		    ev->evt_rendered_msg, logger.lost_lines);
	else
		len =
		    snprintf(line, sizeof(line), "%s\n", ev->evt_rendered_msg);
	if (len >= (int)sizeof(line)) {
		len = sizeof(line) - 1;
		line[len - 1] = '\n';
	}
	if (write_bytes(line, (size_t)len))
		logger.lost_lines = 0;
	else
		logger.lost_lines++;
	return len;
}

/* A reader of the pipe that stops reading must not block this process. */
static void
set_nonblocking(void)
{
	struct stat st;
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (fstat(STDOUT_FILENO, &st) == 0 && S_ISFIFO(st.st_mode) &&
	    flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static const log4c_layout_type_t line_layout = {"kv", line_format};
static const log4c_appender_type_t line_appender = {
    "stdout_line", NULL, line_append, NULL};

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
	set_nonblocking();
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

static struct rate_limit *
rate_limit_of(const char *event)
{
	unsigned h = 5381;
	const char *s;

	for (s = event; *s != '\0'; s++)
		h = h * 33 + (unsigned char)*s;
	return &logger.limits[h % LIMIT_SLOTS];
}

/*
 * @return whether the event may be written. @p dropped is set to the lines of
 * it that were dropped before, in a second that is over.
 */
static int
rate_limit_allow(const char *event, int64_t second, int *dropped)
{
	struct rate_limit *l = rate_limit_of(event);

	*dropped = 0;
	if (l->second != second || strcmp(l->event, event) != 0) {
		if (strcmp(l->event, event) == 0)
			*dropped = l->dropped;
		str_copy(l->event, event, sizeof(l->event));
		l->second = second;
		l->count = l->dropped = 0;
	}
	if (l->count++ < EVENT_LINES_PER_SECOND)
		return 1;
	l->dropped++;
	return 0;
}

/* A text from outside must not end the line or begin another one. */
static void
replace_controls(char *s)
{
	for (; *s != '\0'; s++)
		if ((unsigned char)*s < ' ')
			*s = '?';
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
	if (level != KVLOG_ERROR &&
	    !rate_limit_allow(event, now / 1000, &dropped))
		return;
	va_start(ap, fmt);
	vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	replace_controls(pairs);
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
