/*
 * test_callroom.c -- what a call holds counts in the account, from the copies
 * of its body to an answer that its caller does not read.  Each test ends with
 * an empty account.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>

#include "adapter.h"
#include "memstore.h"
#include "sockkit.h"

#define MIB ((size_t)1 << 20)
#define ACCOUNT (4 * MIB) /* of it 3 MiB for large holders */
#define MAX_BODY (1 * MIB)
#define LAST_CHUNK "\r\n0\r\n\r\n"
#define LARGE_ANSWER_BYTES 1500000
#define LONG_STREAM_BYTES 8000000
#define EVENT_BYTES 4000
#define PACED_MAX 3
#define PACE_BYTES (10 * (size_t)EVENT_BYTES)
#define LINE_BYTES 250000

static const char config[] =
    "{\"version\":3,\"routes\":["
    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
    "\"type\":\"streaming\",\"timeout_ms\":9000,\"service\":\"app\","
    "\"keeps_history\":true,\"retention_s\":60},"
    "{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
    "\"type\":\"unsafe\",\"timeout_ms\":9000,\"service\":\"app\"}],"
    "\"services\":[{\"name\":\"app\"}],\"limits\":{}}";

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct mu_acct acct;
	struct mu_acct_holder other; /* takes room from the requests */
	struct mu_serve serve;
	struct mu_inbound *in;
	char addr[MU_ADDR_LEN];
	struct mu_inbound *endpoint;
	char endpoint_addr[MU_ADDR_LEN];
	unsigned passed_on; /* requests at the endpoint */
	size_t last_body; /* length of the last one */
	unsigned cancelled; /* answers that the daemon did not take whole */
	struct mu_in_req *paced[PACED_MAX]; /* at /chat/paced; NULL: ended */
	unsigned npaced;
};

/* The endpoint answers by path. */

static void
write_events(struct mu_in_req *r, size_t bytes)
{
	static char event[EVENT_BYTES + 1];
	size_t n;

	(void)snprintf(
	    event, sizeof(event), "data: %0*d\n\n", EVENT_BYTES - 8, 0);
	for (n = 0; n < bytes; n += EVENT_BYTES)
		mu_in_stream_write(r, event, EVENT_BYTES);
}

static void
stream_events(struct mu_in_req *r, const struct mu_header *h, size_t bytes)
{
	mu_in_stream_begin(r, 200, h, 2);
	write_events(r, bytes);
	mu_in_stream_end(r, true);
}

/* An event of one line. */
static void
stream_line(struct mu_in_req *r, const struct mu_header *h)
{
	static char line[LINE_BYTES + 1];

	(void)snprintf(line, sizeof(line), "data: %0*d", LINE_BYTES - 6, 0);
	mu_in_stream_begin(r, 200, h, 2);
	mu_in_stream_write(r, line, LINE_BYTES);
	mu_in_stream_write(r, "\n\n", 2);
	mu_in_stream_end(r, true);
}

static void
on_endpoint_request(void *arg, struct mu_in_req *r)
{
	struct fixture *f = arg;
	static char large[LARGE_ANSWER_BYTES];
	struct mu_header h[] = {{"Request-Id", mu_in_header(r, "Request-Id")},
	    {"Server-Signature", "s"}};

	f->passed_on++;
	f->last_body = mu_buf_len(&r->body);
	if (strcmp(r->target, "/chat/paced") == 0) {
		assert_true(f->npaced < PACED_MAX);
		f->paced[f->npaced++] = r;
		mu_in_stream_begin(r, 200, h, 2);
	} else if (strcmp(r->target, "/chat/line") == 0)
		stream_line(r, h);
	else if (strcmp(r->target, "/chat/1") == 0)
		stream_events(r, h, 2 * EVENT_BYTES);
	else if (strcmp(r->target, "/chat/long") == 0)
		stream_events(r, h, LONG_STREAM_BYTES);
	else if (strcmp(r->target, "/order/large") == 0)
		mu_in_answer(r, 200, h, 2, large, sizeof(large));
	else
		mu_in_answer(r, 200, h, 2, "done", 4);
}

