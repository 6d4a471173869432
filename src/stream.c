/*
 * stream.c -- stream of a call's answer while it is being generated.
 *
 * One growing buffer, a mutex and a condition variable.  Writers broadcast;
 * each reader keeps its own offset, so a slow reader delays nobody else.
 */
#include <errno.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "stream.h"
#include "wait.h"

struct mu_stream {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	char *data;
	size_t len;
	size_t size;
	bool ended;
	struct mu_reply reply;
	unsigned references;
};

struct mu_stream *
mu_stream_new(void)
{
	struct mu_stream *s = calloc(1, sizeof(*s));

	if (s == NULL)
		return NULL;
	pthread_mutex_init(&s->lock, NULL);
	mu_cond_init(&s->changed);
	s->references = 1;
	return s;
}

struct mu_stream *
mu_stream_ref(struct mu_stream *s)
{
	__atomic_add_fetch(&s->references, 1, __ATOMIC_RELAXED);
	return s;
}

void
mu_stream_unref(struct mu_stream *s)
{
	if (s == NULL)
		return;
	if (__atomic_sub_fetch(&s->references, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	pthread_cond_destroy(&s->changed);
	pthread_mutex_destroy(&s->lock);
	free(s->reply.body);
	free(s->data);
	free(s);
}

static bool
grow(struct mu_stream *s, size_t need)
{
	size_t size = s->size != 0 ? s->size : 256;
	char *p;

	while (size < need)
		size *= 2;
	if (size == s->size)
		return true;
	p = realloc(s->data, size);
	if (p == NULL)
		return false;
	s->data = p;
	s->size = size;
	return true;
}

void
mu_stream_write_line(struct mu_stream *s, const char *line)
{
	size_t len = strlen(line);

	pthread_mutex_lock(&s->lock);
	if (!s->ended && grow(s, s->len + len + 1)) {
		memcpy(s->data + s->len, line, len);
		s->data[s->len + len] = '\n';
		s->len += len + 1;
		pthread_cond_broadcast(&s->changed);
	}
	pthread_mutex_unlock(&s->lock);
}

void
mu_stream_end(struct mu_stream *s, const struct mu_reply *reply)
{
	pthread_mutex_lock(&s->lock);
	if (s->ended) {
		free(reply->body);
	} else {
		s->reply = *reply;
		s->ended = true;
		pthread_cond_broadcast(&s->changed);
	}
	pthread_mutex_unlock(&s->lock);
}

char *
mu_error_body(const struct mu_error *e)
{
	json_t *j;
	char *text;

	j = json_pack("{s:{s:s,s:s,s:s,s:I}}", "error", "type",
	    mu_errname(e->type), "message", e->message, "outcome",
	    mu_outcome_name(e->outcome), "retry_after_ms",
	    (json_int_t)e->retry_after_ms);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

void
mu_reply_error(struct mu_reply *r, const struct mu_error *e)
{
	memset(r, 0, sizeof(*r));
	r->status = mu_errstatus(e->type);
	r->body = mu_error_body(e);
	r->len = r->body != NULL ? strlen(r->body) : 0;
	r->retry_after_ms = e->retry_after_ms;
	r->not_owner = e->type == MU_E_NOT_OWNER;
	r->not_run = e->outcome == MU_OUTCOME_NOT_RUN;
}

void
mu_stream_fail(struct mu_stream *s, const struct mu_error *e)
{
	struct mu_reply r;

	mu_reply_error(&r, e);
	mu_stream_end(s, &r);
}

size_t
mu_stream_read(struct mu_stream *s, size_t offset, char *buf, size_t size,
    uint32_t wait_ms, bool *ended)
{
	struct timespec ts;
	size_t n = 0;
	int rc = 0;

	mu_time_after(&ts, wait_ms);
	pthread_mutex_lock(&s->lock);
	while (s->len <= offset && !s->ended && rc != ETIMEDOUT)
		rc = pthread_cond_timedwait(&s->changed, &s->lock, &ts);
	if (s->len > offset) {
		n = s->len - offset;
		if (n > size)
			n = size;
		memcpy(buf, s->data + offset, n);
	}
	*ended = n == 0 && s->ended;
	pthread_mutex_unlock(&s->lock);
	return n;
}

const struct mu_reply *
mu_stream_wait_end(struct mu_stream *s, uint32_t wait_ms)
{
	const struct mu_reply *r;
	struct timespec ts;
	int rc = 0;

	mu_time_after(&ts, wait_ms);
	pthread_mutex_lock(&s->lock);
	while (!s->ended && rc != ETIMEDOUT)
		rc = pthread_cond_timedwait(&s->changed, &s->lock, &ts);
	r = s->ended ? &s->reply : NULL;
	pthread_mutex_unlock(&s->lock);
	return r;
}

size_t
mu_stream_size(struct mu_stream *s)
{
	size_t n;

	pthread_mutex_lock(&s->lock);
	n = s->len;
	pthread_mutex_unlock(&s->lock);
	return n;
}
