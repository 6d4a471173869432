/* test_tablestore.c -- the table store client, against an in-memory stand-in
 * that implements the store's HTTP protocol. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "tablekit.h"
#include "tablestore.h"

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct tablekit kit;
	struct pf_store *client;
	struct mu_store_backend backend;
	unsigned nresults;
	Mu__StoreResult__Status status;
	uint64_t ver;
	size_t rows;
	char value[64];
	bool more;
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	assert_true(sodium_init() >= 0);
	mu_clock_real(&f->clock);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	assert_int_equal(tablekit_open(&f->kit, f->loop, f->mem), 0);
	f->client = pf_store_new(f->loop, f->kit.addr);
	f->backend = pf_store_backend(f->client);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	pf_store_free(f->client);
	kit_run_ms(f->loop, 50);
	mu_in_close(f->kit.in);
	mem_free(f->mem);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
on_result(void *arg, const Mu__StoreResult *r)
{
	struct fixture *f = arg;

	f->nresults++;
	f->status = r->status;
	f->ver = r->ver;
	f->rows = r->n_rows;
	f->more = r->more;
	if (r->n_rows > 0)
		(void)snprintf(f->value, sizeof(f->value), "%.*s",
		    (int)r->rows[0]->value.len, r->rows[0]->value.data);
}

static Mu__StoreResult__Status
run_op(struct fixture *f, const Mu__StoreOp *op, uint32_t limit_ms)
{
	unsigned before = f->nresults;

	f->backend.run(f->backend.arg, op, limit_ms, on_result, f);
	assert_true(kit_until(f->loop, 3000, f->nresults > before));
	return f->status;
}

static Mu__StoreResult__Status
put(struct fixture *f, const char *key, const char *value, uint64_t expected)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow r = MU__STORE_ROW__INIT, *rows[] = {&r};
	char table[] = "t", part[] = "p q";

	r.table = table;
	r.part = part;
	r.key = (char *)(uintptr_t)key;
	r.value.data = (uint8_t *)(uintptr_t)value;
	r.value.len = strlen(value);
	r.ver = expected;
	op.n_put = op.n_expected = 1;
	op.put = op.expected = rows;
	return run_op(f, &op, 500);
}

static Mu__StoreResult__Status
get(struct fixture *f, const char *from, const char *to)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	char table[] = "t", part[] = "p q";

	op.kind = MU__STORE_OP__KIND__READ;
	op.table = table;
	op.part = part;
	op.from = (char *)(uintptr_t)from;
	op.to = (char *)(uintptr_t)to;
	return run_op(f, &op, 500);
}

static void
test_write_read_and_conflict(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(
	    put(f, "k&=1", "v\x01", 0), MU__STORE_RESULT__STATUS__DONE);
	assert_int_equal(f->ver, 1);
	assert_int_equal(get(f, "k&=1", ""), MU__STORE_RESULT__STATUS__DONE);
	assert_int_equal(f->rows, 1);
	assert_string_equal(f->value, "v\x01");
	assert_int_equal(
	    put(f, "k&=1", "w", 0), MU__STORE_RESULT__STATUS__CONFLICT);
	assert_int_equal(f->rows, 1);
	assert_string_equal(f->value, "v\x01");
	assert_int_equal(
	    put(f, "k&=1", "w", 1), MU__STORE_RESULT__STATUS__DONE);
	f->mem->page = 1;
	assert_int_equal(put(f, "l", "x", 0), MU__STORE_RESULT__STATUS__DONE);
	assert_int_equal(get(f, "", ""), MU__STORE_RESULT__STATUS__DONE);
	assert_true(f->more);
	assert_int_equal(get(f, "l", "m"), MU__STORE_RESULT__STATUS__DONE);
	assert_int_equal(f->rows, 1);
}

static void
test_feed(void **state)
{
	struct fixture *f = *state;
	Mu__StoreOp op = MU__STORE_OP__INIT;
	char table[] = "t";

	(void)put(f, "a", "1", 0);
	(void)put(f, "b", "2", 0);
	op.kind = MU__STORE_OP__KIND__FEED;
	op.table = table;
	op.after = 1;
	assert_int_equal(run_op(f, &op, 500), MU__STORE_RESULT__STATUS__DONE);
	assert_int_equal(f->rows, 1);
	assert_string_equal(f->value, "2");
	f->kit.force = 410;
	assert_int_equal(
	    run_op(f, &op, 500), MU__STORE_RESULT__STATUS__HISTORY_GONE);
}

/* Maps each HTTP status, and an incomplete body, to the result's status. */
static void
test_statuses(void **state)
{
	struct fixture *f = *state;

	f->kit.force = 503;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__REFUSED);
	f->kit.force = 429;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__REFUSED);
	f->kit.force = 500;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__UNKNOWN);
	f->kit.force = 403;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__INVALID);
	f->kit.force = 0;
	f->kit.body = "{\"rows\":[";
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__UNKNOWN);
}