static void
on_endpoint_closed(void *arg, struct mu_in_req *r, bool ok)
{
	struct fixture *f = arg;
	unsigned i;

	f->cancelled += !ok;
	for (i = 0; i < f->npaced; i++)
		if (f->paced[i] == r)
			f->paced[i] = NULL;
}

static void
open_endpoint(struct fixture *f)
{
	struct mu_in_conf c = {0};
	struct mu_error e = {0};
	char row[512];

	kit_unused_addr(f->endpoint_addr);
	c.listen = f->endpoint_addr;
	c.max_body = 4 * MAX_BODY;
	c.max_connections = 100;
	c.idle_s = 60;
	c.hooks.arg = f;
	c.hooks.request = on_endpoint_request;
	c.hooks.closed = on_endpoint_closed;
	assert_int_equal(mu_in_open(&f->endpoint, f->loop, &c, &e), 0);
	(void)snprintf(row, sizeof(row),
	    "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"east\","
	    "\"slots\":8,\"state\":\"ready\",\"sequence\":1}",
	    f->endpoint_addr);
	mem_put(f->mem, "servers", "", "i-0", row, strlen(row));
}

static void
open_inbound(struct fixture *f)
{
	struct mu_in_conf c = {0};
	struct mu_error e = {0};

	c.listen = f->addr;
	c.max_body = MAX_BODY;
	c.max_connections = 100;
	c.idle_s = 60;
	c.hooks.arg = &f->serve;
	c.hooks.request = pf_on_caller_request;
	c.hooks.closed = pf_on_caller_closed;
	c.strict = true;
	c.acct = &f->acct;
	c.body_timeout_ms = 30000;
	c.max_unsent = MIB;
	assert_int_equal(mu_in_open(&f->in, f->loop, &c, &e), 0);
}

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct mu_store_backend b;
	struct mu_error e = {0};
	static char mesh[MU_ADDR_LEN];

	signal(SIGPIPE, SIG_IGN);
	mu_clock_real(&f->clock);
	f->loop = mu_loop_new(&f->clock);
	mu_acct_init(&f->acct, ACCOUNT);
	mu_acct_holder_init(&f->other, MU_ACCT_BODY, 1, NULL);
	f->mem = calloc(1, sizeof(*f->mem));
	f->mem->ver = 1;
	b = mem_backend(f->mem, f->loop);
	mem_put(f->mem, "op", "", "config", config, strlen(config));
	kit_unused_addr(f->addr);
	kit_unused_addr(mesh);
	f->serve.adapter = &pf_adapter;
	f->serve.conf.host = "d1";
	f->serve.conf.domain = "east";
	f->serve.conf.incarnation = 77;
	f->serve.conf.caller_addr = f->addr;
	f->serve.conf.mesh_addr = mesh;
	f->serve.conf.config_fresh_ms = 5000;
	f->serve.conf.limit_window_ms = 5000;
	assert_int_equal(mu_serve_open(&f->serve, f->loop, &b, &e), 0);
	open_inbound(f);
	open_endpoint(f);
	assert_true(kit_until(f->loop, 5000,
	    mu_serve_ready(&f->serve) && f->serve.targets.by_name.count == 1));
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	mu_acct_give(&f->acct, &f->other, SIZE_MAX);
	assert_true(kit_until(f->loop, 3000, f->acct.total == 0));
	mu_in_close(f->in);
	mem_cancel_pending(f->mem);
	mu_serve_close(&f->serve);
	mu_in_close(f->endpoint);
	mem_free(f->mem);
	mu_loop_free(f->loop);
	mu_acct_fini(&f->acct);
	free(f);
	return 0;
}

