/** @file Event log: one line of key=value pairs for each event. */
#ifndef KVLOG_H
#define KVLOG_H

/** Format of a text that may be long. */
#define KVLOG_TEXT "%.64s"

enum kvlog_level {
	KVLOG_ERROR,
	KVLOG_WARN,
	KVLOG_INFO,
	KVLOG_DEBUG
};

/** Opens the log on standard output; every line names @p host.
 * @return CC_OK or CC_EINVAL */
int kvlog_open(const char *host, enum kvlog_level level);
void kvlog_close(void);
/**
 * Writes one event. @p fmt gives the pairs, such as "task=%s wait_ms=%d". A
 * control character in them is written as "?". Texts of any length are given
 * with KVLOG_TEXT, so that they leave room for the pairs after them.
 *
 * The rate is limited to 200 lines a second of each event, except at level
 * error; the next line of the event gives the number of those dropped.
 */
void kvlog(enum kvlog_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/** The level of a name such as "info"; CC_EINVAL for an unknown name. */
int kvlog_level_of(const char *name);

#endif
