/*
 * proc_stream.c -- a caller that reads a streamed answer incrementally.
 *
 * Each query reparses all bytes received so far, as answers in tests are
 * small.
 */
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "proc_stream.h"

#define READ_SIZE 4096 /* bytes */

void
stream_open(struct stream *s, const char *addr, const char *program, int seq,
    const char *text, int max_tokens)
{
	char body[1024], head[2048];

	memset(s, 0, sizeof(*s));
	(void)snprintf(body, sizeof(body),
	    "{\"seq\":%d,\"service\":\"smokehouse\",\"stream\":true,\"input\":"
	    "{\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}],"
	    "\"max_tokens\":%d}}",
	    seq, text, max_tokens);
	(void)snprintf(head, sizeof(head),
	    "POST /v1/programs/%s/calls HTTP/1.0\r\n"
	    "Authorization: Bearer " CLUSTER_CALLER_KEY "\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    program, strlen(body), body);
	s->fd = http_open(addr, head);
	assert_int_not_equal(s->fd, -1);
	s->buf = calloc(1, 1);
	assert_non_null(s->buf);
}

/* Waits for the next data or the close. */
static void
read_some(struct stream *s)
{
	struct pollfd p = {s->fd, POLLIN, 0};
	ssize_t n;

	if (poll(&p, 1, PROC_LIMIT_MS) <= 0)
		fail_msg("stream silent after: %s", s->buf);
	s->buf = realloc(s->buf, s->len + READ_SIZE + 1);
	assert_non_null(s->buf);
	n = recv(s->fd, s->buf + s->len, READ_SIZE, 0);
	s->closed = n <= 0;
	if (n > 0)
		s->len += (size_t)n;
	s->buf[s->len] = '\0';
}

/* Parses the next complete JSON event at *at and moves past it; NULL if none.
 */
static json_t *
next_event(const char **at)
{
	const char *from, *end;
	json_t *j;

	while ((from = strstr(*at, "data: ")) != NULL &&
	       (end = strstr(from, "\n\n")) != NULL) {
		*at = end + 2;
		from += strlen("data: ");
		j = json_loadb(from, (size_t)(end - from), 0, NULL);
		if (j != NULL)
			return j;
	}
	return NULL;
}

static size_t
count_texts(const struct stream *s)
{
	const char *at = s->buf;
	size_t n = 0;
	json_t *j;

	while ((j = next_event(&at)) != NULL) {
		if (json_object_get(j, "text") != NULL)
			n++;
		json_decref(j);
	}
	return n;
}

void
stream_until(struct stream *s, size_t n)
{
	while (!s->closed && count_texts(s) < n)
		read_some(s);
}

void
stream_drain(struct stream *s)
{
	while (!s->closed)
		read_some(s);
}

void
stream_close(struct stream *s)
{
	close(s->fd);
	free(s->buf);
	memset(s, 0, sizeof(*s));
}

char *
stream_text(const struct stream *s)
{
	const char *at = s->buf, *text;
	char *all = calloc(1, s->len + 1);
	json_t *j;

	assert_non_null(all);
	while ((j = next_event(&at)) != NULL) {
		text = json_string_value(json_object_get(j, "text"));
		if (text != NULL)
			strncat(all, text, s->len - strlen(all));
		json_decref(j);
	}
	return all;
}

json_t *
stream_last(const struct stream *s)
{
	const char *at = s->buf;
	json_t *j, *last = NULL;

	while ((j = next_event(&at)) != NULL) {
		json_decref(last);
		last = j;
	}
	at = strstr(s->buf, "\r\n\r\n");
	if (last == NULL && at != NULL)
		last = json_loads(at + 4, 0, NULL);
	return last;
}

const char *
stream_error(const struct stream *s, char buf[64])
{
	json_t *j = stream_last(s);
	const char *type = json_string_value(
	    json_object_get(json_object_get(j, "error"), "type"));

	(void)snprintf(buf, 64, "%s", type != NULL ? type : "");
	json_decref(j);
	return buf;
}

void
engines_set(struct cluster *c, const char *field, json_int_t n)
{
	int i;

	for (i = 0; i < c->conf.engines; i++)
		if (proc_alive(c->engine[i].proc))
			fault_set(c->engine[i].fault, "{s:I}", field, n);
}

size_t
engines_run_count(struct cluster *c, const char *program, json_int_t seq)
{
	size_t n = 0;
	int i;

	for (i = 0; i < c->conf.engines; i++)
		if (proc_alive(c->engine[i].proc))
			n += fault_run_count(c->engine[i].fault, program, seq);
	return n;
}

struct expected_runs {
	struct cluster *c;
	const char *program;
	json_int_t seq;
	size_t n;
};

static bool
enough_runs(void *arg)
{
	const struct expected_runs *w = arg;

	return engines_run_count(w->c, w->program, w->seq) >= w->n;
}

void
engines_until(struct cluster *c, const char *program, int seq, size_t n)
{
	struct expected_runs w = {c, program, seq, n};

	proc_until("runs by the engines", enough_runs, &w);
}

struct unit *
engine_of(struct cluster *c, const char *program, int seq)
{
	int i;

	engines_until(c, program, seq, 1);
	for (i = 0; i < c->conf.engines; i++)
		if (fault_run_count(c->engine[i].fault, program, seq) > 0)
			return &c->engine[i];
	return NULL;
}

void
cluster_apply_with_line(struct cluster *c, const char *line)
{
	char text[4096], all[8192] = "";
	const char *at = text, *name;

	cluster_text(c, text, sizeof(text));
	while ((name = strstr(at, "  kind:")) != NULL) {
		strncat(all, at, (size_t)(name - at));
		strncat(all, line, sizeof(all) - strlen(all) - 1);
		strncat(all, "  kind:", sizeof(all) - strlen(all) - 1);
		at = name + strlen("  kind:");
	}
	strncat(all, at, sizeof(all) - strlen(all) - 1);
	cluster_apply(c, 0, all);
}
