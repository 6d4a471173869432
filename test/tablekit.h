/*
 * tablekit.h -- a stand-in for the platform's table store: its HTTP interface
 * on top of an in-memory table.
 */
#ifndef MU_TABLEKIT_H
#define MU_TABLEKIT_H

#include <jansson.h>
#include <sodium.h>

#include "inbound.h"
#include "memstore.h"
#include "sockkit.h"

struct tablekit {
	struct mu_loop *loop;
	struct memstore *mem;
	struct mu_inbound *in;
	struct cds_list_head waits; /* struct feed_wait */
	char addr[MU_ADDR_LEN];
	int force; /* status of the next responses; 0: the regular one */
	bool mute; /* requests are not answered */
	bool lost; /* requests are executed but not answered */
	const char *body; /* replaces the regular body */
	struct mu_in_req *muted_request;
	unsigned delay_ms; /* before a request is handled */
};

/* A request that waits for a change, or for the delay (op is NULL). */
struct feed_wait {
	struct cds_list_head node;
	struct tablekit *t;
	struct mu_in_req *r;
	struct mu_timer timer;
	Mu__StoreOp *op;
};

static inline Mu__StoreRow *
row_from_json(json_t *j)
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
		if (sodium_base642bin(r->value.data, strlen(v), v, strlen(v),
			NULL, &r->value.len, NULL,
			sodium_base64_VARIANT_ORIGINAL) != 0)
			r->value.len = 0;
	}
	return r;
}

static inline size_t
rows_from_json(json_t *body, const char *name, Mu__StoreRow ***rows)
{
	json_t *list = json_object_get(body, name);
	size_t i, n = json_array_size(list);

	*rows = calloc(n + 1, sizeof(Mu__StoreRow *));
	for (i = 0; i < n; i++)
		(*rows)[i] = row_from_json(json_array_get(list, i));
	return n;
}

static inline json_t *
rows_to_json(const Mu__StoreResult *r)
{
	json_t *list = json_array(), *j;
	size_t i, size;
	char *text;

	for (i = 0; i < r->n_rows; i++) {
		size = sodium_base64_ENCODED_LEN(
		    r->rows[i]->value.len, sodium_base64_VARIANT_ORIGINAL);
		text = malloc(size);
		sodium_bin2base64(text, size, r->rows[i]->value.data,
		    r->rows[i]->value.len, sodium_base64_VARIANT_ORIGINAL);
		j = json_pack("{s:s,s:s,s:s,s:I,s:s}", "table",
		    r->rows[i]->table, "part", r->rows[i]->part, "key",
		    r->rows[i]->key, "ver", (json_int_t)r->rows[i]->ver,
		    "value", text);
		free(text);
		if (r->rows[i]->removed)
			json_object_set_new(j, "tombstone", json_true());
		json_array_append_new(list, j);
	}
	return list;
}

static inline void
send_result(struct tablekit *f, struct mu_in_req *r, const Mu__StoreResult *res)
{
	int status =
	    res->status == MU__STORE_RESULT__STATUS__CONFLICT ? 412 : 200;
	json_t *j = json_pack("{s:o,s:b,s:I,s:i}", "rows", rows_to_json(res),
	    "truncated", res->more, "ver", (json_int_t)f->mem->ver, "now_ms",
	    51230);
	char *text = json_dumps(j, 0);
	const char *body = f->body != NULL ? f->body : text;

	mu_in_answer(
	    r, f->force != 0 ? f->force : status, NULL, 0, body, strlen(body));
	free(text);
	json_decref(j);
}

static inline const char *
query_or_empty(struct mu_in_req *r, const char *name)
{
	const char *v = mu_in_query(r, name);

	return v != NULL ? v : "";
}

static inline void
feed_wait_end(void *arg)
{
	struct feed_wait *w = arg;
	Mu__StoreResult *res = malloc(sizeof(*res));

	mu__store_result__init(res);
	mem_feed(w->t->mem, w->op, res);
	cds_list_del(&w->node);
	mu_timer_clear(w->t->loop, &w->timer);
	w->r->user = NULL;
	if (!w->t->lost)
		send_result(w->t, w->r, res);
	mu__store_result__free_unpacked(res, NULL);
	mu__store_op__free_unpacked(w->op, NULL);
	free(w);
}

static inline void
tablekit_closed(void *arg, struct mu_in_req *r, bool ok)
{
	struct tablekit *t = arg;
	struct feed_wait *w = r->user;

	(void)ok;
	if (t->muted_request == r)
		t->muted_request = NULL;
	if (w == NULL)
		return;
	cds_list_del(&w->node);
	mu_timer_clear(t->loop, &w->timer);
	if (w->op != NULL)
		mu__store_op__free_unpacked(w->op, NULL);
	free(w);
}

