/*
 * story.c -- the story of one request, from the log lines of several daemons.
 *
 * All lines are read once, as standard input cannot be read twice, and kept
 * parsed.  The request's last line tells its program, its endpoint and how
 * long it took; then those lines are printed, in order of time, that name the
 * request, or that lie in its time and tell what a daemon believed of its
 * program, its endpoint, the store or a peer.  A line may have a prefix before
 * its JSON, such as the time and host that a log collector puts there.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define DAEMON_NAME_BYTES 48
/* Beliefs of this long before a request still explain it: longer than an
 * endpoint is left out after it failed. */
#define CONTEXT_BEFORE_MS 3000

struct log_line {
	char daemon[DAEMON_NAME_BYTES]; /* the daemon */
	json_t *json;
	long long at_ms; /* of the day */
	size_t read_order; /* as read: lines of one time keep their order */
};

struct timeline {
	struct ctl *c;
	const char *request_id;
	struct log_line *lines;
	size_t nlines, capacity;
	const char *program; /* of the request; NULL: none */
	const char *endpoint;
	const char *daemon; /* of the daemon that ran it */
	long long start_ms, end_ms;
	size_t nunparsed;
};

/* Milliseconds of the day of "....T10:27:14.066959Z"; -1: no such time. */
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

/* The last word of the prefix names the daemon; without one the file does. */
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
add_line(struct timeline *s, const char *file, const char *text)
{
	const char *brace = strchr(text, '{');
	struct log_line *l, *more;
	size_t capacity;

	if (brace == NULL)
		return 0;
	if (s->nlines == s->capacity) {
		capacity = s->capacity == 0 ? 1024 : 2 * s->capacity;
		more = realloc(s->lines, capacity * sizeof(*more));
		if (more == NULL)
			return MU_E_NOMEM;
		s->lines = more;
		s->capacity = capacity;
	}
	l = &s->lines[s->nlines];
	memset(l, 0, sizeof(*l));
	l->json = json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL);
	if (l->json == NULL || (l->at_ms = parse_time_ms(l->json)) < 0) {
		s->nunparsed++;
		json_decref(l->json);
		return 0;
	}
	set_daemon_name(l, file, text, (size_t)(brace - text));
	l->read_order = s->nlines++;
	return 0;
}

static int
read_log(struct timeline *s, const char *file)
{
	bool is_stdin = strcmp(file, "-") == 0;
	FILE *f = is_stdin ? stdin : fopen(file, "re");
	char *text = NULL;
	size_t size = 0;
	int rc = 0;

	if (f == NULL) {
		(void)fprintf(
		    s->c->err, "musherctl: %s: %s\n", file, strerror(errno));
		return CTL_FAILED;
	}
	while (rc == 0 && getline(&text, &size, f) >= 0)
		rc = add_line(s, file, text);
	if (rc == 0 && ferror(f))
		rc = MU_E_SYSTEM;
	if (rc != 0)
		(void)fprintf(
		    s->c->err, "musherctl: %s cannot be read\n", file);
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

/* Finds the request's last line; false when there is none. */
static bool
find_end_event(struct timeline *s)
{
	const struct log_line *l;
	size_t i;

	for (i = 0; i < s->nlines; i++) {
		l = &s->lines[i];
		if (!event_is(l, "end") ||
		    !has_string(l, "request", s->request_id))
			continue;
		s->program = nonempty_string(l->json, "program");
		s->endpoint = nonempty_string(l->json, "endpoint");
		s->daemon = l->daemon;
		s->end_ms = l->at_ms;
		s->start_ms = l->at_ms - ctl_json_int(l->json, "ms");
		return true;
	}
	return false;
}

/* What the daemon that ran it believed of the world. */
static bool
is_context_event(const struct timeline *s, const struct log_line *l)
{
	static const char *const events[] = {"lost", "regained", "peer_up",
	    "peer_down", "config_in_force", "started", "leaving", "stopped",
	    "reloaded", NULL};
	const char *const *e;

	if (strcmp(l->daemon, s->daemon) != 0)
		return false;
	if (has_string(l, "endpoint", s->endpoint))
		return true;
	for (e = events; *e != NULL; e++)
		if (event_is(l, *e))
			return true;
	return false;
}

static bool
is_relevant(const struct timeline *s, const struct log_line *l)
{
	if (has_string(l, "request", s->request_id) ||
	    has_string(l, "turn", s->request_id))
		return true;
	if (l->at_ms < s->start_ms - CONTEXT_BEFORE_MS || l->at_ms > s->end_ms)
		return false;
	if (event_is(l, "end"))
		return false;
	if (l->at_ms >= s->start_ms && has_string(l, "program", s->program))
		return true;
	return is_context_event(s, l);
}

static void
print_line(struct timeline *s, const struct log_line *l)
{
	static const char *const omitted[] = {
	    "time", "level", "module", "event", NULL};
	long long offset_ms = l->at_ms - s->start_ms;
	const char *const *k;
	const char *key;
	json_t *fields, *v;
	char *text;

	(void)fprintf(s->c->out, "%+8lld ms  ", offset_ms);
	ctl_puts(s->c->out, l->daemon);
	(void)fputs("  ", s->c->out);
	ctl_puts(s->c->out, ctl_json_string(l->json, "module"));
	(void)fputs(".", s->c->out);
	ctl_puts(s->c->out, ctl_json_string(l->json, "event"));
	fields = json_copy(l->json);
	for (k = omitted; *k != NULL; k++)
		(void)json_object_del(fields, *k);
	json_object_foreach (fields, key, v) {
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		(void)fputs(" ", s->c->out);
		ctl_puts(s->c->out, key);
		(void)fputs("=", s->c->out);
		ctl_puts(s->c->out, text != NULL ? text : "?");
		free(text);
	}
	json_decref(fields);
	(void)fputc('\n', s->c->out);
}

static int
print_timeline(struct timeline *s)
{
	json_t *events_json = json_array();
	size_t i;

	for (i = 0; i < s->nlines; i++) {
		if (!is_relevant(s, &s->lines[i]))
			continue;
		if (s->c->json)
			(void)json_array_append(events_json, s->lines[i].json);
		else
			print_line(s, &s->lines[i]);
	}
	(void)ctl_print_json(s->c, events_json);
	json_decref(events_json);
	return CTL_OK;
}

int
ctl_timeline(
    struct ctl *c, const char *request_id, char *const *files, size_t nfiles)
{
	struct timeline s = {.c = c, .request_id = request_id};
	int rc = CTL_OK;
	size_t i;

	for (i = 0; i < nfiles && rc == CTL_OK; i++)
		rc = read_log(&s, files[i]);
	if (rc == CTL_OK && s.nlines > 0)
		qsort(s.lines, s.nlines, sizeof(*s.lines), compare_by_time);
	if (rc == CTL_OK && s.nunparsed > 0)
		(void)fprintf(c->err, "musherctl: %zu lines are no log lines\n",
		    s.nunparsed);
	if (rc == CTL_OK && !find_end_event(&s)) {
		(void)fprintf(c->err,
		    "musherctl: no line tells the end of request %s\n",
		    request_id);
		rc = CTL_FAILED;
	}
	if (rc == CTL_OK)
		rc = print_timeline(&s);
	for (i = 0; i < s.nlines; i++)
		json_decref(s.lines[i].json);
	free(s.lines);
	return rc;
}
