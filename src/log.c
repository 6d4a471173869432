/*
 * log.c -- JSON-line logs through log4c.
 *
 * Lines are built with jansson and passed to a log4c category whose layout
 * outputs them unchanged; log4c filters them by priority.  log4c has a single
 * event buffer per category, so a lock keeps concurrent lines apart.
 *
 * Logging never blocks: a line is dropped when the pipe is full.  The number
 * of lines per second is limited, and debug and info lines may use only part
 * of it, so that warnings and errors are dropped last.  The next line that is
 * written reports how many were dropped.
 */
#include <jansson.h>
#include <log4c.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "log.h"

#define CATEGORY "cardamomusher"
/* Per process; bounds the log to a few MB/s. */
#define MAX_LINES_PER_S 4000
/* Debug and info lines; ten times the call rate of a busy daemon. */
#define MAX_INFO_LINES_PER_S 2000

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static log4c_category_t *category;
static enum mu_log_level threshold = MU_LOG_INFO;
/* Guarded by lock. */
static time_t current_second; /* that lines_this_second counts */
static unsigned lines_this_second;
static unsigned long lines_dropped; /* since the last line written */

static const struct {
	const char *name;
	int priority;
} levels[] = {
    [MU_LOG_DEBUG] = {"debug", LOG4C_PRIORITY_DEBUG},
    [MU_LOG_INFO] = {"info", LOG4C_PRIORITY_INFO},
    [MU_LOG_WARN] = {"warn", LOG4C_PRIORITY_WARN},
    [MU_LOG_ERROR] = {"error", LOG4C_PRIORITY_ERROR},
};

static const char *
line_format(const log4c_layout_t *layout __attribute__((unused)),
    const log4c_logging_event_t *event)
{
	return event->evt_msg;
}

static const log4c_layout_type_t line_layout = {"json_line", line_format};

static int
line_append(log4c_appender_t *appender __attribute__((unused)),
    const log4c_logging_event_t *event)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	/* A writable pipe takes PIPE_BUF bytes without blocking. */
	if (poll(&p, 1, 0) != 1 || (p.revents & POLLOUT) == 0) {
		lines_dropped++;
		return 0;
	}
	if (fputs(event->evt_rendered_msg, stdout) < 0 ||
	    fputc('\n', stdout) == EOF)
		return -1;
	return fflush(stdout);
}

/* Applies the rate limit; counts the line as written or dropped. */
static bool
within_rate_limit(enum mu_log_level level)
{
	unsigned max =
	    level <= MU_LOG_INFO ? MAX_INFO_LINES_PER_S : MAX_LINES_PER_S;
	struct timespec ts;
	bool ok;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	pthread_mutex_lock(&lock);
	if (ts.tv_sec != current_second) {
		current_second = ts.tv_sec;
		lines_this_second = 0;
	}
	ok = lines_this_second < max;
	if (ok)
		lines_this_second++;
	else
		lines_dropped++;
	pthread_mutex_unlock(&lock);
	return ok;
}

static const log4c_appender_type_t line_appender = {
    "json_stdout", NULL, line_append, NULL};

int
mu_log_open(const char *level)
{
	log4c_appender_t *appender;
	size_t i;

	for (i = 0; level != NULL && i < sizeof(levels) / sizeof(*levels); i++)
		if (strcmp(levels[i].name, level) == 0)
			threshold = (enum mu_log_level)i;
	if (log4c_init() != 0)
		return MU_E_SYSTEM;
	log4c_layout_type_set(&line_layout);
	log4c_appender_type_set(&line_appender);
	appender = log4c_appender_get(CATEGORY);
	log4c_appender_set_type(appender, &line_appender);
	log4c_appender_set_layout(appender, log4c_layout_get("json_line"));
	log4c_layout_set_type(log4c_layout_get("json_line"), &line_layout);
	category = log4c_category_get(CATEGORY);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, levels[threshold].priority);
	return 0;
}

void
mu_log_close(void)
{
	pthread_mutex_lock(&lock);
	category = NULL;
	(void)log4c_fini();
	pthread_mutex_unlock(&lock);
}

/* Formats the wall-clock time, which is only for people. */
static void
format_time(char *buf, size_t size)
{
	struct timespec ts;
	struct tm tm;
	size_t n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	n = strftime(buf, size, "%Y-%m-%dT%H:%M:%S", &tm);
	(void)snprintf(buf + n, size - n, ".%06ldZ", ts.tv_nsec / 1000);
}

static void
write_line(enum mu_log_level level, const char *module, const char *event,
    json_t *fields)
{
	char when[48];
	json_t *line;
	char *text;

	format_time(when, sizeof(when));
	line = json_pack("{s:s,s:s,s:s,s:s}", "time", when, "level",
	    levels[level].name, "module", module, "event", event);
	if (line == NULL)
		return;
	pthread_mutex_lock(&lock);
	if (lines_dropped > 0)
		json_object_set_new(line, "lines_left_out",
		    json_integer((json_int_t)lines_dropped));
	lines_dropped = 0;
	pthread_mutex_unlock(&lock);
	if (fields != NULL)
		(void)json_object_update_missing(line, fields);
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	if (text == NULL)
		return;
	pthread_mutex_lock(&lock);
	if (category != NULL)
		log4c_category_log(
		    category, levels[level].priority, "%s", text);
	pthread_mutex_unlock(&lock);
	free(text);
}

void
mu_log(enum mu_log_level level, const char *module, const char *event,
    const char *fmt, ...)
{
	json_t *fields = NULL;
	va_list ap;

	if (level < threshold || !within_rate_limit(level))
		return;
	if (fmt != NULL) {
		va_start(ap, fmt);
		fields = json_vpack_ex(NULL, 0, fmt, ap);
		va_end(ap);
	}
	write_line(level, module, event, fields);
	json_decref(fields);
}

void
mu_log_error(enum mu_log_level level, const char *module, const char *event,
    const struct mu_error *e)
{
	mu_log(level, module, event, "{s:s,s:s,s:s,s:i}", "error",
	    mu_errname(e->type), "outcome", mu_outcome_name(e->outcome),
	    "message", e->message, "retry_after_ms", (int)e->retry_after_ms);
}
