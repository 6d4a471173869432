/*
 * upstream.c -- HTTP/1.1 exchanges with endpoints on persistent connections.
 *
 * libcurl is not usable here: when a reused connection breaks before the first
 * byte of the answer it resends the request by itself, which would run a call
 * twice, and it cannot skip an answer that belongs to an earlier request.  This
 * module therefore handles the sockets, and http-parser parses the answers.
 *
 * A connection is kept only if the answer ended where its framing says, the
 * request had been written completely and no byte followed the answer.  A
 * connection that receives bytes while idle is closed.
 *
 * Endpoints may drop idle connections without notice, and a request sent on
 * such a connection is lost.  Each pool therefore learns how long a connection
 * may be idle and still be reused: a loss lowers the limit to half of that
 * connection's idle time, successful reuse raises it.  A loss also closes the
 * other idle connections, so that a retry uses a new one.
 */
#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buf.h"
#include "metric.h"
#include "net.h"
#include "uphead.h"

/* Enough for one SYN and its answer; a lost SYN is resent only after 1 s. */
#define CONNECT_TIMEOUT_US (250 * MU_US_PER_MS)
/* TCP_USER_TIMEOUT: the kernel drops a connection whose data stays
 * unacknowledged for longer. */
#define UNACKED_TIMEOUT_MS 1000
/* Idle connections are closed after this if there is no Keep-Alive header. */
#define DEFAULT_IDLE_LIMIT_US (4 * MU_US_PER_S)
/* Idle connections are closed this long before the timeout in Keep-Alive. */
#define KEEPALIVE_MARGIN_US (500 * MU_US_PER_MS)
/* Initial value, lower bound and growth of a pool's reuse_limit. */
#define REUSE_LIMIT_START_US (2 * MU_US_PER_S)
#define REUSE_LIMIT_MIN_US (100 * MU_US_PER_MS)
#define REUSE_LIMIT_GROWTH_DIVISOR 8 /* 1/8 for each successful reuse */
#define READ_BUFFER_BYTES 16384
/* A body of at most this size is copied, to go out in one write with its head.
 */
#define COPIED_BODY_BYTES ((size_t)64 << 10)
/* A new connection that is lost within this time of the request counts as
 * rejected: nearly all calls take longer. */
#define REJECT_WINDOW_US (5 * MU_US_PER_MS)
#define MAX_READS_PER_EVENT 8 /* so that other connections get their turn */
#define MAX_SKIPPED_ANSWERS 3 /* to other requests, per exchange */
/* Bounds the bytes outside the answer's body, which an endpoint may send
 * endlessly: the head, chunk framing (enough for some ten thousand events) and
 * skipped answers. */
#define MAX_OVERHEAD_BYTES ((size_t)256 << 10)
#define MAX_HEADER_BYTES 8192

/* A connection and, while it is busy, the exchange that uses it. */
struct mu_up_exchange {
	struct cds_list_head node; /* in the pool while idle */
	struct mu_up_pool *pool;
	struct mu_watch watch;
	struct mu_timer timer; /* connect timeout, then idle timeout */
	struct mu_buf unsent; /* head, with a small body */
	const char *body; /* what is left of a large one; not owned */
	size_t body_left;
	http_parser parser;
	bool message_begins; /* the parser was paused after its first byte */
	struct mu_status_line status_line;
	struct mu_up_hooks hooks;
	bool connecting;
	bool busy; /* an exchange is in progress */
	bool sent; /* a byte of the request was written to the socket */
	bool skipping; /* the answer being read belongs to another request */
	bool complete; /* the exchange's own answer has ended */
	bool parsing; /* inside http_parser_execute() */
	bool cancelled; /* while parsing */
	bool answer_started; /* head of the own answer received */
	bool used; /* carries or carried an exchange */
	bool reused; /* carried an earlier exchange */
	bool last; /* not kept after this exchange */
	bool paused; /* the answer is not read */
	bool is_head; /* the request's method is HEAD */
	unsigned skipped;
	mu_us started_at; /* start of the exchange */
	size_t overhead_bytes; /* received outside the answer's body */
	mu_us idle_limit; /* idle timeout, from Keep-Alive */
	mu_us idle_since;
	mu_us idle_before; /* idle time before reuse; 0: new connection */
	/* Head being parsed: names and values as offsets into header_text. */
	struct mu_buf header_text;
	size_t name_at[MU_UP_HEADERS];
	size_t value_at[MU_UP_HEADERS];
	size_t nheaders;
	bool in_value;
};