static void
test_no_answer_is_unknown_and_no_connection_is_refused(void **state)
{
	struct fixture *f = *state;
	struct pf_store *unreachable;
	char addr[MU_ADDR_LEN];

	f->kit.mute = true;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__UNKNOWN);
	f->kit.mute = false;
	if (f->kit.muted_request != NULL)
		mu_in_answer(f->kit.muted_request, 503, NULL, 0, "", 0);
	kit_unused_addr(addr);
	unreachable = pf_store_new(f->loop, addr);
	f->backend = pf_store_backend(unreachable);
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__REFUSED);
	pf_store_free(unreachable);
}

#define ROW(key, value) \
	"{\"table\":\"servers\",\"part\":\"\",\"key\":\"" key \
	"\",\"value\":" value ",\"ver\":7}"
#define DEPTH 3000

/* Reads a list of three rows of which the second is odd. */
static void
check_odd_row(struct fixture *f, const char *odd)
{
	size_t size = strlen(odd) + 1024;
	char *text = malloc(size), table[] = "servers";
	struct kit_step step = {NULL, false, false};
	Mu__StoreOp op = MU__STORE_OP__INIT;
	struct pf_store *client;
	struct kit_endpoint *e;
	int len;

	len = snprintf(NULL, 0,
	    "{\"rows\":[" ROW("i-1", "{\"slots\":8}") ",%s," ROW(
		"i-3", "\"djM=\"") "],\"truncated\":false,\"ver\":9}",
	    odd);
	(void)snprintf(text, size,
	    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
	    "{\"rows\":[" ROW("i-1", "{\"slots\":8}") ",%s," ROW(
		"i-3", "\"djM=\"") "],\"truncated\":false,\"ver\":9}",
	    len, odd);
	step.answer = text;
	e = kit_endpoint(f->loop, &step, 1);
	client = pf_store_new(f->loop, e->addr);
	f->backend = pf_store_backend(client);
	op.kind = MU__STORE_OP__KIND__READ;
	op.table = table;
	assert_int_equal(run_op(f, &op, 1000), MU__STORE_RESULT__STATUS__DONE);
	assert_int_equal(f->rows, 3);
	assert_int_equal(f->ver, 9);
	assert_string_equal(f->value, "{\"slots\":8}");
	pf_store_free(client);
	kit_endpoint_free(e);
	free(text);
}

/* Guards against one odd entry of another writer that kept a daemon from
 * reading the list of endpoints: deep nesting, or a number out of range. */
static void
test_odd_entry_hides_no_other(void **state)
{
	static const char *const odd[] = {ROW("i-2", "{\"slots\":1e999}"),
	    ROW("i-2", "{\"slots\":99999999999999999999}"),
	    ROW("i-2", "{\"a\":\"\\ud800\"}"),
	    ROW("i-2", "{\"a\":{\"rows\":[{\"key\":\"x\"}]},\"a\":null}")};
	char *deep = malloc(2 * DEPTH + 1);
	char row[2 * DEPTH + 256];
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(*odd); i++)
		check_odd_row(*state, odd[i]);
	memset(deep, '[', DEPTH);
	memset(deep + DEPTH, ']', DEPTH);
	deep[(size_t)2 * DEPTH] = '\0';
	(void)snprintf(row, sizeof(row), ROW("i-2", "%s"), deep);
	check_odd_row(*state, row);
	free(deep);
}

#define ROWS \
	"{\"rows\":[],\"truncated\":false,\"ver\":9,\"now_ms\":1}" /* 49 \
								    */

