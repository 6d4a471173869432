/*
 * timeline.c -- the events of one request, from the logs of several daemons.
 *
 * All log lines are parsed and kept, as standard input cannot be read twice.
 * The request's "end" event gives its program, endpoint and duration.  Then the
 * lines are printed in order of time that name the request, those of its
 * program while it lasted, and state changes of the endpoint, the store, the
 * peers and the daemon itself, as logged by the daemon that ran it.  Text
 * before the JSON of a line, such as the time and host that a log collector
 * adds, is accepted.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define DAEMON_NAME_BYTES 48
/* State changes this long before a request can still explain it: covers the
 * back-off of a failed endpoint, except the longest one (4 s). */
#define CONTEXT_BEFORE_MS 3000

struct log_line {
	char daemon[DAEMON_NAME_BYTES];
	json_t *json;
	long long at_ms; /* since midnight */
	size_t read_order; /* orders lines with equal times */
};

struct timeline {
	struct ctl *c;
	const char *request_id;
	struct log_line *lines;
	size_t nlines, capacity;
	const char *program; /* of the request; NULL: none */
	const char *endpoint;
	const char *daemon; /* that ran the request */
	long long start_ms, end_ms;
	size_t nunparsed; /* lines */
};

/* Parses "....T10:27:14.066959Z" to milliseconds since midnight; -1 if bad. */
static long long
parse_time_ms(const json_t *json)
{
	const char *text = ctl_json_string(json, "time");
	unsigned h, m, s, us = 0;
	const char *t = strchr(text, 'T');

	if (t == NULL || sscanf(t, "T%2u:%2u:%2u.%6u", &h, &m, &s, &us) < 3)
		return -1;
	return ((long long)h * 3600 + m * 60 + s) * 1000 + us / 1000;
}

/* Names the daemon by the last word of the prefix, or else by the file. */
static void
set_daemon_name(
    struct log_line *l, const char *file, const char *prefix, size_t n)
{
	size_t from;

	while (n > 0 && (prefix[n - 1] == ' ' || prefix[n - 1] == '\t'))
		n--;
	for (from = n; from > 0; from--)
		if (prefix[from - 1] == ' ' || prefix[from - 1] == '\t')
			break;
	if (n > 0)
		(void)snprintf(l->daemon, sizeof(l->daemon), "%.*s",
		    (int)(n - from), prefix + from);
	else
		(void)snprintf(l->daemon, sizeof(l->daemon), "%s", file);
}

static int
add_line(struct timeline *tl, const char *file, const char *text)
{
	const char *brace = strchr(text, '{');
	struct log_line *l, *more;
	size_t capacity;

	if (brace == NULL)
		return 0;
	if (tl->nlines == tl->capacity) {
		capacity = tl->capacity == 0 ? 1024 : 2 * tl->capacity;
		more = realloc(tl->lines, capacity * sizeof(*more));
		if (more == NULL)
			return MU_E_NOMEM;
		tl->lines = more;
		tl->capacity = capacity;
	}
	l = &tl->lines[tl->nlines];
	memset(l, 0, sizeof(*l));
	l->json = json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL);
	if (l->json == NULL || (l->at_ms = parse_time_ms(l->json)) < 0) {
		tl->nunparsed++;
		json_decref(l->json);
		return 0;
	}
	set_daemon_name(l, file, text, (size_t)(brace - text));
	l->read_order = tl->nlines++;
	return 0;
}

static int
read_log(struct timeline *tl, const char *file)
{
	bool is_stdin = strcmp(file, "-") == 0;
	FILE *f = is_stdin ? stdin : fopen(file, "re");
	char *text = NULL;
	size_t size = 0;
	int rc = 0;

	if (f == NULL) {
		(void)fprintf(
		    tl->c->err, "musherctl: %s: %s\n", file, strerror(errno));
		return CTL_FAILED;
	}
	while (rc == 0 && getline(&text, &size, f) >= 0)
		rc = add_line(tl, file, text);
	if (rc == 0 && ferror(f))
		rc = MU_E_SYSTEM;
	if (rc != 0)
		(void)fprintf(
		    tl->c->err, "musherctl: %s cannot be read\n", file);
	free(text);
	if (!is_stdin)
		(void)fclose(f);
	return rc == 0 ? CTL_OK : CTL_FAILED;
}

static int
compare_by_time(const void *a, const void *b)
{
	const struct log_line *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->read_order < y->read_order ? -1
					     : x->read_order > y->read_order;
}

static bool
has_string(const struct log_line *l, const char *key, const char *value)
{
	const json_t *v = json_object_get(l->json, key);

	return value != NULL && json_is_string(v) &&
	       strcmp(json_string_value(v), value) == 0;
}

static bool
event_is(const struct log_line *l, const char *event)
{
	return has_string(l, "event", event);
}

