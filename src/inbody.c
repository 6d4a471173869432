/*
 * inbody.c -- room for the bodies of requests, and for answers that callers do
 * not read.
 *
 * A body takes room in the account before memory is allocated: at once if its
 * length is declared, else as it grows.  Without room, bodies whose callers
 * have stalled are dropped first.  A length over the limit, or without room, is
 * refused when the head is received.
 *
 * The library accepts an answer before the first byte of the body or after its
 * last one, but not between.  A body that is dropped in between therefore gets
 * its refusal written to the socket directly: the answers before it have been
 * written completely by then.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "inbound_private.h"
#include "log.h"
#include "metric.h"

#define FIRST_BODY_BYTES 512
/* Unsent bytes of an answer that are held even without room: no more for a
 * connection than the library itself takes. */
#define UNSENT_FORCED_BYTES ((size_t)64 << 10)
/* A buffer of unsent bytes that is larger is freed once it is empty. */
#define UNSENT_KEPT_BYTES ((size_t)64 << 10)

enum reason {
	TOO_LARGE,
	NO_ROOM,
	STALLED,
	TIMED_OUT,
	UNREAD
};

static const struct {
	const char *name;
	enum mu_counter counter;
} reasons[] = {
    [TOO_LARGE] = {"too_large", MU_M_BODIES_TOO_LARGE},
    [NO_ROOM] = {"no_room", MU_M_BODIES_NO_ROOM},
    [STALLED] = {"stalled", MU_M_BODIES_STALLED},
    [TIMED_OUT] = {"timeout", MU_M_BODIES_TIMEOUT},
    [UNREAD] = {"unread", MU_M_ANSWERS_UNREAD},
};

static void
report(struct mu_in_req *r, enum reason why)
{
	struct mu_inbound *in = r->in;
	const struct mu_acct *a = in->conf.acct;
	char client[INET_ADDRSTRLEN];
	unsigned suppressed = in->refused_log.suppressed;

	mu_count(reasons[why].counter, 1);
	if (!mu_in_may_log(in, &in->refused_log))
		return;
	if (inet_ntop(AF_INET, &r->conn->client, client, sizeof(client)) ==
	    NULL)
		client[0] = '\0';
	mu_log(MU_LOG_WARN, "inbound", "body_refused", "{s:s,s:s,s:I,s:I,s:I}",
	    "reason", reasons[why].name, "client", client, "held",
	    a != NULL ? (json_int_t)a->total : 0, "limit",
	    a != NULL ? (json_int_t)a->limit : 0, "suppressed",
	    (json_int_t)suppressed);
}

static mu_us
now_of(const struct mu_in_req *r)
{
	return mu_loop_now(r->in->loop);
}

static void
free_body(struct mu_in_req *r)
{
	mu_buf_clear(&r->body);
	if (r->in->conf.acct != NULL)
		mu_acct_give(r->in->conf.acct, &r->body_hold, SIZE_MAX);
}

static void
free_unsent(struct mu_in_req *r)
{
	mu_buf_clear(&r->stream_buf);
	if (r->in->conf.acct != NULL)
		mu_acct_give(r->in->conf.acct, &r->unsent_hold, SIZE_MAX);
}