/* Sends a request with a body of n bytes. */
static struct kit_caller *
send_request(struct fixture *f, const char *path, const char *id,
    const char *more, size_t n)
{
	static char body[MAX_BODY];
	struct kit_caller *c;
	char head[512];
	size_t sent = 0;
	ssize_t k;
	int turns;

	memset(body, 'b', sizeof(body));
	(void)snprintf(head, sizeof(head),
	    "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n%s"
	    "Content-Length: %zu\r\n\r\n",
	    path, id, more, n);
	c = kit_caller_open(f->loop, f->addr, head);
	for (turns = 0; sent < n && turns < 2000; turns++) {
		k = send(c->watch.fd, body + sent, n - sent,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		sent += k > 0 ? (size_t)k : 0;
		mu_loop_once(f->loop, 1);
	}
	return c;
}

static void
expect(struct fixture *f, struct kit_caller *c, const char *text)
{
	(void)kit_until(f->loop, 5000,
	    c->closed || strstr(kit_caller_received(c), text) != NULL);
	if (strstr(kit_caller_received(c), text) == NULL)
		print_message("got: %.200s\n", kit_caller_received(c));
	assert_non_null(strstr(kit_caller_received(c), text));
	kit_caller_free(c);
}

static void
take_room(struct fixture *f, size_t n)
{
	assert_int_equal(
	    mu_acct_take(&f->acct, &f->other, n, mu_loop_now(f->loop)),
	    MU_ACCT_OK);
}

/* Guards against a large body that is cut when it is sent without a copy. */
static void
test_large_body_reaches_the_endpoint_whole(void **state)
{
	static const size_t lengths[] = {MAX_BODY, 65537, 65536, 0};
	struct fixture *f = *state;
	unsigned i;

	for (i = 0; i < 4; i++) {
		expect(f, send_request(f, "/order/1", "r", "", lengths[i]),
		    "done");
		assert_int_equal(f->passed_on, i + 1);
		assert_int_equal(f->last_body, lengths[i]);
	}
	/* On a kept connection: nothing was left unsent. */
	assert_int_equal(mu_in_connections(f->endpoint), 1);
}

/* The body, and twice its length for the record and its encoded form. */
static void
test_turn_reserves_its_record(void **state)
{
	struct fixture *f = *state;

	expect(f, send_request(f, "/chat/1", "t1", "", 1000000), LAST_CHUNK);
	assert_true(kit_until(f->loop, 3000, f->acct.total == 0));
	take_room(f, MIB);
	expect(f, send_request(f, "/chat/1", "t2", "", 1000000), "no_room");
	/* It was refused before it was passed on. */
	assert_int_equal(f->passed_on, 1);
	expect(f, send_request(f, "/chat/1", "t3", "", 10000), LAST_CHUNK);
	expect(f, send_request(f, "/order/1", "t4", "", 1000000), "done");
}

static void
test_turn_reserves_its_text_with_history(void **state)
{
	struct fixture *f = *state;

	expect(f, send_request(f, "/chat/1", "t1", "", 700000), LAST_CHUNK);
	assert_true(kit_until(f->loop, 3000, f->acct.total == 0));
	take_room(f, 5 * MIB / 2);
	/* 10 kB of its own that continue 700 kB. */
	expect(f,
	    send_request(f, "/chat/1", "t2", "Previous-Turn: t1\r\n", 10000),
	    "no_room");
	assert_int_equal(f->passed_on, 1);
	mu_acct_give(&f->acct, &f->other, SIZE_MAX);
	expect(f,
	    send_request(f, "/chat/1", "t3", "Previous-Turn: t1\r\n", 10000),
	    LAST_CHUNK);
	assert_true(f->last_body > 710000);
}

/* Guards against answers that are lost, or held without limit, when there is no
 * room for them. */
static void
test_answer_without_room_is_read_later(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[3];
	size_t most = 0;
	unsigned i, turns;

	take_room(f, 5 * MIB / 2);
	for (i = 0; i < 3; i++)
		c[i] = send_request(f, "/order/large", "r", "", 2);
	for (turns = 0; turns < 5000; turns++) {
		mu_loop_once(f->loop, 1);
		if (f->acct.total > most)
			most = f->acct.total;
		if (mu_buf_len(&c[0]->in) > LARGE_ANSWER_BYTES &&
		    mu_buf_len(&c[1]->in) > LARGE_ANSWER_BYTES &&
		    mu_buf_len(&c[2]->in) > LARGE_ANSWER_BYTES)
			break;
	}
	for (i = 0; i < 3; i++) {
		assert_true(mu_buf_len(&c[i]->in) > LARGE_ANSWER_BYTES);
		kit_caller_free(c[i]);
	}
	/* One answer at a time goes beyond the limit, by up to 2 MiB. */
	assert_in_range(most, 1, ACCOUNT + 2 * MIB);
}

/* Writes events to the turns at /chat/paced, slowly enough for their callers to
 * take them, until all callers' connections are closed or so many bytes are
 * written to each turn.  Returns the most bytes held meanwhile. */
static size_t
pace_turns(struct fixture *f, struct kit_caller **c, unsigned n, size_t bytes)
{
	size_t written = 0, most = 0;
	unsigned i, closed = 0;

	assert_true(kit_until(f->loop, 3000, f->npaced == n));
	for (; written < bytes && closed < n; written += PACE_BYTES) {
		for (i = 0; i < n; i++)
			if (f->paced[i] != NULL)
				write_events(f->paced[i], PACE_BYTES);
		kit_run_ms(f->loop, 5);
		if (f->acct.total > most)
			most = f->acct.total;
		for (i = closed = 0; i < n; i++)
			closed += c[i]->closed;
	}
	return most;
}

/* Guards against the output of a turn without end, held until its deadline: one
 * that no record takes is given up, and nothing of it is stored. */
static void
test_turn_longer_than_a_record_is_given_up(void **state)
{
	struct fixture *f = *state;
	unsigned rows = f->mem->nrows;
	struct kit_caller *c = send_request(f, "/chat/paced", "t1", "", 2);

	(void)pace_turns(f, &c, 1, MU_HISTORY_MAX_BYTES + MIB);
	assert_true(c->closed);
	assert_null(strstr(kit_caller_received(c), LAST_CHUNK));
	assert_true(kit_until(f->loop, 3000, f->cancelled == 1));
	assert_int_equal(f->mem->nrows, rows);
	kit_caller_free(c);
}

/* Guards against outputs that are held without limit: beyond the account, that
 * of one turn at a time is read. */
static void
test_output_without_room_is_read_later(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[PACED_MAX];
	unsigned i;
	size_t most;

	for (i = 0; i < PACED_MAX; i++)
		c[i] = send_request(f, "/chat/paced", "t", "", 2);
	most = pace_turns(f, c, PACED_MAX, LONG_STREAM_BYTES);
	for (i = 0; i < PACED_MAX; i++)
		kit_caller_free(c[i]);
	/* A buffer is allocated in powers of two. */
	assert_in_range(most, 1, ACCOUNT + 8 * MIB);
}

/* Guards against an event without end that is held without room. */
static void
test_event_without_room_is_read_later(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c;
	size_t before;

	take_room(f, 3 * MIB - 100000);
	before = f->acct.total;
	f->serve.overdraft = (struct mu_call *)f; /* another call reads on */
	c = send_request(f, "/chat/line", "t1", "", 2);
	kit_run_ms(f->loop, 300);
	/* The buffer and the parser's copy of less than half of the line. */
	assert_in_range(f->acct.total - before, 1, 2 * LINE_BYTES);
	assert_false(c->closed);
	mu_acct_give(&f->acct, &f->other, SIZE_MAX);
	assert_true(kit_until(
	    f->loop, 3000, strstr(kit_caller_received(c), LAST_CHUNK) != NULL));
	assert_true(mu_buf_len(&c->in) > LINE_BYTES);
	f->serve.overdraft = NULL;
	kit_caller_free(c);
}

/* Guards against an endpoint that goes on with an answer which nobody reads. */
static void
test_unread_stream_cancels_its_attempt(void **state)
{
	static const char request[] = "GET /chat/long HTTP/1.1\r\nHost: h\r\n"
				      "Request-Id: u\r\n\r\n";
	struct fixture *f = *state;
	struct kit_caller *c = kit_caller_open(f->loop, f->addr, "");
	int small = 4096;

	mu_watch_set(f->loop, &c->watch, 0);
	(void)setsockopt(
	    c->watch.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	(void)!write(c->watch.fd, request, strlen(request));
	assert_true(kit_until(f->loop, 8000, f->cancelled == 1));
	assert_true(kit_until(f->loop, 1000, f->serve.ncalls == 0));
	kit_caller_free(c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_large_body_reaches_the_endpoint_whole),
	    T(test_turn_reserves_its_record),
	    T(test_turn_reserves_its_text_with_history),
	    T(test_answer_without_room_is_read_later),
	    T(test_turn_longer_than_a_record_is_given_up),
	    T(test_output_without_room_is_read_later),
	    T(test_event_without_room_is_read_later),
	    T(test_unread_stream_cancels_its_attempt),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