static const char *
nonempty_string(const json_t *o, const char *key)
{
	const char *v = json_string_value(json_object_get(o, key));

	return v != NULL && *v != '\0' ? v : NULL;
}

/* Reads the request's "end" event; false when there is none. */
static bool
find_end_event(struct timeline *tl)
{
	const struct log_line *l;
	size_t i;

	for (i = 0; i < tl->nlines; i++) {
		l = &tl->lines[i];
		if (!event_is(l, "end") ||
		    !has_string(l, "request", tl->request_id))
			continue;
		tl->program = nonempty_string(l->json, "program");
		tl->endpoint = nonempty_string(l->json, "endpoint");
		tl->daemon = l->daemon;
		tl->end_ms = l->at_ms;
		tl->start_ms = l->at_ms - ctl_json_int(l->json, "ms");
		return true;
	}
	return false;
}

/* True for state changes logged by the daemon that ran the request. */
static bool
is_context_event(const struct timeline *tl, const struct log_line *l)
{
	static const char *const events[] = {"lost", "regained", "peer_up",
	    "peer_down", "config_in_force", "started", "leaving", "stopped",
	    "reloaded", NULL};
	const char *const *e;

	if (strcmp(l->daemon, tl->daemon) != 0)
		return false;
	if (has_string(l, "endpoint", tl->endpoint))
		return true;
	for (e = events; *e != NULL; e++)
		if (event_is(l, *e))
			return true;
	return false;
}

static bool
is_relevant(const struct timeline *tl, const struct log_line *l)
{
	if (has_string(l, "request", tl->request_id) ||
	    has_string(l, "turn", tl->request_id))
		return true;
	if (l->at_ms < tl->start_ms - CONTEXT_BEFORE_MS ||
	    l->at_ms > tl->end_ms)
		return false;
	if (event_is(l, "end"))
		return false;
	if (l->at_ms >= tl->start_ms && has_string(l, "program", tl->program))
		return true;
	return is_context_event(tl, l);
}

static void
print_line(struct timeline *tl, const struct log_line *l)
{
	static const char *const omitted[] = {
	    "time", "level", "module", "event", NULL};
	long long offset_ms = l->at_ms - tl->start_ms;
	const char *const *k;
	const char *key;
	json_t *fields, *v;
	char *text;

	(void)fprintf(tl->c->out, "%+8lld ms  ", offset_ms);
	ctl_puts(tl->c->out, l->daemon);
	(void)fputs("  ", tl->c->out);
	ctl_puts(tl->c->out, ctl_json_string(l->json, "module"));
	(void)fputs(".", tl->c->out);
	ctl_puts(tl->c->out, ctl_json_string(l->json, "event"));
	fields = json_copy(l->json);
	for (k = omitted; *k != NULL; k++)
		(void)json_object_del(fields, *k);
	json_object_foreach (fields, key, v) {
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		(void)fputs(" ", tl->c->out);
		ctl_puts(tl->c->out, key);
		(void)fputs("=", tl->c->out);
		ctl_puts(tl->c->out, text != NULL ? text : "?");
		free(text);
	}
	json_decref(fields);
	(void)fputc('\n', tl->c->out);
}

static int
print_timeline(struct timeline *tl)
{
	json_t *events_json = json_array();
	size_t i;

	for (i = 0; i < tl->nlines; i++) {
		if (!is_relevant(tl, &tl->lines[i]))
			continue;
		if (tl->c->json)
			(void)json_array_append(events_json, tl->lines[i].json);
		else
			print_line(tl, &tl->lines[i]);
	}
	(void)ctl_print_json(tl->c, events_json);
	json_decref(events_json);
	return CTL_OK;
}

int
ctl_timeline(
    struct ctl *c, const char *request_id, char *const *files, size_t nfiles)
{
	struct timeline tl = {.c = c, .request_id = request_id};
	int rc = CTL_OK;
	size_t i;

	for (i = 0; i < nfiles && rc == CTL_OK; i++)
		rc = read_log(&tl, files[i]);
	if (rc == CTL_OK && tl.nlines > 0)
		qsort(tl.lines, tl.nlines, sizeof(*tl.lines), compare_by_time);
	if (rc == CTL_OK && tl.nunparsed > 0)
		(void)fprintf(c->err, "musherctl: %zu lines are no log lines\n",
		    tl.nunparsed);
	if (rc == CTL_OK && !find_end_event(&tl)) {
		(void)fprintf(c->err,
		    "musherctl: no line tells the end of request %s\n",
		    request_id);
		rc = CTL_FAILED;
	}
	if (rc == CTL_OK)
		rc = print_timeline(&tl);
	for (i = 0; i < tl.nlines; i++)
		json_decref(tl.lines[i].json);
	free(tl.lines);
	return rc;
}