static void on_io(void *arg, uint32_t events);

const char *
mu_up_end_name(enum mu_up_end end)
{
	static const char *const names[] = {"whole", "connect", "lost",
	    "turned_away", "malformed", "out_of_memory"};

	return names[end];
}

struct mu_up_pool *
mu_up_pool_new(struct mu_loop *l, const char *addr, uint32_t max)
{
	struct mu_up_pool *p = calloc(1, sizeof(*p));

	if (p == NULL)
		return NULL;
	p->loop = l;
	p->max_conns = max;
	p->reuse_limit = REUSE_LIMIT_START_US;
	strncpy(p->addr, addr, sizeof(p->addr) - 1);
	CDS_INIT_LIST_HEAD(&p->idle_conns);
	return p;
}

static void
free_if_unused(struct mu_up_pool *p)
{
	if (p->released && p->nopen == 0)
		free(p);
}

static void
conn_free(struct mu_up_exchange *x)
{
	struct mu_up_pool *p = x->pool;

	if (p->probe == x)
		p->probe = NULL;
	if (!x->busy && x->node.next != NULL) {
		cds_list_del(&x->node);
		p->nidle--;
	}
	mu_timer_clear(p->loop, &x->timer);
	mu_watch_del(p->loop, &x->watch);
	(void)close(x->watch.fd);
	p->nopen--;
	mu_buf_clear(&x->unsent);
	mu_buf_clear(&x->header_text);
	free(x);
	free_if_unused(p);
}

static void
close_idle(struct mu_up_pool *p)
{
	struct mu_up_exchange *x, *next;

	cds_list_for_each_entry_safe (x, next, &p->idle_conns, node)
		conn_free(x);
}

void
mu_up_pool_release(struct mu_up_pool *p)
{
	close_idle(p);
	if (p->probe != NULL)
		conn_free(p->probe);
	p->released = true;
	free_if_unused(p);
}

/* A reused connection was lost before its answer started. */
static void
lower_reuse_limit(struct mu_up_exchange *x)
{
	struct mu_up_pool *p = x->pool;

	if (x->idle_before == 0)
		return;
	p->reuse_limit = x->idle_before / 2 < p->reuse_limit
			     ? x->idle_before / 2
			     : p->reuse_limit;
	if (p->reuse_limit < REUSE_LIMIT_MIN_US)
		p->reuse_limit = REUSE_LIMIT_MIN_US;
}

/* A connection delivered its answer: raises the limit if it had been idle for
 * at least half of it. */
static void
raise_reuse_limit(struct mu_up_exchange *x)
{
	struct mu_up_pool *p = x->pool;

	if (x->idle_before >= p->reuse_limit / 2)
		p->reuse_limit += p->reuse_limit / REUSE_LIMIT_GROWTH_DIVISOR;
}

/* Closes the connection and ends its exchange, if any, with a failure.  The
 * hook is called last since it may start another exchange or free the pool. */
static void
fail_exchange(struct mu_up_exchange *x, enum mu_up_end end)
{
	struct mu_up_hooks hooks = x->hooks;
	void (*on_unreachable)(void *arg) = NULL;
	void *unreachable_arg = x->pool->on_unreachable_arg;
	bool sent = x->sent, busy = x->busy;

	if (x->pool->probe == x)
		on_unreachable = x->pool->on_unreachable;
	if (end == MU_UP_ABORTED && !x->answer_started)
		lower_reuse_limit(x);
	if (end == MU_UP_ABORTED && !x->answer_started && x->idle_before == 0 &&
	    mu_loop_now(x->pool->loop) - x->started_at < REJECT_WINDOW_US)
		end = MU_UP_REJECTED;
	/* The endpoint may have restarted: the other idle connections are as
	 * stale. */
	if (end == MU_UP_ABORTED && !x->answer_started && x->idle_before > 0)
		close_idle(x->pool);
	conn_free(x);
	if (busy)
		hooks.end(hooks.arg, end, sent);
	else if (on_unreachable != NULL)
		on_unreachable(unreachable_arg);
}

