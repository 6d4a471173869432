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

#define SOURCE_BYTES 48
/* Beliefs of this long before a request still explain it: longer than an
 * endpoint is left out after it failed. */
#define BEFORE_MS 3000

struct line {
	char source[SOURCE_BYTES]; /* the daemon */
	json_t *json;
	long long at_ms; /* of the day */
	size_t number; /* as read: lines of one time keep their order */
};

struct story {
	struct ctl *c;
	const char *id;
	struct line *line;
	size_t n, room;
	const char *program; /* of the request; NULL: none */
	const char *endpoint;
	const char *source; /* of the daemon that ran it */
	long long from_ms, to_ms;
	size_t unreadable;
};

/* Milliseconds of the day of "....T10:27:14.066959Z"; -1: no such time. */
static long long
time_of(const json_t *json)
{
	const char *text = ctl_string(json, "time");
	unsigned h, m, s, us = 0;
	const char *t = strchr(text, 'T');

	if (t == NULL || sscanf(t, "T%2u:%2u:%2u.%6u", &h, &m, &s, &us) < 3)
		return -1;
	return ((long long)h * 3600 + m * 60 + s) * 1000 + us / 1000;
}

/* The last word of the prefix names the daemon; without one the file does. */
static void
source_of(struct line *l, const char *file, const char *prefix, size_t n)
{
	size_t from;

	while (n > 0 && (prefix[n - 1] == ' ' || prefix[n - 1] == '\t'))
		n--;
	for (from = n; from > 0; from--)
		if (prefix[from - 1] == ' ' || prefix[from - 1] == '\t')
			break;
	if (n > 0)
		(void)snprintf(l->source, sizeof(l->source), "%.*s",
		    (int)(n - from), prefix + from);
	else
		(void)snprintf(l->source, sizeof(l->source), "%s", file);
}

static int
add_line(struct story *s, const char *file, const char *text)
{
	const char *brace = strchr(text, '{');
	struct line *l, *more;
	size_t room;

	if (brace == NULL)
		return 0;
	if (s->n == s->room) {
		room = s->room == 0 ? 1024 : 2 * s->room;
		more = realloc(s->line, room * sizeof(*more));
		if (more == NULL)
			return MU_E_NOMEM;
		s->line = more;
		s->room = room;
	}
	l = &s->line[s->n];
	memset(l, 0, sizeof(*l));
	l->json = json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL);
	if (l->json == NULL || (l->at_ms = time_of(l->json)) < 0) {
		s->unreadable++;
		json_decref(l->json);
		return 0;
	}
	source_of(l, file, text, (size_t)(brace - text));
	l->number = s->n++;
	return 0;
}

