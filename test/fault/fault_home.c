/*
 * fault_home.c -- planned stop of a serving daemon that others depend on.
 *
 * Two daemons are real processes; their store, the endpoint and the callers are
 * played by this program.  Callers use the daemon that stays, for programs
 * whose home is the one that leaves.
 */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "hmap.h"
#include "proc.h"
#include "tablekit.h"

#define DAEMONS 2
#define STOP_MS 6000
#define ADDRESS_TTL_MS 300
#define TURN_TIMEOUT_MS 4000
#define EVENTS 4 /* of a turn */
#define EVENT_TOKENS 17
#define BUDGET 1000
#define TURN_MAX 300 /* over the guarantor's share of the budget */
#define TURNS_MAX 40 /* more than the budget holds */

/* Runs the loop until the condition holds, at most ms. */
#define UNTIL(ms, cond) \
	({ \
		mu_us end_ = mu_loop_now(t.loop) + (ms)*MU_US_PER_MS; \
		while (!(cond) && mu_loop_now(t.loop) < end_) \
			mu_loop_once(t.loop, 1); \
		(cond); \
	})

struct work {
	struct mu_timer timer;
	struct mu_in_req *r;
	unsigned events;
	char id[32];
};

static struct {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct tablekit store;
	struct mu_inbound *endpoint;
	struct proc *daemon[DAEMONS];
	char addr[DAEMONS][MU_ADDR_LEN];
	char ready[DAEMONS][MU_ADDR_LEN];
	char program[32];
	unsigned event_ms; /* between the events of a turn */
	unsigned next_id;
} t;