static void
on_timeout(void *arg)
{
	struct mu_up_exchange *x = arg;

	if (x->connecting)
		fail_exchange(x, MU_UP_CONNECT_FAILED);
	else if (!x->busy)
		conn_free(x);
}

/* Parsing of answers. */

static int
parse_begin(http_parser *hp)
{
	struct mu_up_exchange *x = hp->data;

	x->nheaders = 0;
	x->in_value = false;
	mu_buf_consume(&x->header_text, mu_buf_len(&x->header_text));
	x->message_begins = true;
	http_parser_pause(hp, 1); /* to check the line that follows */
	return 0;
}

static int
header_text_add(struct mu_up_exchange *x, const char *at, size_t len)
{
	return x->header_text.len + len > MAX_HEADER_BYTES ||
		       mu_buf_add(&x->header_text, at, len) != 0
		   ? 1
		   : 0;
}

static int
parse_field(http_parser *hp, const char *at, size_t len)
{
	struct mu_up_exchange *x = hp->data;

	if (x->nheaders == 0 || x->in_value) {
		if (x->nheaders == MU_UP_HEADERS ||
		    header_text_add(x, "", 1) != 0)
			return 1;
		x->name_at[x->nheaders++] = x->header_text.len;
		x->in_value = false;
	}
	return header_text_add(x, at, len);
}

static int
parse_value(http_parser *hp, const char *at, size_t len)
{
	struct mu_up_exchange *x = hp->data;

	if (!x->in_value) {
		if (header_text_add(x, "", 1) != 0)
			return 1;
		x->value_at[x->nheaders - 1] = x->header_text.len;
		x->in_value = true;
	}
	return header_text_add(x, at, len);
}

/* Ends the text at offset `at` before its trailing white space, which
 * http-parser leaves in place. */
static const char *
trimmed_text(struct mu_up_exchange *x, size_t at)
{
	char *text = x->header_text.p + at;
	size_t n = strlen(text);

	while (n > 0 && (text[n - 1] == ' ' || text[n - 1] == '\t'))
		text[--n] = '\0';
	return text;
}

/* What http-parser does after a head: other than in its other callbacks, 1 is
 * no error. */
enum after_head {
	HAS_BODY = 0,
	NO_BODY = 1,
	MALFORMED = -1
};

/* Answers to HEAD, 204 and 304 have no body, whatever length they give.
 * http-parser doesn't know the method, and for the others goes by the length.
 */
static enum after_head
body_follows(const struct mu_up_exchange *x, int status)
{
	return x->is_head || !mu_head_has_body(status) ? NO_BODY : HAS_BODY;
}

/* Reads the fields of a final head; false if it is not valid. */
static bool
read_fields(struct mu_up_exchange *x, struct mu_header *headers)
{
	size_t i;

	if (header_text_add(x, "", 1) != 0)
		return false;
	for (i = 0; i < x->nheaders; i++) {
		headers[i].name = trimmed_text(x, x->name_at[i]);
		headers[i].value = trimmed_text(x, x->value_at[i]);
		if (mu_head_is_other_coding(&headers[i]))
			return false;
	}
	return true;
}

/* Whether the head has a transfer coding, which HTTP/1.0 doesn't know: where
 * the body ends is in doubt then. */
static bool
has_doubtful_framing(
    const http_parser *hp, const struct mu_header *headers, size_t n)
{
	size_t i;

	for (i = 0; i < n && hp->http_minor == 0; i++)
		if (mu_head_is_coding(&headers[i]))
			return true;
	return false;
}