static int
read_log(struct story *s, const char *file)
{
	bool is_stdin = strcmp(file, "-") == 0;
	FILE *f = is_stdin ? stdin : fopen(file, "re");
	char *text = NULL;
	size_t size = 0;
	int rc = 0;

	if (f == NULL) {
		(void)fprintf(
		    s->c->err, "musherctl: %s: %s\n", file, strerror(errno));
		return CTL_REFUSED;
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
	return rc == 0 ? CTL_OK : CTL_REFUSED;
}

static int
by_time(const void *a, const void *b)
{
	const struct line *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

static bool
names(const struct line *l, const char *key, const char *value)
{
	const json_t *v = json_object_get(l->json, key);

	return value != NULL && json_is_string(v) &&
	       strcmp(json_string_value(v), value) == 0;
}

static bool
is_event(const struct line *l, const char *event)
{
	return names(l, "event", event);
}

static const char *
text_or_null(const json_t *o, const char *key)
{
	const char *v = json_string_value(json_object_get(o, key));

	return v != NULL && *v != '\0' ? v : NULL;
}

/* Finds the request's last line; false when there is none. */
static bool
find_end(struct story *s)
{
	const struct line *l;
	size_t i;

	for (i = 0; i < s->n; i++) {
		l = &s->line[i];
		if (!is_event(l, "end") || !names(l, "request", s->id))
			continue;
		s->program = text_or_null(l->json, "program");
		s->endpoint = text_or_null(l->json, "endpoint");
		s->source = l->source;
		s->to_ms = l->at_ms;
		s->from_ms = l->at_ms - ctl_int(l->json, "ms");
		return true;
	}
	return false;
}

/* What the daemon that ran it believed of the world. */
static bool
is_belief(const struct story *s, const struct line *l)
{
	static const char *const events[] = {"lost", "regained", "peer_up",
	    "peer_down", "config_in_force", "started", "leaving", "stopped",
	    "reloaded", NULL};
	const char *const *e;

	if (strcmp(l->source, s->source) != 0)
		return false;
	if (names(l, "endpoint", s->endpoint))
		return true;
	for (e = events; *e != NULL; e++)
		if (is_event(l, *e))
			return true;
	return false;
}

static bool
belongs(const struct story *s, const struct line *l)
{
	if (names(l, "request", s->id) || names(l, "turn", s->id))
		return true;
	if (l->at_ms < s->from_ms - BEFORE_MS || l->at_ms > s->to_ms)
		return false;
	if (is_event(l, "end"))
		return false;
	if (l->at_ms >= s->from_ms && names(l, "program", s->program))
		return true;
	return is_belief(s, l);
}

static void
print_line(struct story *s, const struct line *l)
{
	static const char *const shown[] = {
	    "time", "level", "module", "event", NULL};
	long long after = l->at_ms - s->from_ms;
	const char *const *k;
	const char *key;
	json_t *rest, *v;
	char *text;

	(void)fprintf(s->c->out, "%+8lld ms  ", after);
	ctl_puts(s->c->out, l->source);
	(void)fputs("  ", s->c->out);
	ctl_puts(s->c->out, ctl_string(l->json, "module"));
	(void)fputs(".", s->c->out);
	ctl_puts(s->c->out, ctl_string(l->json, "event"));
	rest = json_copy(l->json);
	for (k = shown; *k != NULL; k++)
		(void)json_object_del(rest, *k);
	json_object_foreach (rest, key, v) {
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		(void)fputs(" ", s->c->out);
		ctl_puts(s->c->out, key);
		(void)fputs("=", s->c->out);
		ctl_puts(s->c->out, text != NULL ? text : "?");
		free(text);
	}
	json_decref(rest);
	(void)fputc('\n', s->c->out);
}

static int
print_story(struct story *s)
{
	json_t *all = json_array();
	size_t i;

	for (i = 0; i < s->n; i++) {
		if (!belongs(s, &s->line[i]))
			continue;
		if (s->c->json)
			(void)json_array_append(all, s->line[i].json);
		else
			print_line(s, &s->line[i]);
	}
	(void)ctl_print_json(s->c, all);
	json_decref(all);
	return CTL_OK;
}

int
ctl_story(struct ctl *c, const char *id, char *const *files, size_t nfiles)
{
	struct story s = {.c = c, .id = id};
	int rc = CTL_OK;
	size_t i;

	for (i = 0; i < nfiles && rc == CTL_OK; i++)
		rc = read_log(&s, files[i]);
	if (rc == CTL_OK && s.n > 0)
		qsort(s.line, s.n, sizeof(*s.line), by_time);
	if (rc == CTL_OK && s.unreadable > 0)
		(void)fprintf(c->err, "musherctl: %zu lines are no log lines\n",
		    s.unreadable);
	if (rc == CTL_OK && !find_end(&s)) {
		(void)fprintf(c->err,
		    "musherctl: no line tells the end of request %s\n", id);
		rc = CTL_REFUSED;
	}
	if (rc == CTL_OK)
		rc = print_story(&s);
	for (i = 0; i < s.n; i++)
		json_decref(s.line[i].json);
	free(s.line);
	return rc;
}
