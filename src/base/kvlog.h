/** @file Logs: one line of key=value pairs for each event. */
#ifndef KVLOG_H
#define KVLOG_H

enum kvlog_level {
	KVLOG_ERROR,
	KVLOG_WARN,
	KVLOG_INFO,
	KVLOG_DEBUG
};

/** Opens the log on standard output; @p host is put on every line. */
int kvlog_open(const char *host, enum kvlog_level level);
void kvlog_close(void);
/**
 * Writes one event. @p fmt gives the pairs, such as "task=%s wait_ms=%d".
 * Repeats of one event past 50 a second are counted and left out, but for
 * errors.
 */
void kvlog(enum kvlog_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/** Level of a name such as "info", or CC_EINVAL. */
int kvlog_level_of(const char *name);

#endif