/* Rows have changed: answers the requests that wait for it. */
static inline void
tablekit_changed(struct tablekit *t)
{
	struct feed_wait *w, *next;
	Mu__StoreResult *res;
	bool changed;

	cds_list_for_each_entry_safe (w, next, &t->waits, node) {
		if (w->op == NULL)
			continue;
		res = malloc(sizeof(*res));
		mu__store_result__init(res);
		mem_feed(t->mem, w->op, res);
		changed = res->n_rows > 0;
		mu__store_result__free_unpacked(res, NULL);
		if (changed && !t->mute)
			feed_wait_end(w);
	}
}

/* Handles a request for changes.  If there are none and it asks to wait for
 * one, takes op and returns true. */
static inline bool
table_feed(struct tablekit *t, struct mu_in_req *r, Mu__StoreOp *op,
    Mu__StoreResult *res)
{
	long wait = strtol(query_or_empty(r, "wait_ms"), NULL, 10);
	struct feed_wait *w;

	mem_feed(t->mem, op, res);
	if (res->n_rows > 0 || wait <= 0 || t->force != 0)
		return false;
	w = calloc(1, sizeof(*w));
	w->t = t;
	w->r = r;
	w->op = op;
	w->timer.fn = feed_wait_end;
	w->timer.arg = w;
	cds_list_add_tail(&w->node, &t->waits);
	r->user = w;
	mu_timer_set(
	    t->loop, &w->timer, mu_loop_now(t->loop) + wait * MU_US_PER_MS);
	return true;
}

static inline void
table_write(struct tablekit *t, struct mu_in_req *r, Mu__StoreOp *op,
    Mu__StoreResult *res)
{
	json_t *body =
	    json_loadb(mu_buf_data(&r->body), mu_buf_len(&r->body), 0, NULL);

	op->n_expected = rows_from_json(body, "expected", &op->expected);
	op->n_put = rows_from_json(body, "put", &op->put);
	op->n_remove = rows_from_json(body, "remove", &op->remove);
	if (t->force == 0)
		mem_write(t->mem, op, res);
	json_decref(body);
	tablekit_changed(t);
}

static inline void
table_handle(struct tablekit *t, struct mu_in_req *r)
{
	Mu__StoreResult *res;
	Mu__StoreOp *op;
	bool waits = false;

	if (t->mute) {
		t->muted_request = r;
		return;
	}
	res = malloc(sizeof(*res));
	mu__store_result__init(res);
	op = malloc(sizeof(*op));
	mu__store_op__init(op);
	if (strncmp(r->target, "/rows-tx", 8) == 0) {
		table_write(t, r, op, res);
	} else {
		op->table = strdup(query_or_empty(r, "table"));
		op->part = strdup(query_or_empty(r, "part"));
		op->from = strdup(query_or_empty(r, "from"));
		op->to = strdup(query_or_empty(r, "to"));
		op->after = strtoull(query_or_empty(r, "after"), NULL, 10);
		if (strncmp(r->target, "/rows-get?", 10) == 0)
			mem_read(t->mem, op, res);
		else
			waits = table_feed(t, r, op, res);
	}
	if (!waits && !t->lost)
		send_result(t, r, res);
	if (!waits)
		mu__store_op__free_unpacked(op, NULL);
	mu__store_result__free_unpacked(res, NULL);
}

static inline void
table_delay_end(void *arg)
{
	struct feed_wait *w = arg;
	struct tablekit *t = w->t;
	struct mu_in_req *r = w->r;

	cds_list_del(&w->node);
	r->user = NULL;
	free(w);
	table_handle(t, r);
}

static inline void
tablekit_request(void *arg, struct mu_in_req *r)
{
	struct tablekit *t = arg;
	struct feed_wait *w;

	if (t->delay_ms == 0) {
		table_handle(t, r);
		return;
	}
	w = calloc(1, sizeof(*w));
	w->t = t;
	w->r = r;
	w->timer.fn = table_delay_end;
	w->timer.arg = w;
	cds_list_add_tail(&w->node, &t->waits);
	r->user = w;
	mu_timer_set(t->loop, &w->timer,
	    mu_loop_now(t->loop) + t->delay_ms * MU_US_PER_MS);
}

static inline int
tablekit_open(struct tablekit *t, struct mu_loop *l, struct memstore *m)
{
	struct mu_in_conf c = {0};
	struct mu_error e;

	t->loop = l;
	CDS_INIT_LIST_HEAD(&t->waits);
	t->mem = m;
	m->loop = l;
	kit_unused_addr(t->addr);
	c.listen = t->addr;
	c.max_body = 1 << 22;
	c.max_connections = 400;
	c.idle_s = 30;
	c.hooks.arg = t;
	c.hooks.request = tablekit_request;
	c.hooks.closed = tablekit_closed;
	return mu_in_open(&t->in, l, &c, &e);
}

#endif