static int
parse_headers(http_parser *hp)
{
	struct mu_up_exchange *x = hp->data;
	struct mu_header headers[MU_UP_HEADERS];
	struct mu_up_head head = {
	    hp->status_code, x->reused, headers, x->nheaders};
	enum mu_up_owner owner;

	switch (mu_head_kind(hp->status_code)) {
	case MU_HEAD_INVALID:
		return MALFORMED;
	case MU_HEAD_INTERIM:
		return NO_BODY;
	case MU_HEAD_FINAL:
		break;
	}
	if (!read_fields(x, headers))
		return MALFORMED;
	owner = x->hooks.owner(x->hooks.arg, &head);
	x->skipping = owner == MU_UP_FOREIGN;
	x->last = owner == MU_UP_OWN_LAST ||
		  has_doubtful_framing(hp, headers, x->nheaders);
	/* Whether a foreign answer to HEAD has a body can't be known. */
	if (x->skipping)
		return ++x->skipped > MAX_SKIPPED_ANSWERS || x->is_head
			   ? MALFORMED
			   : HAS_BODY;
	x->idle_limit = mu_head_keep_alive(headers, x->nheaders,
			    DEFAULT_IDLE_LIMIT_US + KEEPALIVE_MARGIN_US) -
			KEEPALIVE_MARGIN_US;
	x->answer_started = true;
	x->hooks.head(x->hooks.arg, &head);
	return x->cancelled ? MALFORMED : body_follows(x, hp->status_code);
}

static int
parse_body(http_parser *hp, const char *at, size_t len)
{
	struct mu_up_exchange *x = hp->data;

	if (!x->skipping) {
		x->overhead_bytes -= len;
		x->hooks.body(x->hooks.arg, at, len);
	}
	return x->cancelled ? 1 : 0;
}

static int
parse_complete(http_parser *hp)
{
	struct mu_up_exchange *x = hp->data;

	if (x->skipping || hp->status_code / 100 == 1)
		return 0;
	x->complete = true;
	http_parser_pause(hp, 1); /* leave what follows the answer */
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = parse_begin,
    .on_header_field = parse_field,
    .on_header_value = parse_value,
    .on_headers_complete = parse_headers,
    .on_body = parse_body,
    .on_message_complete = parse_complete,
};

static void
keep_idle(struct mu_up_exchange *x)
{
	struct mu_up_pool *p = x->pool;

	x->idle_since = mu_loop_now(p->loop);
	cds_list_add(&x->node, &p->idle_conns);
	p->nidle++;
	mu_watch_set(p->loop, &x->watch, EPOLLIN);
	mu_timer_set(p->loop, &x->timer, x->idle_since + x->idle_limit);
}

/* The answer is complete: keeps the connection if it can be reused.  clean: no
 * byte followed the answer. */
static void
complete_exchange(struct mu_up_exchange *x, bool clean)
{
	struct mu_up_hooks hooks = x->hooks;

	x->busy = false;
	x->node.next = NULL;
	raise_reuse_limit(x);
	if (clean && !x->last && mu_buf_len(&x->unsent) == 0 &&
	    x->body_left == 0 && http_should_keep_alive(&x->parser) &&
	    x->idle_limit > 0)
		keep_idle(x);
	else
		conn_free(x);
	hooks.end(hooks.arg, MU_UP_COMPLETE, true);
}

/* Runs the parser over received bytes, stopping at the start of each answer to
 * check its status line.  Returns the number of bytes it took. */
static size_t
execute(struct mu_up_exchange *x, const char *data, size_t len)
{
	size_t n = 0;

	if (!mu_status_line_check(&x->status_line, data, len))
		return 0;
	do {
		x->message_begins = false;
		n += http_parser_execute(
		    &x->parser, &parser_settings, data + n, len - n);
		if (!x->message_begins)
			break;
		http_parser_pause(&x->parser, 0);
		mu_status_line_begin(&x->status_line);
		if (!mu_status_line_check(&x->status_line, data + n, len - n))
			break;
	} while (n < len);
	return n;
}

/* Parses received bytes, or the end of input if len is 0; false if the exchange
 * has ended. */
static bool
feed_parser(struct mu_up_exchange *x, const char *data, size_t len)
{
	size_t n;

	x->parsing = true;
	x->overhead_bytes += len;
	n = execute(x, data, len);
	x->parsing = false;
	if (x->cancelled) {
		conn_free(x);
		return false;
	}
	if (x->complete) {
		complete_exchange(x, n == len);
		return false;
	}
	if (HTTP_PARSER_ERRNO(&x->parser) != HPE_OK || n != len ||
	    x->overhead_bytes > MAX_OVERHEAD_BYTES) {
		fail_exchange(x, len > 0 ? MU_UP_MALFORMED : MU_UP_ABORTED);
		return false;
	}
	return true;
}

