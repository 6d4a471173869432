/*
 * webmem.c -- memory that the HTTP servers of a daemon hold for their clients.
 *
 * Without a limit of the sum, bodies of allowed size that stop short of their
 * end fill the memory of the host.  memacct.c decides who gets room; this
 * module locks it, owns the buffers and logs refusals.  A connection's thread
 * touches its buffer under the lock only, until the body is complete, so that
 * another thread may drop the body of a stalled client: it frees the buffer at
 * once and shuts the connection down, which then ends on its own thread.  The
 * same holds for answers; they are dropped when the client takes no byte.
 */
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "log.h"
#include "metric.h"
#include "webmem.h"

#define INITIAL_BODY_BYTES 1024
#define LOG_INTERVAL_US (1 * MU_US_PER_S)

struct mu_webmem {
	struct mu_webmem_conf conf;
	pthread_mutex_t lock;
	struct mu_acct acct;
	mu_us logged_at;
	uint64_t suppressed; /* log lines since the last one */
};

struct mu_webanswer {
	struct mu_acct_holder holder;
	struct mu_webmem *mem;
	const struct mu_webconn *conn;
	struct mu_stream *stream; /* NULL: dropped */
	const struct mu_reply *reply;
};

int
mu_webmem_new(struct mu_webmem **out, const struct mu_webmem_conf *conf)
{
	struct mu_webmem *m = calloc(1, sizeof(*m));

	if (m == NULL)
		return MU_E_NOMEM;
	m->conf = *conf;
	pthread_mutex_init(&m->lock, NULL);
	mu_acct_init(&m->acct, conf->limit);
	mu_gauge_set(MU_G_HELD_LIMIT, conf->limit);
	m->logged_at = mu_now(conf->clock) - LOG_INTERVAL_US;
	*out = m;
	return 0;
}

void
mu_webmem_free(struct mu_webmem *m)
{
	if (m == NULL)
		return;
	mu_acct_fini(&m->acct);
	pthread_mutex_destroy(&m->lock);
	free(m);
}

mu_us
mu_webmem_now(const struct mu_webmem *m)
{
	return mu_now(m->conf.clock);
}

static void
lock(struct mu_webmem *m)
{
	pthread_mutex_lock(&m->lock);
}

/* Also publishes the bytes held. */
static void
unlock(struct mu_webmem *m)
{
	mu_gauge_set(MU_G_HELD_BODY, m->acct.used[MU_ACCT_BODY]);
	mu_gauge_set(MU_G_HELD_ANSWER, m->acct.used[MU_ACCT_ANSWER]);
	pthread_mutex_unlock(&m->lock);
}

/* Counts a refusal or a drop, and logs it at most once a second. */
static void
report(struct mu_webmem *m, enum mu_counter counter, const char *reason,
    const struct mu_webconn *conn)
{
	mu_us now = mu_webmem_now(m);
	uint64_t suppressed;
	size_t held;

	mu_count(counter, 1);
	lock(m);
	held = m->acct.total;
	suppressed = m->suppressed;
	if (now - m->logged_at < LOG_INTERVAL_US) {
		m->suppressed++;
		unlock(m);
		return;
	}
	m->suppressed = 0;
	m->logged_at = now;
	unlock(m);
	mu_log(MU_LOG_WARN, "web", "body_refused", "{s:s,s:s,s:I,s:I,s:I}",
	    "reason", reason, "client", conn != NULL ? conn->client : "",
	    "held_bytes", (json_int_t)held, "limit_bytes",
	    (json_int_t)m->conf.limit, "suppressed", (json_int_t)suppressed);
}

/* Frees what a stalled client holds; the lock is held. */
static void
drop(struct mu_acct *a, struct mu_acct_holder *h)
{
	struct mu_webanswer *w = h->owner;
	struct mu_webbody *b = h->owner;
	int fd = -1;

	switch (h->use) {
	case MU_ACCT_BODY:
		free(b->data);
		b->data = NULL;
		b->dropped = true;
		fd = b->conn->fd;
		mu_count(MU_M_BODIES_STALLED, 1);
		break;
	case MU_ACCT_ANSWER:
		mu_stream_unref(w->stream);
		w->stream = NULL;
		fd = w->conn->fd;
		mu_count(MU_M_ANSWERS_UNREAD, 1);
		break;
	case MU_ACCT_PEER:
	case MU_ACCT_STORE:
	case MU_ACCT_USE_COUNT:
		break;
	}
	mu_acct_give(a, h, SIZE_MAX);
	if (fd >= 0)
		(void)shutdown(fd, SHUT_RDWR);
}