/* Answers of a store and what they mean once they are whole. */
static const struct store_answer {
	const char *text;
	Mu__StoreResult__Status means;
	size_t spare; /* last bytes that tell nothing */
} store_answers[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 48\r\n\r\n" ROWS,
	MU__STORE_RESULT__STATUS__DONE, 0},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30\r\n" ROWS
     "\r\n0\r\n\r\n",
	MU__STORE_RESULT__STATUS__DONE, 1},
    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" ROWS,
	MU__STORE_RESULT__STATUS__DONE, 0},
    {"HTTP/1.1 412 Precondition Failed\r\nContent-Length: 48\r\n\r\n" ROWS,
	MU__STORE_RESULT__STATUS__CONFLICT, 0},
    {"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
	MU__STORE_RESULT__STATUS__REFUSED, 0},
    {"HTTP/1.1 429 Many\r\nContent-Length: 2\r\n\r\n{}",
	MU__STORE_RESULT__STATUS__REFUSED, 0},
    {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
	MU__STORE_RESULT__STATUS__HISTORY_GONE, 0},
    {"HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n",
	MU__STORE_RESULT__STATUS__INVALID, 0},
};

/* Guards against part of a store's answer taken for its result: the store
 * closes or resets its connection after each byte. */
static void
check_cut_results(struct fixture *f, bool reset)
{
	const struct store_answer *a = store_answers;
	size_t i, n, cuts = 0, wrong = 0;
	char *text;
	struct kit_step step = {NULL, !reset, reset};
	struct kit_endpoint *e = kit_endpoint(f->loop, &step, 1);
	struct pf_store *client = pf_store_new(f->loop, e->addr);
	Mu__StoreResult__Status want;

	f->backend = pf_store_backend(client);
	for (i = 0; i < sizeof(store_answers) / sizeof(*a); i++)
		for (n = 0; n <= strlen(a[i].text); n++) {
			if (reset && n + a[i].spare >= strlen(a[i].text))
				continue;
			text = strndup(a[i].text, n);
			step.answer = text;
			want = n + a[i].spare >= strlen(a[i].text)
				   ? a[i].means
				   : MU__STORE_RESULT__STATUS__UNKNOWN;
			cuts++;
			if (put(f, "a", "1", 0) != want) {
				print_message("%d, not %d, after: %s\n",
				    (int)f->status, (int)want, text);
				wrong++;
			}
			free(text);
		}
	print_message("%zu cuts\n", cuts);
	assert_int_equal(wrong, 0);
	pf_store_free(client);
	kit_endpoint_free(e);
}

static void
test_part_of_an_answer_is_no_result(void **state)
{
	check_cut_results(*state, false);
}

static void
test_part_of_an_answer_before_a_reset_is_no_result(void **state)
{
	check_cut_results(*state, true);
}

#define DONE_KEPT "HTTP/1.1 200 OK\r\nContent-Length: 48\r\n\r\n" ROWS

/* A write is lost on a kept connection, and libcurl sends it once more by
 * itself, which ends as given: nobody knows whether the first was done. */
static void
check_lost_write(struct fixture *f, const char *second)
{
	const struct kit_step steps[] = {{DONE_KEPT, false, false},
	    {NULL, true, false}, {second, false, false}};
	struct kit_endpoint *e = kit_endpoint(f->loop, steps, 3);
	struct pf_store *client = pf_store_new(f->loop, e->addr);

	f->backend = pf_store_backend(client);
	assert_int_equal(put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__DONE);
	if (second == NULL) { /* the store is gone */
		mu_watch_del(f->loop, &e->watch);
		(void)close(e->watch.fd);
		e->watch.fd = -1;
	}
	assert_int_equal(
	    put(f, "a", "2", 1), MU__STORE_RESULT__STATUS__UNKNOWN);
	assert_int_equal(e->requests, second != NULL ? 3 : 2);
	pf_store_free(client);
	kit_endpoint_free(e);
}

static void
test_lost_write_and_a_refusal_is_unknown(void **state)
{
	check_lost_write(
	    *state, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
	check_lost_write(
	    *state, "HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n");
}

static void
test_lost_write_and_no_connection_is_unknown(void **state)
{
	check_lost_write(*state, NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_write_read_and_conflict),
	    T(test_feed),
	    T(test_statuses),
	    T(test_no_answer_is_unknown_and_no_connection_is_refused),
	    T(test_odd_entry_hides_no_other),
	    T(test_part_of_an_answer_is_no_result),
	    T(test_part_of_an_answer_before_a_reset_is_no_result),
	    T(test_lost_write_and_a_refusal_is_unknown),
	    T(test_lost_write_and_no_connection_is_unknown),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
