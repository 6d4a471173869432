/*
 * test_inbody.c -- limits of what callers make a server hold: bodies that are
 * refused or dropped, connections that are closed, answers that nobody reads.
 * Each test ends with an empty account.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>

#include "inbound.h"
#include "sockkit.h"

#define MAX_BODY 400000
#define ACCOUNT 1600000 /* of it 1200000 for large holders */
#define BODY_TIMEOUT_MS 30000
#define MAX_CONNECTIONS 4
#define MAX_UNSENT ((size_t)1 << 20)
#define STALL_MS 1100
#define GET_NOW "GET /now HTTP/1.1\r\nHost: h\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct mu_acct acct;
	struct mu_inbound *in;
	char addr[MU_ADDR_LEN];
	struct mu_in_req *open[8]; /* not answered yet */
	unsigned nopen;
	unsigned requests;
	unsigned too_large; /* of them */
	enum mu_in_end end; /* of the last request that ended */
	bool unread; /* it was */
};

static void
on_request(void *arg, struct mu_in_req *r)
{
	struct fixture *f = arg;
	static char large[900000];
	struct mu_buf b = {0};
	struct mu_acct_holder h;

	f->requests++;
	if (r->too_large) {
		f->too_large++;
		mu_in_answer(r, 413, NULL, 0, "too large", 9);
	} else if (strcmp(r->target, "/hold") == 0) {
		f->open[f->nopen++] = r;
	} else if (strcmp(r->target, "/stream") == 0) {
		f->open[f->nopen++] = r;
		mu_in_stream_begin(r, 200, NULL, 0);
	} else if (strcmp(r->target, "/large") == 0) {
		mu_in_holder_init(r, &h, MU_ACCT_ANSWER);
		assert_int_equal(mu_buf_add(&b, large, sizeof(large)), 0);
		mu_acct_force(&f->acct, &h, b.size, mu_loop_now(f->loop));
		mu_in_answer_buf(r, 200, NULL, 0, &b, &h);
		assert_null(b.p);
	} else {
		mu_in_answer(r, 200, NULL, 0, "done", 4);
	}
}

static void
on_closed(void *arg, struct mu_in_req *r, bool ok)
{
	struct fixture *f = arg;
	unsigned i;

	(void)ok;
	f->end = r->end;
	f->unread = r->unread;
	for (i = 0; i < f->nopen; i++)
		if (f->open[i] == r)
			f->open[i] = f->open[--f->nopen];
}

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct mu_in_conf c = {0};
	struct mu_error e = {0};

	signal(SIGPIPE, SIG_IGN);
	mu_clock_manual(&f->clock, 100 * MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	mu_acct_init(&f->acct, ACCOUNT);
	kit_unused_addr(f->addr);
	c.listen = f->addr;
	c.max_body = MAX_BODY;
	c.max_connections = MAX_CONNECTIONS;
	c.idle_s = 60;
	c.hooks.arg = f;
	c.hooks.request = on_request;
	c.hooks.closed = on_closed;
	c.strict = true;
	c.acct = &f->acct;
	c.body_timeout_ms = BODY_TIMEOUT_MS;
	c.max_unsent = MAX_UNSENT;
	assert_int_equal(mu_in_open(&f->in, f->loop, &c, &e), 0);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	kit_run_ms(f->loop, 50);
	mu_in_close(f->in);
	mu_loop_free(f->loop);
	assert_int_equal(f->acct.total, 0);
	mu_acct_fini(&f->acct);
	free(f);
	return 0;
}

static void
advance(struct fixture *f, unsigned ms)
{
	mu_clock_advance(&f->clock, ms * MU_US_PER_MS);
	kit_run_ms(f->loop, 5);
}

static unsigned
count_text(const struct kit_caller *c, const char *text)
{
	const char *p = kit_caller_received(c);
	unsigned n = 0;

	for (; (p = strstr(p, text)) != NULL; p += strlen(text))
		n++;
	return n;
}