/* Takes n bytes, dropping stalled holders if there is no room; the lock is
 * held. */
static bool
take(struct mu_webmem *m, struct mu_acct_holder *h, size_t n)
{
	mu_us now = mu_webmem_now(m);
	struct mu_acct_holder *v;
	enum mu_acct_result rc;

	while ((rc = mu_acct_take(&m->acct, h, n, now)) != MU_ACCT_OK) {
		if (rc == MU_ACCT_NOMEM)
			return false;
		v = mu_acct_victim(&m->acct, h, n, now);
		if (v == NULL)
			return false;
		drop(&m->acct, v);
	}
	return true;
}

/*
 * Bodies.
 */

static void
free_body(struct mu_webbody *b)
{
	free(b->data);
	b->data = NULL;
	b->size = 0;
	mu_acct_give(&b->mem->acct, &b->holder, SIZE_MAX);
}

static void
free_copies(struct mu_webbody *b)
{
	int i;

	for (i = 0; i < MU_WEBMEM_BODY_COPIES; i++)
		mu_acct_give(&b->mem->acct, &b->copies[i], SIZE_MAX);
}

/* Counts the copies, each as a holder of its own, so that those of a small body
 * are small too. */
static bool
take_copies(struct mu_webbody *b)
{
	int i;

	for (i = 0; i < MU_WEBMEM_BODY_COPIES; i++)
		if (!take(b->mem, &b->copies[i], b->len))
			return false;
	return true;
}

/* Makes the buffer size bytes large; the lock is held. */
static bool
resize(struct mu_webbody *b, size_t size)
{
	char *data;

	if (!take(b->mem, &b->holder, size - b->size))
		return false;
	data = realloc(b->data, size);
	if (data == NULL) {
		mu_acct_give(&b->mem->acct, &b->holder, size - b->size);
		return false;
	}
	b->data = data;
	b->size = size;
	return true;
}

enum mu_webmem_result
mu_webbody_begin(struct mu_webbody *b, struct mu_webmem *m,
    const struct mu_webconn *conn, size_t max, uint64_t declared)
{
	mu_us now = mu_webmem_now(m);
	bool ok;
	int i;

	memset(b, 0, sizeof(*b));
	b->mem = m;
	b->conn = conn;
	b->max = max;
	b->deadline = now + m->conf.body_timeout_ms * MU_US_PER_MS;
	mu_acct_holder_init(
	    &b->holder, MU_ACCT_BODY, conn != NULL ? conn->client_key : 0, b);
	b->holder.may_drop = conn != NULL;
	for (i = 0; i < MU_WEBMEM_BODY_COPIES; i++)
		mu_acct_holder_init(
		    &b->copies[i], MU_ACCT_BODY, b->holder.client_key, b);
	if (declared == 0 || declared == MU_WEBBODY_CHUNKED)
		return MU_WEBMEM_OK;
	if (declared > max) {
		report(m, MU_M_BODIES_TOO_LARGE, "too_large", conn);
		return MU_WEBMEM_TOO_LARGE;
	}
	lock(m);
	ok = resize(b, (size_t)declared + 1);
	unlock(m);
	if (!ok)
		report(m, MU_M_BODIES_NO_ROOM, "no_room", conn);
	return ok ? MU_WEBMEM_OK : MU_WEBMEM_NO_ROOM;
}

/* Discards bytes of a body over its limit.  Returns false when as much again
 * was sent. */
static bool
discard(struct mu_webbody *b, size_t len)
{
	bool first = !b->too_large;

	if (first) {
		lock(b->mem);
		free_body(b);
		unlock(b->mem);
		b->too_large = true;
		b->discarded = b->len;
		report(b->mem, MU_M_BODIES_TOO_LARGE, "too_large", b->conn);
	}
	b->discarded += len;
	return b->discarded <= 2 * b->max;
}