static const char config[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
    "\"type\":\"streaming\",\"timeout_ms\":4000,\"service\":\"llm\","
    "\"keeps_history\":true,\"retention_s\":60}],"
    "\"services\":[{\"name\":\"llm\",\"engine\":{\"chunk_tokens\":17}}],"
    "\"limits\":{}}";

/* The endpoint. */

static void
on_work(void *arg)
{
	struct work *w = arg;
	struct mu_header h[] = {
	    {"Request-Id", w->id}, {"Server-Signature", "s"}};
	char text[96];

	if (w->events++ == 0)
		mu_in_stream_begin(w->r, 200, h, 2);
	(void)snprintf(text, sizeof(text), "id: %u\ndata: %s-%u\n\n", w->events,
	    w->id, w->events);
	mu_in_stream_write(w->r, text, strlen(text));
	if (w->events == EVENTS)
		mu_in_stream_end(w->r, true);
	else
		mu_timer_set(t.loop, &w->timer,
		    mu_loop_now(t.loop) + t.event_ms * MU_US_PER_MS);
}

static void
on_request(void *arg, struct mu_in_req *r)
{
	const char *id = mu_in_header(r, "Request-Id");
	struct work *w = calloc(1, sizeof(*w));

	(void)arg;
	w->r = r;
	(void)snprintf(w->id, sizeof(w->id), "%s", id != NULL ? id : "");
	w->timer.fn = on_work;
	w->timer.arg = w;
	r->user = w;
	mu_timer_set(
	    t.loop, &w->timer, mu_loop_now(t.loop) + t.event_ms * MU_US_PER_MS);
}

static void
on_closed(void *arg, struct mu_in_req *r, bool ok)
{
	struct work *w = r->user;

	(void)arg;
	(void)ok;
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
open_endpoint(void)
{
	struct mu_in_conf c = {0};
	struct mu_error e;
	char addr[MU_ADDR_LEN], row[512];

	kit_unused_addr(addr);
	c.listen = addr;
	c.max_body = 1 << 22;
	c.max_connections = 400;
	c.idle_s = 30;
	c.hooks.request = on_request;
	c.hooks.closed = on_closed;
	assert_int_equal(mu_in_open(&t.endpoint, t.loop, &c, &e), 0);
	(void)snprintf(row, sizeof(row),
	    "{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"z\","
	    "\"slots\":32,\"state\":\"ready\",\"sequence\":1}",
	    addr);
	put_row("servers", "i-0", row);
}

/* The daemons. */

static void
start_daemon(unsigned i)
{
	char directory[MU_ADDR_LEN], mesh[MU_ADDR_LEN], metrics[MU_ADDR_LEN];
	char text[1024], path[256], name[8], file[16];
	const char *args[] = {"--settings", path, NULL};

	kit_unused_addr(t.addr[i]);
	kit_unused_addr(t.ready[i]);
	kit_unused_addr(directory);
	kit_unused_addr(mesh);
	kit_unused_addr(metrics);
	(void)snprintf(name, sizeof(name), "d%u", i);
	(void)snprintf(file, sizeof(file), "d%u.yaml", i);
	(void)snprintf(text, sizeof(text),
	    "host: %s\ndomain: z\nregion: r\ncaller_addr: %s\n"
	    "ready_addr: %s\ndirectory_addr: %s\nmesh_addr: %s\n"
	    "metrics_addr: %s\nstore_addr: %s\nstop_ms: %d\n"
	    "address_ttl_ms: %d\n",
	    name, t.addr[i], t.ready[i], directory, mesh, metrics, t.store.addr,
	    STOP_MS, ADDRESS_TTL_MS);
	proc_write(path, sizeof(path), file, text);
	t.daemon[i] = proc_start(name, "cardamomusher", args);
}

/* Sends a request to an address; returns its answer's connection. */
static struct kit_caller *
get(const char *addr, const char *path)
{
	char request[128];
	struct kit_caller *c;

	(void)snprintf(request, sizeof(request),
	    "GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", path);
	c = kit_caller_open(t.loop, addr, request);
	(void)UNTIL(500, c->closed);
	return c;
}

static bool
is_ready(unsigned i)
{
	struct kit_caller *c = get(t.ready[i], "/readyz");
	bool ready = strstr(kit_caller_received(c), "HTTP/1.1 200") != NULL;

	kit_caller_free(c);
	return ready;
}

/* A program whose home, and guarantor, is d0. */
static void
choose_program(void)
{
	unsigned i = 0;

	do
		(void)snprintf(t.program, sizeof(t.program), "p%u", i++);
	while (mu_rendezvous("d0", t.program) < mu_rendezvous("d1", t.program));
}

static int
setup(void **state)
{
	unsigned i;

	memset(&t, 0, sizeof(t));
	signal(SIGPIPE, SIG_IGN);
	if (proc_setup(state) != 0 || sodium_init() < 0)
		return -1;
	mu_clock_real(&t.clock);
	t.loop = mu_loop_new(&t.clock);
	t.mem = calloc(1, sizeof(*t.mem));
	if (tablekit_open(&t.store, t.loop, t.mem) != 0)
		return -1;
	put_row("op", "config", config);
	open_endpoint();
	for (i = 0; i < DAEMONS; i++)
		start_daemon(i);
	for (i = 0; i < DAEMONS; i++)
		assert_true(UNTIL(5000, is_ready(i)));
	assert_true(UNTIL(5000, proc_logged(t.daemon[0], "\"peer_up\"") &&
				    proc_logged(t.daemon[1], "\"peer_up\"")));
	choose_program();
	return 0;
}

static int
teardown(void **state)
{
	proc_end_all();
	kit_run_ms(t.loop, 50);
	mu_in_close(t.endpoint);
	mu_in_close(t.store.in);
	mem_free(t.mem);
	mu_loop_free(t.loop);
	return proc_teardown(state);
}

/* Turns. */

/* Sends a turn of the program to the daemon that stays. */
static struct kit_caller *
send_turn(void)
{
	char request[512];

	t.next_id++;
	(void)snprintf(request, sizeof(request),
	    "POST /chat/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r%u\r\n"
	    "Program-Id: %s\r\nSession-Id: s%u\r\nToken-Budget: %d\r\n"
	    "Token-Usage: 10,%d\r\nDeadline-Ms: %d\r\nConnection: close\r\n"
	    "Content-Length: 2\r\n\r\nin",
	    t.next_id, t.program, t.next_id, BUDGET, TURN_MAX, TURN_TIMEOUT_MS);
	return kit_caller_open(t.loop, t.addr[1], request);
}

/* Waits for the answer and returns its status; 0: none. */
static int
end_turn(struct kit_caller *c)
{
	int status = 0;

	(void)UNTIL(TURN_TIMEOUT_MS + 1000, c->closed);
	(void)sscanf(kit_caller_received(c), "HTTP/1.1 %d", &status);
	if (status == 200)
		assert_non_null(strstr(kit_caller_received(c), "\r\n0\r\n"));
	kit_caller_free(c);
	return status;
}

/* Runs turns until the budget is spent; returns how many were answered. */
static unsigned
count_turns(void)
{
	unsigned n = 0;
	int status;

	while (n < TURNS_MAX && (status = end_turn(send_turn())) == 200)
		n++;
	if (n < TURNS_MAX)
		assert_int_equal(status, 402);
	return n;
}

static unsigned
turns_in_budget(void)
{
	return (BUDGET - TURN_MAX) / (EVENTS * EVENT_TOKENS) + 1;
}

static void
stop_home(void)
{
	proc_term(t.daemon[0]);
	assert_true(UNTIL(STOP_MS, !proc_alive(t.daemon[0])));
}

/* Guards against tokens that a home keeps when it exits while another daemon
 * runs a turn: its program would get 402 with budget left. */
static void
test_budget_of_a_turn_that_outlasts_its_home_is_not_lost(void **state)
{
	struct kit_caller *c;

	(void)state;
	t.event_ms = 500;
	c = send_turn();
	assert_true(
	    UNTIL(2000, strstr(kit_caller_received(c), "data: ") != NULL));
	stop_home();
	assert_int_equal(end_turn(c), 200);
	t.event_ms = 5;
	assert_int_equal(1 + count_turns(), turns_in_budget());
}

/* The same with an answer of the store to the return that comes late. */
static void
test_home_waits_for_the_return_of_its_tokens(void **state)
{
	(void)state;
	t.event_ms = 5;
	assert_int_equal(end_turn(send_turn()), 200);
	t.store.mute = true;
	proc_term(t.daemon[0]);
	kit_run_ms(t.loop, 2000);
	t.store.mute = false;
	assert_true(UNTIL(STOP_MS, !proc_alive(t.daemon[0])));
	kit_run_ms(t.loop, 500);
	assert_int_equal(1 + count_turns(), turns_in_budget());
}

/* Turns that begin while their home leaves are served, none late by a second.
 */
static void
test_no_turn_fails_while_its_home_leaves(void **state)
{
	mu_us began;
	int i, status;

	(void)state;
	t.event_ms = 5;
	proc_term(t.daemon[0]);
	for (i = 0; proc_alive(t.daemon[0]); i++) {
		(void)snprintf(t.program, sizeof(t.program), "q%d", i);
		began = mu_loop_now(t.loop);
		status = end_turn(send_turn());
		if (status != 200)
			fail_msg("turn %d: %d", i, status);
		assert_true(mu_loop_now(t.loop) - began < MU_US_PER_S / 2);
	}
	assert_true(i > 5);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	    T(test_budget_of_a_turn_that_outlasts_its_home_is_not_lost),
	    T(test_home_waits_for_the_return_of_its_tokens),
	    T(test_no_turn_fails_while_its_home_leaves),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