/* Ends a request whose body is not complete. */
static void
drop_body(struct mu_in_req *r, int status, const char *text)
{
	char answer[160];
	int n;

	r->dropped = true;
	free_body(r);
	mu_timer_clear(r->in->loop, &r->body_timer);
	n = snprintf(answer, sizeof(answer),
	    "HTTP/1.1 %d %s\r\nConnection: close\r\nRetry-After: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    status, text);
	(void)!send(
	    r->conn->fd, answer, (size_t)n, MSG_NOSIGNAL | MSG_DONTWAIT);
	mu_in_conn_shutdown(r->in, r->conn);
}

static void
on_body_timeout(void *arg)
{
	struct mu_in_req *r = arg;

	report(r, TIMED_OUT);
	drop_body(r, MHD_HTTP_REQUEST_TIMEOUT, "Request Timeout");
}

void
mu_in_abort_unread(struct mu_in_req *r)
{
	static const struct sockaddr none = {.sa_family = AF_UNSPEC};

	if (r->aborted)
		return;
	report(r, UNREAD);
	r->aborted = r->unread = true;
	free_unsent(r);
	if (r->is_http10) /* a reset: see break_off() */
		(void)connect(r->conn->fd, &none, sizeof(none));
	mu_in_conn_shutdown(r->in, r->conn);
	mu_in_resume(r);
}

/* Drops the body or the answer of a caller that has stalled. */
static void
drop_stalled(struct mu_in_req *r)
{
	if (r->dispatched) {
		mu_in_abort_unread(r);
		return;
	}
	report(r, STALLED);
	drop_body(r, MHD_HTTP_SERVICE_UNAVAILABLE, "Service Unavailable");
}

bool
mu_in_reserve(struct mu_in_req *r, struct mu_acct_holder *h, size_t n)
{
	struct mu_acct *a = r->in->conf.acct;
	struct mu_acct_holder *v;
	enum mu_acct_result rc;

	if (a == NULL)
		return true;
	while ((rc = mu_acct_take(a, h, n, now_of(r))) != MU_ACCT_OK) {
		if (rc == MU_ACCT_NOMEM ||
		    (v = mu_acct_victim(a, h, n, now_of(r))) == NULL)
			return false;
		drop_stalled(v->owner);
	}
	return true;
}

void
mu_in_holder_init(
    struct mu_in_req *r, struct mu_acct_holder *h, enum mu_acct_use use)
{
	mu_acct_holder_init(h, use, mu_in_conn_client(r->conn), r);
}

struct mu_acct *
mu_in_account(const struct mu_in_req *r)
{
	return r->in->conf.acct;
}

/* The declared length; 0 if there is none, as for a chunked body. */
static uint64_t
declared_length(struct mu_in_req *r)
{
	const char *text = mu_in_header(r, MHD_HTTP_HEADER_CONTENT_LENGTH);

	if (text == NULL ||
	    mu_in_header(r, MHD_HTTP_HEADER_TRANSFER_ENCODING) != NULL)
		return 0;
	/* The library has refused a malformed one; over the range it is
	 * UINT64_MAX. */
	return strtoull(text, NULL, 10);
}

int
mu_in_body_begin(struct mu_in_req *r, const char **error)
{
	struct mu_inbound *in = r->in;
	uint64_t n;

	mu_in_holder_init(r, &r->body_hold, MU_ACCT_BODY);
	mu_in_holder_init(r, &r->unsent_hold, MU_ACCT_ANSWER);
	r->body_hold.may_drop = r->unsent_hold.may_drop = true;
	if (!in->conf.strict || !r->has_body)
		return 0;
	n = declared_length(r);
	if (n > in->conf.max_body) {
		report(r, TOO_LARGE);
		*error = "body too large";
		return MHD_HTTP_CONTENT_TOO_LARGE;
	}
	if (n > 0 && (!mu_in_reserve(r, &r->body_hold, (size_t)n + 1) ||
			 mu_buf_set_size(&r->body, (size_t)n + 1) != 0)) {
		free_body(r);
		report(r, NO_ROOM);
		*error = "no_room";
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
	if (in->conf.body_timeout_ms > 0) {
		r->body_timer.fn = on_body_timeout;
		r->body_timer.arg = r;
		mu_timer_set(in->loop, &r->body_timer,
		    now_of(r) + in->conf.body_timeout_ms * MU_US_PER_MS);
	}
	return 0;
}

/* Skips bytes of a body that is over the limit.  It is read to its end, since
 * the answer would be lost with the reset that unread bytes cause, but not
 * without end. */
static bool
skip_body(struct mu_in_req *r, size_t n)
{
	r->skipped += n;
	if (!r->in->conf.strict || r->skipped <= r->in->conf.max_body)
		return true;
	r->dropped = true;
	mu_in_conn_shutdown(r->in, r->conn);
	return false;
}

static bool
grow_body(struct mu_in_req *r, size_t n)
{
	struct mu_buf *b = &r->body;
	size_t need = b->len + n + 1, size = b->size;

	if (need <= size)
		return true;
	size = size > 0 ? 2 * size : FIRST_BODY_BYTES;
	/* The last doubling need not exceed the limit. */
	if (size > (size_t)r->in->conf.max_body + 1)
		size = (size_t)r->in->conf.max_body + 1;
	if (size < need)
		size = need;
	return mu_in_reserve(r, &r->body_hold, size - b->size) &&
	       mu_buf_set_size(b, size) == 0;
}

bool
mu_in_body_add(struct mu_in_req *r, const char *data, size_t n)
{
	if (r->dropped)
		return false;
	mu_in_conn_receiving(r->in, r->conn);
	mu_acct_progress(&r->body_hold, now_of(r));
	if (r->too_large)
		return skip_body(r, n);
	if (r->body.len + n > r->in->conf.max_body) {
		r->too_large = true;
		if (r->in->conf.strict)
			report(r, TOO_LARGE);
		free_body(r);
		return skip_body(r, n);
	}
	if (!grow_body(r, n) || mu_buf_add(&r->body, data, n) != 0) {
		report(r, NO_ROOM);
		drop_body(
		    r, MHD_HTTP_SERVICE_UNAVAILABLE, "Service Unavailable");
		return false;
	}
	return true;
}

void
mu_in_body_complete(struct mu_in_req *r)
{
	mu_timer_clear(r->in->loop, &r->body_timer);
	r->body_hold.may_drop = false;
	mu_in_conn_busy(r->in, r->conn);
}

void
mu_in_body_done(struct mu_in_req *r)
{
	free_body(r);
}

void
mu_in_body_free(struct mu_in_req *r)
{
	mu_timer_clear(r->in->loop, &r->body_timer);
	free_body(r);
	free_unsent(r);
}

bool
mu_in_unsent_grow(struct mu_in_req *r, size_t n)
{
	struct mu_acct *a = r->in->conf.acct;
	struct mu_buf *b = &r->stream_buf;
	size_t size = mu_buf_size_for(b, n), more;

	if (r->in->conf.max_unsent > 0 &&
	    mu_buf_len(b) + n > r->in->conf.max_unsent)
		return false;
	if (a == NULL || size <= b->size)
		return true;
	more = size - b->size;
	if (mu_in_reserve(r, &r->unsent_hold, more))
		return true;
	if (size > UNSENT_FORCED_BYTES)
		return false;
	mu_acct_force(a, &r->unsent_hold, more, now_of(r));
	return true;
}

void
mu_in_unsent_taken(struct mu_in_req *r)
{
	mu_acct_progress(&r->unsent_hold, now_of(r));
	if (mu_buf_len(&r->stream_buf) == 0 &&
	    r->stream_buf.size > UNSENT_KEPT_BYTES)
		free_unsent(r);
}