/* The lock is held. */
static bool
store(struct mu_webbody *b, const char *data, size_t len)
{
	size_t size = b->size != 0 ? b->size : INITIAL_BODY_BYTES;

	while (size < b->len + len + 1)
		size *= 2;
	if (size > b->max + 1)
		size = b->max + 1;
	if (size != b->size && !resize(b, size))
		return false;
	memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
	mu_acct_progress(&b->holder, mu_webmem_now(b->mem));
	return true;
}

enum mu_webmem_result
mu_webbody_append(struct mu_webbody *b, const char *data, size_t len)
{
	bool dropped, ok;

	if (mu_webbody_time_left(b) <= 0) {
		report(b->mem, MU_M_BODIES_TIMEOUT, "timeout", b->conn);
		return MU_WEBMEM_CLOSE;
	}
	if (b->too_large || len > b->max - b->len)
		return discard(b, len) ? MU_WEBMEM_OK : MU_WEBMEM_CLOSE;
	lock(b->mem);
	dropped = b->dropped;
	ok = !dropped && store(b, data, len);
	if (!ok && !dropped)
		free_body(b);
	unlock(b->mem);
	if (!ok && !dropped)
		report(b->mem, MU_M_BODIES_NO_ROOM, "no_room", b->conn);
	return ok ? MU_WEBMEM_OK : MU_WEBMEM_CLOSE;
}

mu_us
mu_webbody_time_left(const struct mu_webbody *b)
{
	return b->deadline - mu_webmem_now(b->mem);
}

enum mu_webmem_result
mu_webbody_complete(struct mu_webbody *b)
{
	bool dropped, ok;

	lock(b->mem);
	dropped = b->dropped;
	b->holder.may_drop = false;
	ok = !dropped && take_copies(b);
	if (!ok) {
		free_body(b);
		free_copies(b);
	}
	unlock(b->mem);
	if (dropped)
		return MU_WEBMEM_CLOSE;
	if (!ok)
		report(b->mem, MU_M_BODIES_NO_ROOM, "no_room", b->conn);
	return ok ? MU_WEBMEM_OK : MU_WEBMEM_NO_ROOM;
}

void
mu_webbody_free_data(struct mu_webbody *b)
{
	lock(b->mem);
	free_body(b);
	unlock(b->mem);
}

void
mu_webbody_end(struct mu_webbody *b)
{
	lock(b->mem);
	free_body(b);
	free_copies(b);
	unlock(b->mem);
}

/*
 * Answers.
 */

struct mu_webanswer *
mu_webanswer_new(
    struct mu_webmem *m, const struct mu_webconn *conn, struct mu_stream *ended)
{
	struct mu_webanswer *w = calloc(1, sizeof(*w));
	bool ok;

	if (w == NULL)
		return NULL;
	w->mem = m;
	w->conn = conn;
	w->reply = mu_stream_wait_end(ended, 0);
	mu_acct_holder_init(
	    &w->holder, MU_ACCT_ANSWER, conn != NULL ? conn->client_key : 0, w);
	w->holder.may_drop = conn != NULL;
	lock(m);
	ok = take(m, &w->holder, w->reply->len);
	if (ok)
		w->stream = mu_stream_ref(ended);
	unlock(m);
	if (ok)
		return w;
	report(m, MU_M_ANSWERS_NO_ROOM, "answer_no_room", conn);
	free(w);
	return NULL;
}

size_t
mu_webanswer_read(struct mu_webanswer *w, uint64_t pos, char *buf, size_t max)
{
	size_t n = 0;

	lock(w->mem);
	if (w->stream != NULL && pos < w->reply->len) {
		n = w->reply->len - (size_t)pos;
		if (n > max)
			n = max;
		memcpy(buf, w->reply->body + pos, n);
		mu_acct_progress(&w->holder, mu_webmem_now(w->mem));
	}
	unlock(w->mem);
	return n;
}

void
mu_webanswer_free(struct mu_webanswer *w)
{
	lock(w->mem);
	mu_stream_unref(w->stream);
	mu_acct_give(&w->mem->acct, &w->holder, SIZE_MAX);
	unlock(w->mem);
	free(w);
}
