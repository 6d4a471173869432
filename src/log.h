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

/* Starts logging to standard output; level by name, NULL means info. */
int mu_log_open(const char *level);
void mu_log_close(void);

/*
 * Writes one line, or leaves it out when too many were written in this second
 * or the output would have to be waited for: time, level, module, event and the
 * fields given in the notation of json_pack(), for instance "{s:s,s:I}".  fmt
 * may be NULL.
 */
void mu_log(enum mu_log_level level, const char *module, const char *event,
    const char *fmt, ...);

/* Writes a line about a failure, with its type, outcome and message. */
void mu_log_error(enum mu_log_level level, const char *module,
    const char *event, const struct mu_error *e);

#endif