static void
on_readable(struct mu_up_exchange *x)
{
	char data[READ_BUFFER_BYTES];
	unsigned reads;
	ssize_t n;

	for (reads = 0; reads < MAX_READS_PER_EVENT; reads++) {
		n = recv(x->watch.fd, data, sizeof(data), 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (!x->busy) {
			conn_free(x);
			return;
		}
		if (n < 0) {
			fail_exchange(x, MU_UP_ABORTED);
			return;
		}
		if (n == 0) {
			/* End of input completes an answer without a length. */
			if (feed_parser(x, NULL, 0))
				fail_exchange(x, MU_UP_ABORTED);
			return;
		}
		if (!feed_parser(x, data, (size_t)n))
			return;
		if ((size_t)n < sizeof(data) || x->paused)
			return;
	}
}

/* Events to wait for, besides room for output. */
static uint32_t
input_events(const struct mu_up_exchange *x)
{
	return x->paused ? 0 : EPOLLIN;
}

/* The next bytes of the request; 0: all are written. */
static size_t
next_output(const struct mu_up_exchange *x, const char **data)
{
	if (mu_buf_len(&x->unsent) > 0) {
		*data = mu_buf_data(&x->unsent);
		return mu_buf_len(&x->unsent);
	}
	*data = x->body;
	return x->body_left;
}

static void
output_written(struct mu_up_exchange *x, size_t n)
{
	x->sent = true;
	if (mu_buf_len(&x->unsent) > 0) {
		mu_buf_consume(&x->unsent, n);
		return;
	}
	x->body += n;
	x->body_left -= n;
}

/* Writes pending output; false if the exchange has failed. */
static bool
flush_output(struct mu_up_exchange *x)
{
	const char *data;
	size_t len;
	ssize_t n;

	while ((len = next_output(x, &data)) > 0) {
		n = send(x->watch.fd, data, len, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			mu_watch_set(x->pool->loop, &x->watch,
			    input_events(x) | EPOLLOUT);
			return true;
		}
		if (n < 0) {
			fail_exchange(
			    x, x->sent ? MU_UP_ABORTED : MU_UP_CONNECT_FAILED);
			return false;
		}
		output_written(x, (size_t)n);
	}
	mu_watch_set(x->pool->loop, &x->watch, input_events(x));
	return true;
}

void
mu_up_pause(struct mu_up_exchange *x)
{
	x->paused = true;
	mu_watch_set(x->pool->loop, &x->watch, x->watch.events & ~EPOLLIN);
}

void
mu_up_resume(struct mu_up_exchange *x)
{
	x->paused = false;
	mu_watch_set(x->pool->loop, &x->watch, x->watch.events | EPOLLIN);
}

/* Checks the result of connect(); false if the exchange has failed. */
static bool
connect_finished(struct mu_up_exchange *x)
{
	if (mu_net_connect_result(x->watch.fd) != 0) {
		fail_exchange(x, MU_UP_CONNECT_FAILED);
		return false;
	}
	x->connecting = false;
	mu_timer_clear(x->pool->loop, &x->timer);
	if (x->pool->probe == x) {
		x->pool->probe = NULL;
		x->idle_limit = DEFAULT_IDLE_LIMIT_US;
		keep_idle(x);
	}
	return true;
}

static void
on_io(void *arg, uint32_t events)
{
	struct mu_up_exchange *x = arg;

	if (x->connecting && !connect_finished(x))
		return;
	if ((events & EPOLLOUT) != 0 && !flush_output(x))
		return;
	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		on_readable(x);
}

static int
open_socket(const char *addr)
{
	int fd, unacked = UNACKED_TIMEOUT_MS;
	bool pending;

	if (mu_net_connect(addr, &fd, &pending) != 0)
		return -1;
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof(unacked));
	return fd;
}

