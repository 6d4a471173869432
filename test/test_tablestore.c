/* test_tablestore.c -- the platform's table store over HTTP, against a small
 * stand-in that speaks its dialect over a table in memory. */
#include <jansson.h>
#include <sodium.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "inbound.h"
#include "memstore.h"
#include "sockkit.h"
#include "tablestore.h"

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct mu_inbound *in;
	char addr[MU_ADDR_LEN];
	struct pf_store *client;
	struct mu_store_backend b;
	int force; /* status of the next answers; 0: as it should be */
	bool mute; /* no answer */
	const char *body; /* instead of the right one */
	unsigned done;
	Mu__StoreResult__Status status;
	uint64_t ver;
	size_t rows;
	char value[64];
	bool more;
	struct mu_in_req *muted;
};

static Mu__StoreRow *
row_in(json_t *j)
{
	Mu__StoreRow *r = malloc(sizeof(*r));
	const char *v = json_string_value(json_object_get(j, "value"));

	mu__store_row__init(r);
	r->table = strdup(json_string_value(json_object_get(j, "table")));
	r->part = strdup(json_string_value(json_object_get(j, "part")));
	r->key = strdup(json_string_value(json_object_get(j, "key")));
	r->ver = (uint64_t)json_integer_value(json_object_get(j, "ver"));
	if (v != NULL) {
		r->value.data = malloc(strlen(v) + 1);
		assert_int_equal(sodium_base642bin(r->value.data, strlen(v), v,
				     strlen(v), NULL, &r->value.len, NULL,
				     sodium_base64_VARIANT_ORIGINAL),
		    0);
	}
	return r;
}

static size_t
rows_in(json_t *body, const char *name, Mu__StoreRow ***rows)
{
	json_t *list = json_object_get(body, name);
	size_t i, n = json_array_size(list);

	*rows = calloc(n + 1, sizeof(Mu__StoreRow *));
	for (i = 0; i < n; i++)
		(*rows)[i] = row_in(json_array_get(list, i));
	return n;
}

static json_t *
rows_out(const Mu__StoreResult *r)
{
	json_t *list = json_array(), *j;
	char text[256];
	size_t i;

	for (i = 0; i < r->n_rows; i++) {
		sodium_bin2base64(text, sizeof(text), r->rows[i]->value.data,
		    r->rows[i]->value.len, sodium_base64_VARIANT_ORIGINAL);
		j = json_pack("{s:s,s:s,s:s,s:I,s:s}", "table",
		    r->rows[i]->table, "part", r->rows[i]->part, "key",
		    r->rows[i]->key, "ver", (json_int_t)r->rows[i]->ver,
		    "value", text);
		if (r->rows[i]->removed)
			json_object_set_new(j, "tombstone", json_true());
		json_array_append_new(list, j);
	}
	return list;
}

static void
answer(struct fixture *f, struct mu_in_req *r, const Mu__StoreResult *res)
{
	int status =
	    res->status == MU__STORE_RESULT__STATUS__CONFLICT ? 412 : 200;
	json_t *j =
	    json_pack("{s:o,s:b,s:I,s:i}", "rows", rows_out(res), "truncated",
		res->more, "ver", (json_int_t)f->mem->ver, "now_ms", 51230);
	char *text = json_dumps(j, 0);
	const char *body = f->body != NULL ? f->body : text;

	mu_in_answer(
	    r, f->force != 0 ? f->force : status, NULL, 0, body, strlen(body));
	free(text);
	json_decref(j);
}

static const char *
query(struct mu_in_req *r, const char *name)
{
	const char *v = mu_in_query(r, name);

	return v != NULL ? v : "";
}

