/*
 * log.h -- JSON-line logs through log4c.
 */
#ifndef MU_LOG_H
#define MU_LOG_H

#include "musher.h"

enum mu_log_level {
	MU_LOG_DEBUG,
	MU_LOG_INFO,
	MU_LOG_WARN,
	MU_LOG_ERROR
};

/* Starts logging to standard output.  level is a name; NULL means info. */
int mu_log_open(const char *level);
void mu_log_close(void);

/*
 * Writes one line with time, level, module, event and the given fields; fmt
 * is a json_pack() format such as "{s:s,s:I}", or NULL.  Never blocks: the line
 * is dropped when the rate limit is exceeded or the output is not writable.
 */
void mu_log(enum mu_log_level level, const char *module, const char *event,
    const char *fmt, ...);

/* Logs an error with its type, outcome, message and retry hint. */
void mu_log_error(enum mu_log_level level, const char *module,
    const char *event, const struct mu_error *e);

#endif