/* Sends n bytes as far as they are taken. */
static size_t
send_bytes(struct fixture *f, struct kit_caller *c, size_t n)
{
	static char data[65536];
	size_t sent = 0;
	ssize_t k;
	int turns;

	memset(data, 'b', sizeof(data));
	for (turns = 0; sent < n && turns < 1000; turns++) {
		k = send(c->watch.fd, data,
		    n - sent < sizeof(data) ? n - sent : sizeof(data),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (k < 0 && errno != EAGAIN)
			break;
		sent += k > 0 ? (size_t)k : 0;
		mu_loop_once(f->loop, 1);
	}
	return sent;
}

/* Opens a connection and sends a request's head, and n bytes of its body. */
static struct kit_caller *
begin(struct fixture *f, const char *path, const char *framing, size_t n)
{
	static char head[60000];
	struct kit_caller *c;

	(void)snprintf(head, sizeof(head),
	    "POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, framing);
	c = kit_caller_open(f->loop, f->addr, head);
	(void)send_bytes(f, c, n);
	kit_run_ms(f->loop, 10);
	return c;
}

static void
expect_end(struct fixture *f, struct kit_caller *c, const char *text)
{
	assert_true(kit_until(f->loop, 2000, c->closed));
	if (count_text(c, text) != 1)
		print_message("got: %.200s\n", kit_caller_received(c));
	assert_int_equal(count_text(c, text), 1);
	kit_caller_free(c);
}

static void
expect_answer(struct fixture *f, struct kit_caller *c)
{
	(void)kit_until(f->loop, 2000, c->closed || count_text(c, "done") == 1);
	if (count_text(c, "done") != 1)
		print_message("got: %.200s\n", kit_caller_received(c));
	assert_int_equal(count_text(c, "done"), 1);
	kit_caller_free(c);
}

/* Lengths over the limit. */

/* Guards against bodies that are read to their end to be refused. */
static void
test_declared_length_over_the_limit_is_refused_at_the_head(void **state)
{
	struct fixture *f = *state;

	expect_end(f, begin(f, "/now", "Content-Length: 400001\r\n", 0),
	    "HTTP/1.1 413 ");
	expect_end(f,
	    begin(f, "/now", "Content-Length: 18446744073709551615\r\n", 0),
	    "HTTP/1.1 413 ");
	assert_int_equal(f->requests, 0);
	expect_answer(
	    f, begin(f, "/now", "Content-Length: 400000\r\n", 400000));
}

static void
test_refusal_takes_the_place_of_100_continue(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = begin(
	    f, "/now", "Expect: 100-continue\r\nContent-Length: 400001\r\n", 0);

	assert_true(kit_until(f->loop, 2000, c->closed));
	assert_int_equal(count_text(c, "HTTP/1.1 "), 1);
	expect_end(f, c, "HTTP/1.1 413 ");
	c = begin(
	    f, "/now", "Expect: 100-continue\r\nContent-Length: 400000\r\n", 0);
	assert_true(kit_until(f->loop, 2000, count_text(c, " 100 ") == 1));
	(void)send_bytes(f, c, 400000);
	expect_answer(f, c);
}

/* Guards against a body that is read two bytes at a time, as the library does
 * when the head has taken its memory. */
static void
test_long_head_with_a_body_is_refused_at_once(void **state)
{
	struct fixture *f = *state;
	static char framing[50000];

	(void)snprintf(framing, sizeof(framing),
	    "X-Long: %040000d\r\nContent-Length: 100000\r\n", 0);
	expect_end(f, begin(f, "/now", framing, 0), "HTTP/1.1 431 ");
	assert_int_equal(f->requests, 0);
	(void)snprintf(framing, sizeof(framing),
	    "X-Long: %016000d\r\nContent-Length: 100000\r\n", 0);
	expect_answer(f, begin(f, "/now", framing, 100000));
}

/* What follows on the connection belongs to the body that was refused. */
static void
test_nothing_is_read_after_a_refusal(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = kit_caller_open(f->loop, f->addr,
	    "PUT /now HTTP/1.1\r\nHost: h\r\nContent-Length: 400001\r\n\r\n"
	    "GET /now HTTP/1.1\r\nHost: h\r\n\r\n");

	assert_true(kit_until(f->loop, 2000, c->closed));
	kit_caller_free(c);
	assert_int_equal(f->requests, 0);
}

static void
test_chunked_body_over_the_limit(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = begin(f, "/now", CHUNKED, 0);

	/* Up to twice the limit it is skipped, and answered at its end. */
	(void)!write(c->watch.fd, "7a120\r\n", 7); /* 500000 */
	(void)send_bytes(f, c, 450000);
	assert_true(kit_until(f->loop, 2000, f->acct.total == 0));
	(void)send_bytes(f, c, 50000);
	(void)!write(c->watch.fd, "\r\n0\r\n\r\n", 7);
	assert_true(kit_until(f->loop, 2000, count_text(c, " 413 ") == 1));
	assert_int_equal(f->too_large, 1);
	kit_caller_free(c);
	/* Beyond, the connection is closed without a response. */
	c = begin(f, "/now", CHUNKED, 0);
	(void)!write(c->watch.fd, "f4240\r\n", 7); /* 1000000 */
	(void)send_bytes(f, c, 1000000);
	assert_true(kit_until(f->loop, 2000, c->closed));
	assert_int_equal(count_text(c, "HTTP/1.1 "), 0);
	kit_caller_free(c);
	assert_int_equal(f->requests, 1);
}

/* Room. */

#define LARGE "Content-Length: 390000\r\n"
#define SHORT_OF_LARGE 389000

static void
test_without_room_a_length_is_refused_at_the_head(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[3];
	unsigned i;

	for (i = 0; i < 3; i++)
		c[i] = begin(f, "/now", LARGE, SHORT_OF_LARGE);
	expect_end(f, begin(f, "/now", LARGE, 0), "Retry-After: ");
	assert_int_equal(f->requests, 0);
	/* Small bodies are served all the same, and so are the large ones. */
	expect_answer(f, begin(f, "/now", "Content-Length: 60000\r\n", 60000));
	for (i = 0; i < 3; i++) {
		(void)send_bytes(f, c[i], 1000);
		expect_answer(f, c[i]);
	}
}

static void
test_stalled_body_is_dropped_for_another(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[3];
	unsigned i;

	for (i = 0; i < 3; i++)
		c[i] = begin(f, "/now", LARGE, 100000);
	advance(f, STALL_MS);
	(void)send_bytes(f, c[0], 1);
	(void)send_bytes(f, c[2], 1);
	kit_run_ms(f->loop, 10);
	expect_answer(f, begin(f, "/now", LARGE, 390000));
	expect_end(f, c[1], "HTTP/1.1 503 ");
	assert_false(c[0]->closed);
	(void)send_bytes(f, c[0], 289999);
	(void)send_bytes(f, c[2], 289999);
	expect_answer(f, c[0]);
	expect_answer(f, c[2]);
}

/* Guards against dropping a request that an endpoint may run. */
static void
test_request_read_whole_is_not_dropped(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[3];
	unsigned i;

	for (i = 0; i < 3; i++)
		c[i] = begin(f, "/hold", LARGE, 390000);
	assert_true(kit_until(f->loop, 2000, f->nopen == 3));
	advance(f, 10 * STALL_MS);
	expect_end(f, begin(f, "/now", LARGE, 0), "HTTP/1.1 503 ");
	assert_int_equal(f->nopen, 3);
	while (f->nopen > 0) {
		mu_in_answer(f->open[0], 200, NULL, 0, "done", 4);
		assert_true(kit_until(f->loop, 1000, f->requests == 3));
		kit_run_ms(f->loop, 10);
	}
	for (i = 0; i < 3; i++)
		expect_answer(f, c[i]);
}

static void
test_chunked_body_without_room_ends(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[3], *d;
	unsigned i;

	for (i = 0; i < 3; i++)
		c[i] = begin(f, "/now", LARGE, SHORT_OF_LARGE);
	d = begin(f, "/now", CHUNKED, 0);
	(void)!write(d->watch.fd, "61a80\r\n", 7); /* 400000 */
	(void)send_bytes(f, d, 300000);
	expect_end(f, d, "HTTP/1.1 503 ");
	for (i = 0; i < 3; i++)
		kit_caller_free(c[i]);
}

/* A chunked body of the largest size needs no more room than a declared one.
 */
static void
test_room_of_a_chunked_body(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = begin(f, "/hold", CHUNKED, 0);

	(void)!write(c->watch.fd, "61a80\r\n", 7); /* 400000 */
	(void)send_bytes(f, c, 400000);
	(void)!write(c->watch.fd, "\r\n0\r\n\r\n", 7);
	assert_true(kit_until(f->loop, 2000, f->nopen == 1));
	assert_int_equal(f->acct.total, MAX_BODY + 1);
	mu_in_answer(f->open[0], 200, NULL, 0, "done", 4);
	expect_answer(f, c);
}

static void
test_body_that_takes_too_long_ends_its_connection(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = begin(f, "/now", LARGE, 1000);
	struct kit_caller *d = begin(f, "/hold", LARGE, 390000);
	int i;

	assert_true(kit_until(f->loop, 2000, f->nopen == 1));
	for (i = 0; i < 29; i++) {
		advance(f, 1000);
		(void)send_bytes(f, c, 1);
	}
	assert_false(c->closed);
	advance(f, 1500);
	expect_end(f, c, "HTTP/1.1 408 ");
	/* The time is the body's, not the request's. */
	assert_int_equal(f->nopen, 1);
	mu_in_answer(f->open[0], 200, NULL, 0, "done", 4);
	expect_answer(f, d);
}

/* Connections. */

static struct kit_caller *
idle_caller(struct fixture *f)
{
	struct kit_caller *c = kit_caller_open(
	    f->loop, f->addr, "GET /now HTTP/1.1\r\nHost: h\r\n\r\n");

	assert_true(kit_until(f->loop, 2000, count_text(c, "done") == 1));
	return c;
}

static void
test_longest_idle_connection_is_closed_for_a_new_one(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[MAX_CONNECTIONS], *d;
	unsigned i;

	c[0] = begin(f, "/now", "Content-Length: 3\r\n", 1);
	for (i = 1; i < MAX_CONNECTIONS; i++)
		c[i] = idle_caller(f);
	(void)!write(c[1]->watch.fd, GET_NOW, strlen(GET_NOW));
	assert_true(kit_until(f->loop, 2000, count_text(c[1], "done") == 2));
	d = idle_caller(f);
	assert_true(kit_until(f->loop, 2000, c[2]->closed));
	assert_false(c[0]->closed);
	assert_false(c[1]->closed);
	assert_false(c[3]->closed);
	kit_caller_free(d);
	for (i = 0; i < MAX_CONNECTIONS; i++)
		kit_caller_free(c[i]);
}

static void
test_longest_stalled_request_is_closed_without_an_idle_one(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[MAX_CONNECTIONS], *d;
	unsigned i;

	c[0] = begin(f, "/hold", "", 0);
	for (i = 1; i < MAX_CONNECTIONS; i++)
		c[i] = begin(f, "/now", "Content-Length: 9\r\n", 1);
	(void)send_bytes(f, c[1], 1);
	kit_run_ms(f->loop, 10);
	d = idle_caller(f);
	assert_true(kit_until(f->loop, 2000, c[2]->closed));
	assert_false(c[0]->closed);
	assert_false(c[1]->closed);
	assert_false(c[3]->closed);
	kit_caller_free(d);
	for (i = 0; i < MAX_CONNECTIONS; i++)
		kit_caller_free(c[i]);
	assert_true(kit_until(f->loop, 2000, f->nopen == 0));
}

/* All connections have a request in progress: a new one waits, none is cut. */
static void
test_busy_connections_are_not_closed(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[MAX_CONNECTIONS];
	struct kit_caller *d;
	unsigned i;

	for (i = 0; i < MAX_CONNECTIONS; i++)
		c[i] = begin(f, "/hold", "", 0);
	assert_true(kit_until(f->loop, 2000, f->nopen == MAX_CONNECTIONS));
	d = kit_caller_open(f->loop, f->addr, "");
	kit_run_ms(f->loop, 50);
	for (i = 0; i < MAX_CONNECTIONS; i++) {
		assert_false(c[i]->closed);
		kit_caller_free(c[i]);
	}
	kit_caller_free(d);
	assert_true(kit_until(f->loop, 2000, f->nopen == 0));
}

/* Answers that nobody reads. */

static struct kit_caller *
deaf_caller(struct fixture *f, const char *path)
{
	struct kit_caller *c = kit_caller_open(f->loop, f->addr, "");
	char head[128];
	int small = 4096;

	mu_watch_set(f->loop, &c->watch, 0);
	(void)setsockopt(
	    c->watch.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	(void)snprintf(
	    head, sizeof(head), "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);
	(void)!write(c->watch.fd, head, strlen(head));
	return c;
}

static void
test_stream_that_is_not_read_is_aborted(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = deaf_caller(f, "/stream");
	static char event[4000];
	unsigned i;

	memset(event, 'e', sizeof(event));
	assert_true(kit_until(f->loop, 2000, f->nopen == 1));
	for (i = 0; i < 5000 && f->nopen == 1; i++) {
		mu_in_stream_write(f->open[0], event, sizeof(event));
		mu_loop_once(f->loop, 0);
		assert_true(f->acct.total <= 2 * MAX_UNSENT);
	}
	assert_true(kit_until(f->loop, 2000, f->nopen == 0));
	assert_int_equal(f->end, MU_IN_CUT);
	assert_true(f->unread);
	kit_caller_free(c);
}

/* A caller that reads, however slowly, gets its whole stream. */
static void
test_stream_that_is_read_is_not_aborted(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = kit_caller_open(
	    f->loop, f->addr, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
	static char event[4000];
	unsigned i;

	memset(event, 'e', sizeof(event));
	assert_true(kit_until(f->loop, 2000, f->nopen == 1));
	for (i = 0; i < 2000; i++) {
		mu_in_stream_write(f->open[0], event, sizeof(event));
		mu_loop_once(f->loop, 1);
	}
	mu_in_stream_end(f->open[0], true);
	assert_true(kit_until(f->loop, 2000, f->nopen == 0));
	assert_int_equal(f->end, MU_IN_SENT);
	assert_true(kit_until(
	    f->loop, 2000, mu_buf_len(&c->in) > 2000 * sizeof(event)));
	kit_caller_free(c);
}

static void
test_unread_answer_is_dropped_for_room_once_it_has_stalled(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = deaf_caller(f, "/large");

	assert_true(kit_until(f->loop, 2000, f->acct.total > 900000));
	kit_run_ms(f->loop, 200); /* until the kernel's buffers are full */
	expect_end(f, begin(f, "/now", LARGE, 0), "HTTP/1.1 503 ");
	advance(f, STALL_MS);
	expect_answer(f, begin(f, "/now", LARGE, 390000));
	assert_true(kit_until(f->loop, 2000, f->unread || f->end == MU_IN_CUT));
	kit_caller_free(c);
}

static void
test_large_answer_is_sent_whole(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = kit_caller_open(
	    f->loop, f->addr, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n");

	assert_true(kit_until(f->loop, 2000, mu_buf_len(&c->in) > 900000));
	assert_int_equal(count_text(c, "Content-Length: 900000\r\n"), 1);
	assert_true(kit_until(f->loop, 2000, f->acct.total == 0));
	assert_int_equal(f->end, MU_IN_SENT);
	/* The connection is kept. */
	(void)!write(c->watch.fd, GET_NOW, strlen(GET_NOW));
	assert_true(kit_until(f->loop, 2000, f->requests == 2));
	assert_false(c->closed);
	kit_caller_free(c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_declared_length_over_the_limit_is_refused_at_the_head),
	    T(test_refusal_takes_the_place_of_100_continue),
	    T(test_long_head_with_a_body_is_refused_at_once),
	    T(test_nothing_is_read_after_a_refusal),
	    T(test_chunked_body_over_the_limit),
	    T(test_without_room_a_length_is_refused_at_the_head),
	    T(test_stalled_body_is_dropped_for_another),
	    T(test_request_read_whole_is_not_dropped),
	    T(test_chunked_body_without_room_ends),
	    T(test_room_of_a_chunked_body),
	    T(test_body_that_takes_too_long_ends_its_connection),
	    T(test_longest_idle_connection_is_closed_for_a_new_one),
	    T(test_longest_stalled_request_is_closed_without_an_idle_one),
	    T(test_busy_connections_are_not_closed),
	    T(test_stream_that_is_not_read_is_aborted),
	    T(test_stream_that_is_read_is_not_aborted),
	    T(test_unread_answer_is_dropped_for_room_once_it_has_stalled),
	    T(test_large_answer_is_sent_whole),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