static void
on_request(void *arg, struct mu_in_req *r)
{
	struct fixture *f = arg;
	Mu__StoreResult *res;
	Mu__StoreOp *op;
	json_t *body = NULL;

	if (f->mute) {
		f->muted = r;
		return;
	}
	res = malloc(sizeof(*res));
	mu__store_result__init(res);
	op = malloc(sizeof(*op));
	mu__store_op__init(op);
	if (strncmp(r->target, "/rows-tx", 8) == 0) {
		body = json_loadb(
		    mu_buf_data(&r->body), mu_buf_len(&r->body), 0, NULL);
		assert_non_null(body);
		op->n_expected = rows_in(body, "expected", &op->expected);
		op->n_put = rows_in(body, "put", &op->put);
		op->n_remove = rows_in(body, "remove", &op->remove);
		if (f->force == 0)
			mem_write(f->mem, op, res);
	} else {
		op->table = strdup(query(r, "table"));
		op->part = strdup(query(r, "part"));
		op->from = strdup(query(r, "from"));
		op->to = strdup(query(r, "to"));
		op->after = strtoull(query(r, "after"), NULL, 10);
		if (strncmp(r->target, "/rows-get?", 10) == 0)
			mem_read(f->mem, op, res);
		else
			mem_feed(f->mem, op, res);
	}
	answer(f, r, res);
	mu__store_op__free_unpacked(op, NULL);
	mu__store_result__free_unpacked(res, NULL);
	json_decref(body);
}

static void
on_closed(void *arg, struct mu_in_req *r, bool ok)
{
	(void)arg;
	(void)r;
	(void)ok;
}

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct mu_in_conf c = {0};
	struct mu_error e;

	assert_true(sodium_init() >= 0);
	mu_clock_real(&f->clock);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	f->mem->loop = f->loop;
	kit_free_addr(f->addr);
	c.listen = f->addr;
	c.max_body = 1 << 20;
	c.max_connections = 20;
	c.idle_s = 5;
	c.hooks.arg = f;
	c.hooks.request = on_request;
	c.hooks.closed = on_closed;
	assert_int_equal(mu_in_open(&f->in, f->loop, &c, &e), 0);
	f->client = pf_store_new(f->loop, f->addr);
	f->b = pf_store_backend(f->client);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	pf_store_free(f->client);
	kit_wait(f->loop, 50);
	mu_in_close(f->in);
	mem_clear(f->mem);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
on_done(void *arg, const Mu__StoreResult *r)
{
	struct fixture *f = arg;

	f->done++;
	f->status = r->status;
	f->ver = r->ver;
	f->rows = r->n_rows;
	f->more = r->more;
	if (r->n_rows > 0)
		(void)snprintf(f->value, sizeof(f->value), "%.*s",
		    (int)r->rows[0]->value.len, r->rows[0]->value.data);
}

static Mu__StoreResult__Status
run(struct fixture *f, const Mu__StoreOp *op, uint32_t limit_ms)
{
	unsigned before = f->done;

	f->b.run(f->b.arg, op, limit_ms, on_done, f);
	assert_true(kit_until(f->loop, 3000, f->done > before));
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
	return run(f, &op, 500);
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
	return run(f, &op, 500);
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
	assert_int_equal(run(f, &op, 500), MU__STORE_RESULT__STATUS__DONE);
	assert_int_equal(f->rows, 1);
	assert_string_equal(f->value, "2");
	f->force = 410;
	assert_int_equal(
	    run(f, &op, 500), MU__STORE_RESULT__STATUS__HISTORY_GONE);
}

/* What each status promises. */
static void
test_statuses(void **state)
{
	struct fixture *f = *state;

	f->force = 503;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__REFUSED);
	f->force = 429;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__REFUSED);
	f->force = 500;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__UNKNOWN);
	f->force = 403;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__INVALID);
	f->force = 0;
	f->body = "{\"rows\":[";
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__UNKNOWN);
}

static void
test_no_answer_is_unknown_and_no_connection_is_refused(void **state)
{
	struct fixture *f = *state;
	struct pf_store *nowhere;
	char addr[MU_ADDR_LEN];

	f->mute = true;
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__UNKNOWN);
	f->mute = false;
	if (f->muted != NULL)
		mu_in_answer(f->muted, 503, NULL, 0, "", 0);
	kit_free_addr(addr);
	nowhere = pf_store_new(f->loop, addr);
	f->b = pf_store_backend(nowhere);
	assert_int_equal(
	    put(f, "a", "1", 0), MU__STORE_RESULT__STATUS__REFUSED);
	pf_store_free(nowhere);
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
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
