/*
 * fault_stop.c -- planned stop of a serving daemon under traffic.
 *
 * The daemon is a real process; its store, the endpoints and the callers are
 * played by this program.  Callers keep using the daemon's address and their
 * open connections until the process is gone, unless an answer ends the
 * connection.
 */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <sys/stat.h>

#include "hmap.h"
#include "proc.h"
#include "tablekit.h"

#define ENDPOINTS 2 /* of each of the two services */
#define SLOTS 32 /* of an endpoint */
#define CALLERS 16
#define STOP_MS 4000
#define ADDRESS_TTL_MS 400
#define TIME_LIMIT_MS 1500 /* of the routes with one */
#define START_TURNS 5000 /* of the loop, until the daemon is ready */
#define UNREAD_MS 200 /* a request may cross the end of its connection */
#define REFUSED_MS 150 /* a request that can't be served is refused by then */
#define EVENTS 4 /* of a stream */

enum kind {
	KIND_ORDER,
	KIND_TURN,
	KIND_ENDLESS, /* an order without a time limit, never answered */
	KIND_COUNT
};

struct call {
	struct mu_hnode node; /* by request id */
	char id[32];
	enum kind kind;
	mu_us sent_at;
	unsigned runs; /* at endpoints */
	bool refused; /* with 503 */
};

struct caller {
	struct kit_caller *conn;
	struct call *call;
	enum kind kind;
	unsigned gap_ms; /* between an answer and the next request */
	mu_us next_at;
};

/* A request that an endpoint works on. */
struct work {
	struct mu_timer timer;
	struct mu_in_req *r;
	enum kind kind;
	unsigned events;
	char id[32];
};

static struct {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct tablekit store;
	struct mu_inbound *endpoints[2 * ENDPOINTS];
	char endpoint_addr[2 * ENDPOINTS][MU_ADDR_LEN];
	unsigned sequence; /* of endpoints' rows */
	struct proc *daemon;
	char addr[MU_ADDR_LEN];
	char ready[MU_ADDR_LEN];
	struct mu_hmap calls;
	struct caller caller[CALLERS];
	unsigned work_ms;
	unsigned next_id;
	mu_us term_at; /* SIGTERM was sent; 0: not yet */
	mu_us exit_at; /* the process was gone */
	mu_us longest_turn; /* of this program's loop */
	unsigned answered, refused, failed, unread, cut, not_connected;
	unsigned answered_late, refused_late, slow_refusals;
	unsigned hasty_refusals; /* the caller isn't told to wait */
} t;