static struct mu_up_exchange *
conn_open(struct mu_up_pool *p)
{
	struct mu_up_exchange *x;
	int fd;

	if (p->max_conns != 0 && p->nopen >= p->max_conns)
		return NULL;
	if ((fd = open_socket(p->addr)) < 0)
		return NULL;
	x = calloc(1, sizeof(*x));
	if (x == NULL)
		goto fail;
	x->pool = p;
	x->connecting = true;
	x->watch.fd = fd;
	x->watch.fn = on_io;
	x->watch.arg = x;
	x->watch.events = EPOLLOUT;
	x->timer.fn = on_timeout;
	x->timer.arg = x;
	if (mu_watch_add(p->loop, &x->watch) != 0)
		goto fail;
	mu_timer_set(
	    p->loop, &x->timer, mu_loop_now(p->loop) + CONNECT_TIMEOUT_US);
	p->nopen++;
	p->total_opened++;
	mu_count(MU_M_CONNECTIONS, 1);
	return x;
fail:
	free(x);
	(void)close(fd);
	return NULL;
}

void
mu_up_probe(struct mu_up_pool *p, void (*on_unreachable)(void *arg), void *arg)
{
	if (p->probe != NULL)
		return;
	p->on_unreachable = on_unreachable;
	p->on_unreachable_arg = arg;
	p->probe = conn_open(p);
}

bool
mu_up_can_reuse(struct mu_up_pool *p)
{
	const struct mu_up_exchange *x;

	if (cds_list_empty(&p->idle_conns))
		return false;
	x = cds_list_first_entry(&p->idle_conns, struct mu_up_exchange, node);
	return mu_loop_now(p->loop) - x->idle_since < p->reuse_limit;
}

/* Takes an idle connection that is still open, has received nothing and was
 * used recently enough; NULL if there is none. */
static struct mu_up_exchange *
take_idle_conn(struct mu_up_pool *p)
{
	struct mu_up_exchange *x, *next;
	char byte;
	ssize_t n;

	cds_list_for_each_entry_safe (x, next, &p->idle_conns, node) {
		n = recv(x->watch.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
		if (n >= 0 || errno != EAGAIN) {
			conn_free(x);
			continue;
		}
		x->idle_before = mu_loop_now(p->loop) - x->idle_since + 1;
		if (x->idle_before > p->reuse_limit)
			return NULL; /* the others were idle for longer */
		cds_list_del(&x->node);
		p->nidle--;
		mu_timer_clear(p->loop, &x->timer);
		x->reused = x->used;
		return x;
	}
	return NULL;
}

static int
add_body(struct mu_up_exchange *x, const struct mu_up_req *req)
{
	x->body_left = 0;
	if (req->len <= COPIED_BODY_BYTES)
		return mu_buf_add(&x->unsent, req->body, req->len);
	x->body = req->body;
	x->body_left = req->len;
	return 0;
}

struct mu_up_exchange *
mu_up_start(struct mu_up_pool *p, const struct mu_up_req *req,
    const struct mu_up_hooks *hooks)
{
	struct mu_up_exchange *x = take_idle_conn(p);

	if (x == NULL)
		x = conn_open(p);
	if (x == NULL)
		return NULL;
	x->hooks = *hooks;
	x->busy = x->used = true;
	x->last = x->paused = false;
	x->is_head = strcmp(req->method, "HEAD") == 0;
	x->sent = x->skipping = x->complete = x->answer_started = false;
	x->skipped = 0;
	x->overhead_bytes = 0;
	x->started_at = mu_loop_now(p->loop);
	http_parser_init(&x->parser, HTTP_RESPONSE);
	x->status_line.place = MU_LINE_CHECKED; /* none is being read */
	x->parser.data = x;
	if (mu_buf_printf(&x->unsent, "%s %s HTTP/1.1\r\n%s", req->method,
		req->target, req->headers) != 0 ||
	    (req->has_body && mu_buf_printf(&x->unsent,
				  "Content-Length: %zu\r\n", req->len) != 0) ||
	    mu_buf_add(&x->unsent, "\r\n", 2) != 0 || add_body(x, req) != 0) {
		x->busy = false;
		x->node.next = NULL;
		conn_free(x);
		return NULL;
	}
	/* The request is written in the next iteration of the event loop, so
	 * that no hook is called before this function has returned. */
	mu_watch_set(p->loop, &x->watch, EPOLLIN | EPOLLOUT);
	return x;
}

bool
mu_up_cancel(struct mu_up_exchange *x)
{
	bool sent = x->sent;

	if (x->parsing)
		x->cancelled = true;
	else
		conn_free(x);
	return sent;
}