static const char config[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
    "\"type\":\"streaming\",\"timeout_ms\":1500,\"service\":\"llm\","
    "\"keeps_history\":true,\"retention_s\":60},"
    "{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
    "\"type\":\"unsafe\",\"timeout_ms\":1500,\"service\":\"app\"},"
    "{\"name\":\"long\",\"host\":\"h\",\"path_prefix\":\"/long/\","
    "\"type\":\"unsafe\",\"service\":\"app\"}],"
    "\"services\":[{\"name\":\"llm\",\"engine\":{\"chunk_tokens\":17}},"
    "{\"name\":\"app\"}],\"limits\":{}}";

/* Endpoints. */

static void
on_work(void *arg)
{
	struct work *w = arg;
	struct mu_header h[] = {
	    {"Request-Id", w->id}, {"Server-Signature", "s"}};
	char text[96];

	if (w->kind == KIND_ORDER) {
		mu_in_answer(w->r, 200, h, 2, w->id, strlen(w->id));
		return;
	}
	if (w->events == 0)
		mu_in_stream_begin(w->r, 200, h, 2);
	w->events++;
	(void)snprintf(text, sizeof(text), "id: %u\ndata: %s-%u\n\n", w->events,
	    w->id, w->events);
	mu_in_stream_write(w->r, text, strlen(text));
	if (w->events == EVENTS)
		mu_in_stream_end(w->r, true);
	else
		mu_timer_set(t.loop, &w->timer,
		    mu_loop_now(t.loop) +
			(mu_us)t.work_ms * MU_US_PER_MS / EVENTS);
}

static void
on_endpoint_request(void *arg, struct mu_in_req *r)
{
	const char *id = mu_in_header(r, "Request-Id");
	struct mu_hnode *n = id != NULL ? mu_hmap_find(&t.calls, id) : NULL;
	struct call *call;
	struct work *w;
	mu_us ms = t.work_ms;

	(void)arg;
	assert_non_null(n);
	call = MU_CONTAINER_OF(n, struct call, node);
	call->runs++;
	w = calloc(1, sizeof(*w));
	w->r = r;
	w->kind = call->kind;
	(void)snprintf(w->id, sizeof(w->id), "%s", id);
	w->timer.fn = on_work;
	w->timer.arg = w;
	r->user = w;
	if (w->kind == KIND_ENDLESS)
		return;
	if (w->kind == KIND_TURN)
		ms = ms / EVENTS;
	mu_timer_set(
	    t.loop, &w->timer, mu_loop_now(t.loop) + ms * MU_US_PER_MS);
}

static void
on_endpoint_closed(void *arg, struct mu_in_req *r, bool ok)
{
	struct work *w = r->user;

	(void)arg;
	(void)ok;
	if (w == NULL)
		return;
	mu_timer_clear(t.loop, &w->timer);
	free(w);
}

static void
put_row(const char *table, const char *key, const char *text)
{
	t.mem->ver++;
	mem_put(t.mem, table, "", key, text, strlen(text));
}

static void
publish_endpoint(unsigned i, unsigned slots)
{
	char row[512], name[16];

	(void)snprintf(name, sizeof(name), "i-%u", i);
	(void)snprintf(row, sizeof(row),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
	    "\"slots\":%u,\"state\":\"ready\",\"sequence\":%u}",
	    i < ENDPOINTS ? "llm" : "app", t.endpoint_addr[i], slots,
	    ++t.sequence);
	put_row("servers", name, row);
}

static void
open_endpoint(unsigned i)
{
	struct mu_in_conf c = {0};
	struct mu_error e;

	kit_unused_addr(t.endpoint_addr[i]);
	c.listen = t.endpoint_addr[i];
	c.max_body = 1 << 22;
	c.max_connections = 400;
	c.idle_s = 30;
	c.hooks.request = on_endpoint_request;
	c.hooks.closed = on_endpoint_closed;
	assert_int_equal(mu_in_open(&t.endpoints[i], t.loop, &c, &e), 0);
	publish_endpoint(i, SLOTS);
}

/* The daemon. */

static bool
is_ready(void)
{
	struct kit_caller *c = kit_caller_open(
	    t.loop, t.ready, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
	int status = 0;

	(void)kit_until(t.loop, 200,
	    c->closed || strstr(kit_caller_received(c), "\r\n\r\n") != NULL);
	(void)sscanf(kit_caller_received(c), "HTTP/1.1 %d", &status);
	kit_caller_free(c);
	return status == 200;
}

/* Settings with new addresses. */
static void
write_settings(char *text, size_t size)
{
	char directory[MU_ADDR_LEN], mesh[MU_ADDR_LEN], metrics[MU_ADDR_LEN];

	kit_unused_addr(t.addr);
	kit_unused_addr(t.ready);
	kit_unused_addr(directory);
	kit_unused_addr(mesh);
	kit_unused_addr(metrics);
	(void)snprintf(text, size,
	    "host: d0\ndomain: z\nregion: r\ncaller_addr: %s\n"
	    "ready_addr: %s\ndirectory_addr: %s\nmesh_addr: %s\n"
	    "metrics_addr: %s\nstore_addr: %s\nstop_ms: %d\n"
	    "address_ttl_ms: %d\n",
	    t.addr, t.ready, directory, mesh, metrics, t.store.addr, STOP_MS,
	    ADDRESS_TTL_MS);
}

static void
start_daemon(void)
{
	char text[1024], path[256];
	const char *args[] = {"--settings", path, NULL};

	write_settings(text, sizeof(text));
	proc_write(path, sizeof(path), "d0.yaml", text);
	t.daemon = proc_start("d0", "cardamomusher", args);
	assert_true(kit_until(t.loop, START_TURNS, is_ready()));
}

static int
setup(void **state)
{
	unsigned i;

	memset(&t, 0, sizeof(t));
	signal(SIGPIPE, SIG_IGN);
	if (proc_setup(state) != 0 || sodium_init() < 0 ||
	    mu_hmap_init(&t.calls) != 0)
		return -1;
	mu_clock_real(&t.clock);
	t.loop = mu_loop_new(&t.clock);
	t.mem = calloc(1, sizeof(*t.mem));
	if (tablekit_open(&t.store, t.loop, t.mem) != 0)
		return -1;
	put_row("op", "config", config);
	for (i = 0; i < 2 * ENDPOINTS; i++)
		open_endpoint(i);
	start_daemon();
	return 0;
}

/* Callers. */

static void
end_call(struct caller *c, bool closes)
{
	c->call = NULL;
	c->next_at = mu_loop_now(t.loop) + c->gap_ms * MU_US_PER_MS;
	mu_buf_consume(&c->conn->in, mu_buf_len(&c->conn->in));
	if (closes) {
		kit_caller_free(c->conn);
		c->conn = NULL;
	}
}

/* Whether the daemon accepted the connection. */
static bool
is_connected(const struct kit_caller *c)
{
	struct sockaddr_in peer;
	socklen_t len = sizeof(peer);

	return getpeername(c->watch.fd, (struct sockaddr *)&peer, &len) == 0;
}

static void
send_request(struct caller *c)
{
	static const char *const paths[] = {"/order/1", "/chat/1", "/long/1"};
	struct call *call = calloc(1, sizeof(*call));
	char request[512], limit[64] = "";

	(void)snprintf(call->id, sizeof(call->id), "r%06u", ++t.next_id);
	call->node.key = call->id;
	call->kind = c->kind;
	call->sent_at = mu_loop_now(t.loop);
	mu_hmap_add(&t.calls, &call->node);
	c->call = call;
	if (c->kind != KIND_ENDLESS)
		(void)snprintf(
		    limit, sizeof(limit), "Deadline-Ms: %d\r\n", TIME_LIMIT_MS);
	(void)snprintf(request, sizeof(request),
	    "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n%s"
	    "Content-Length: 2\r\n\r\nin",
	    paths[c->kind], call->id, limit);
	if (c->conn != NULL) {
		(void)!send(
		    c->conn->watch.fd, request, strlen(request), MSG_NOSIGNAL);
		return;
	}
	c->conn = kit_caller_open(t.loop, t.addr, request);
	if (!is_connected(c->conn)) {
		t.not_connected++;
		end_call(c, true);
	}
}

/* Whether the answer is complete as its framing says. */
static bool
answer_complete(const char *a)
{
	const char *body = strstr(a, "\r\n\r\n"), *len;

	if (body == NULL)
		return false;
	len = strstr(a, "Content-Length: ");
	if (len != NULL && len < body)
		return strlen(body + 4) >= strtoul(len + 16, NULL, 10);
	return strstr(body, "\r\n0\r\n\r\n") != NULL;
}

static void
count_answer(struct caller *c, const char *answer, int status)
{
	const char *after = strstr(answer, "Retry-After: ");
	mu_us now = mu_loop_now(t.loop);
	bool late = t.term_at != 0 && c->call->sent_at > t.term_at;

	if (status == 200) {
		t.answered++;
		t.answered_late += late;
	} else if (status == 503) {
		t.refused++;
		t.refused_late += late;
		c->call->refused = true;
		if (now - c->call->sent_at > REFUSED_MS * MU_US_PER_MS)
			t.slow_refusals++;
		if (after == NULL || strtod(after + 13, NULL) < 0.5)
			t.hasty_refusals++;
		assert_int_equal(c->call->runs, 0);
	} else {
		t.failed++;
		print_message("%s: %d\n", c->call->id, status);
	}
}

/* The connection ended without a complete answer. */
static void
count_closed(struct caller *c)
{
	mu_us now = mu_loop_now(t.loop);

	if (c->call->runs == 0 &&
	    now - c->call->sent_at <= UNREAD_MS * MU_US_PER_MS) {
		t.unread++;
		return;
	}
	t.cut++;
	print_message("%s, sent %d ms after SIGTERM, %s: closed without a "
		      "complete answer at %d ms\n",
	    c->call->id, (int)((c->call->sent_at - t.term_at) / MU_US_PER_MS),
	    c->call->runs > 0 ? "passed on" : "not passed on",
	    (int)((now - t.term_at) / MU_US_PER_MS));
}

static void
poll_caller(struct caller *c)
{
	const char *a;
	bool complete, closes;
	int status = 0;

	if (c->call == NULL) {
		if (mu_loop_now(t.loop) >= c->next_at && t.exit_at == 0)
			send_request(c);
		return;
	}
	a = kit_caller_received(c->conn);
	complete = answer_complete(a);
	if (!complete && !c->conn->closed)
		return;
	(void)sscanf(a, "HTTP/1.1 %d", &status);
	closes = c->conn->closed || strstr(a, "Connection: close") != NULL;
	if (complete)
		count_answer(c, a, status);
	else
		count_closed(c);
	end_call(c, closes);
}

static void
run_callers(unsigned ms)
{
	mu_us end = mu_loop_now(t.loop) + ms * MU_US_PER_MS, before;
	unsigned i;

	while (mu_loop_now(t.loop) < end && t.exit_at == 0) {
		before = mu_loop_now(t.loop);
		mu_loop_once(t.loop, 2);
		if (mu_loop_now(t.loop) - before > t.longest_turn)
			t.longest_turn = mu_loop_now(t.loop) - before;
		for (i = 0; i < CALLERS; i++)
			if (t.caller[i].gap_ms > 0)
				poll_caller(&t.caller[i]);
		if (!proc_alive(t.daemon))
			t.exit_at = mu_loop_now(t.loop);
	}
}

static void
add_callers(unsigned first, unsigned n, enum kind kind, unsigned gap_ms)
{
	unsigned i;

	for (i = first; i < first + n; i++) {
		t.caller[i].kind = kind;
		/* Spread, so that some request crosses each step of the stop.
		 */
		t.caller[i].gap_ms = gap_ms + i % 7;
	}
}

/* Stops the daemon under traffic and waits until it and its answers end. */
static void
stop_daemon(void)
{
	unsigned i;

	run_callers(500);
	t.term_at = mu_loop_now(t.loop);
	proc_term(t.daemon);
	run_callers(STOP_MS + 1000);
	assert_int_not_equal(t.exit_at, 0);
	kit_run_ms(t.loop, 50);
	for (i = 0; i < CALLERS; i++)
		if (t.caller[i].call != NULL)
			poll_caller(&t.caller[i]);
	print_message("%u answered (%u sent in the grace), %u refused (%u), %u "
		      "failed, %u unread, %u not connected, %u cut; exit after "
		      "%d ms; this "
		      "test's longest turn %d ms\n",
	    t.answered, t.answered_late, t.refused, t.refused_late, t.failed,
	    t.unread, t.not_connected, t.cut,
	    (int)((t.exit_at - t.term_at) / MU_US_PER_MS),
	    (int)(t.longest_turn / MU_US_PER_MS));
	assert_in_range((t.exit_at - t.term_at) / MU_US_PER_MS, 0, STOP_MS - 1);
}

static int
teardown(void **state)
{
	struct mu_hnode *n, *next;
	unsigned i;
	size_t b;

	for (i = 0; i < CALLERS; i++)
		if (t.caller[i].conn != NULL)
			kit_caller_free(t.caller[i].conn);
	proc_end_all();
	kit_run_ms(t.loop, 50);
	for (i = 0; i < 2 * ENDPOINTS; i++)
		mu_in_close(t.endpoints[i]);
	mu_in_close(t.store.in);
	for (b = 0; b < t.calls.nbuckets; b++)
		for (n = t.calls.bucket[b]; n != NULL; n = next) {
			next = n->next;
			free(MU_CONTAINER_OF(n, struct call, node));
		}
	mu_loop_free(t.loop);
	return proc_teardown(state);
}

/* Each request that was read ended with its answer or a true refusal. */
static void
expect_answers_or_refusals(void)
{
	assert_int_equal(t.cut, 0);
	assert_int_equal(t.failed, 0);
}

/* Guards against orders that were taken late in the grace and cut at its end
 * (docs/incidents/cut-in-planned-stop.md). */
static void
test_no_order_is_cut_at_the_end_of_the_grace(void **state)
{
	(void)state;
	t.work_ms = 100;
	add_callers(0, CALLERS, KIND_ORDER, 1);
	stop_daemon();
	expect_answers_or_refusals();
	assert_int_equal(t.slow_refusals, 0);
	assert_int_equal(t.hasty_refusals, 0);
	assert_true(t.refused_late > 0);
	assert_true(t.answered_late > 0);
	/* New connections were refused before the process exited. */
	assert_true(t.not_connected > CALLERS);
}

static void
test_no_order_is_cut_at_a_slow_endpoint(void **state)
{
	(void)state;
	t.work_ms = TIME_LIMIT_MS - 200;
	add_callers(0, CALLERS, KIND_ORDER, 20);
	stop_daemon();
	expect_answers_or_refusals();
	assert_int_equal(t.slow_refusals, 0);
	assert_true(t.answered_late > 0);
}

/* More orders than the endpoints have slots: some wait when the stop begins,
 * and at each later step of it. */
static void
test_no_order_is_cut_at_full_endpoints(void **state)
{
	unsigned i;

	(void)state;
	t.work_ms = 200;
	for (i = 0; i < 2 * ENDPOINTS; i++)
		publish_endpoint(i, 3);
	kit_run_ms(t.loop, 1000); /* the daemon polls the endpoints' rows */
	add_callers(0, CALLERS, KIND_ORDER, 1);
	stop_daemon();
	expect_answers_or_refusals();
	assert_true(t.answered_late > 0);
}

static void
test_no_turn_is_cut(void **state)
{
	(void)state;
	t.work_ms = 400;
	add_callers(0, CALLERS, KIND_TURN, 5);
	stop_daemon();
	expect_answers_or_refusals();
	assert_int_equal(t.slow_refusals, 0);
	assert_true(t.answered_late > 0);
}

/* The store fails when the stop begins: turns can't be committed. */
static void
test_no_order_is_cut_in_an_outage_of_the_store(void **state)
{
	(void)state;
	t.work_ms = 100;
	add_callers(0, CALLERS, KIND_ORDER, 3);
	run_callers(500);
	t.store.force = 503;
	stop_daemon();
	expect_answers_or_refusals();
	assert_int_equal(t.slow_refusals, 0);
	assert_true(t.answered_late > 0);
}

/* Connections that were used once before the stop and then rest: each sends its
 * next request at another moment of the grace. */
static void
test_no_order_on_a_kept_connection_is_cut(void **state)
{
	unsigned i;

	(void)state;
	t.work_ms = 100;
	add_callers(0, CALLERS, KIND_ORDER, 1);
	for (i = 0; i < CALLERS; i++)
		t.caller[i].gap_ms = 700 + i * STOP_MS / CALLERS;
	stop_daemon();
	expect_answers_or_refusals();
	assert_int_equal(t.slow_refusals, 0);
	assert_true(t.answered_late > 0);
}

/* Callers that send rarely: the daemon may exit between two requests. */
static void
test_no_order_is_cut_when_the_daemon_is_nearly_idle(void **state)
{
	(void)state;
	t.work_ms = 30;
	add_callers(0, 3, KIND_ORDER, 150);
	stop_daemon();
	expect_answers_or_refusals();
}

/* An order without a time limit that its endpoint doesn't answer: the caller is
 * told that it may have run. */
static void
test_order_in_progress_at_the_exit_is_answered(void **state)
{
	(void)state;
	t.work_ms = 100;
	add_callers(0, 2, KIND_ENDLESS, 1);
	stop_daemon();
	assert_int_equal(t.cut, 0);
	assert_int_equal(t.failed, 2);
}

/* SIGTERM that arrives before the settings are read. */
static void
test_signal_during_the_start_is_not_lost(void **state)
{
	char text[1024], path[256];
	const char *args[] = {"--settings", path, NULL};
	struct proc *p;
	int fd = -1;

	(void)state;
	write_settings(text, sizeof(text));
	proc_path(path, sizeof(path), "d1.fifo");
	assert_int_equal(mkfifo(path, 0600), 0);
	p = proc_start("d1", "cardamomusher", args);
	assert_true(kit_until(t.loop, 2000,
	    fd >= 0 ||
		(fd = open(path, O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0));
	proc_term(p);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	(void)close(fd);
	assert_int_equal(proc_wait(p), 0);
	assert_true(proc_logged(p, "\"event\":\"stopped\""));
}

/* The process is paused until after the end of its grace, as far as it knows:
 * the requests left still get their answer before it exits. */
static void
test_order_is_answered_after_a_pause_of_the_daemon(void **state)
{
	unsigned i;

	(void)state;
	add_callers(0, 2, KIND_ENDLESS, 1);
	run_callers(500);
	t.term_at = mu_loop_now(t.loop);
	proc_term(t.daemon);
	run_callers(200);
	proc_pause(t.daemon);
	run_callers(STOP_MS);
	proc_resume(t.daemon);
	run_callers(1000);
	assert_int_not_equal(t.exit_at, 0);
	kit_run_ms(t.loop, 50);
	for (i = 0; i < 2; i++)
		if (t.caller[i].call != NULL)
			poll_caller(&t.caller[i]);
	assert_int_equal(t.cut, 0);
	assert_int_equal(t.failed, 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	    T(test_no_order_is_cut_at_the_end_of_the_grace),
	    T(test_no_order_is_cut_at_a_slow_endpoint),
	    T(test_no_order_is_cut_at_full_endpoints),
	    T(test_no_turn_is_cut),
	    T(test_no_order_is_cut_in_an_outage_of_the_store),
	    T(test_no_order_on_a_kept_connection_is_cut),
	    T(test_no_order_is_cut_when_the_daemon_is_nearly_idle),
	    T(test_order_in_progress_at_the_exit_is_answered),
	    T(test_signal_during_the_start_is_not_lost),
	    T(test_order_is_answered_after_a_pause_of_the_daemon),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
