/*
 * memstore.h -- an in-memory table store for tests, with the platform's rules:
 * writes are atomic, cover one partition and may depend on row versions.
 * Faults are set by the test.
 */
#ifndef MU_MEMSTORE_H
#define MU_MEMSTORE_H

#include <stdlib.h>
#include <string.h>

#include "loop.h"
#include "store.h"

#ifndef MEM_ROWS
#define MEM_ROWS 4096
#endif

enum mem_fault {
	MEM_HEALTHY,
	MEM_BUSY, /* refuses; operation not applied */
	MEM_SILENT, /* no answer; operation not applied */
	MEM_ANSWER_LOST, /* no answer; operation applied */
	MEM_HISTORY_GONE, /* change history dropped */
	MEM_INVALID /* rejects the operation permanently */
};

#define MEM_RATE_SLICES 10

struct mem_row {
	char table[32], part[32], key[256];
	uint8_t *value;
	size_t len;
	uint64_t ver; /* 0: unused */
	bool removed;
};

struct mem_pending {
	struct mem_pending *next;
	struct mu_timer timer;
	struct memstore *m;
	Mu__StoreResult *result;
	mu_store_result_fn done;
	void *arg;
};

struct memstore {
	struct mu_loop *loop;
	struct mem_row row[MEM_ROWS];
	size_t nrows;
	uint64_t ver;
	enum mem_fault fault;
	unsigned fault_count; /* operations that the fault affects; 0: all */
	const char *down[16]; /* partitions that the fault affects... */
	unsigned ndown; /* ...0: all */
	mu_us delay; /* before each answer */
	/* Calls in a second, refused ones included, beyond which the store
	 * refuses as overloaded; 0: no limit. */
	unsigned rate_limit;
	unsigned recent[MEM_RATE_SLICES]; /* calls, by slices of a second */
	mu_us slice; /* number of the newest one */
	unsigned calls, writes, reads, feeds;
	size_t page; /* most rows in one read; 0: no limit */
	struct mem_pending *pending; /* results not delivered yet */
};

static inline struct mem_row *
mem_find(
    struct memstore *m, const char *table, const char *part, const char *key)
{
	size_t i;

	for (i = 0; i < m->nrows; i++)
		if (strcmp(m->row[i].table, table) == 0 &&
		    strcmp(m->row[i].part, part) == 0 &&
		    strcmp(m->row[i].key, key) == 0)
			return &m->row[i];
	return NULL;
}

/* The current row; NULL if there is none or it was removed. */
static inline struct mem_row *
mem_get(
    struct memstore *m, const char *table, const char *part, const char *key)
{
	struct mem_row *r = mem_find(m, table, part, key);

	return r != NULL && !r->removed ? r : NULL;
}

static inline void
mem_put(struct memstore *m, const char *table, const char *part,
    const char *key, const void *value, size_t len)
{
	struct mem_row *r = mem_find(m, table, part, key);

	if (r == NULL) {
		if (m->nrows == MEM_ROWS)
			abort();
		r = &m->row[m->nrows++];
		strncpy(r->table, table, sizeof(r->table) - 1);
		strncpy(r->part, part, sizeof(r->part) - 1);
		strncpy(r->key, key, sizeof(r->key) - 1);
	}
	free(r->value);
	r->value = malloc(len + 1);
	if (len > 0)
		memcpy(r->value, value, len);
	r->value[len] = '\0';
	r->len = len;
	r->removed = false;
	r->ver = m->ver;
}

static inline Mu__StoreRow *
mem_copy(const struct mem_row *r)
{
	Mu__StoreRow *c = malloc(sizeof(*c));

	mu__store_row__init(c);
	c->table = strdup(r->table);
	c->part = strdup(r->part);
	c->key = strdup(r->key);
	c->ver = r->ver;
	c->removed = r->removed;
	c->value.data = malloc(r->len + 1);
	memcpy(c->value.data, r->value, r->len);
	c->value.len = r->len;
	return c;
}

static inline void
mem_add(Mu__StoreResult *out, const struct mem_row *r)
{
	out->rows = realloc(out->rows, (out->n_rows + 1) * sizeof(*out->rows));
	out->rows[out->n_rows++] = mem_copy(r);
}

static inline void
mem_write(struct memstore *m, const Mu__StoreOp *op, Mu__StoreResult *out)
{
	struct mem_row *r;
	bool ok = true;
	size_t i;

	m->writes++;
	for (i = 0; i < op->n_expected; i++) {
		r = mem_get(m, op->expected[i]->table, op->expected[i]->part,
		    op->expected[i]->key);
		if ((r != NULL ? r->ver : 0) != op->expected[i]->ver)
			ok = false;
	}
	if (!ok) {
		out->status = MU__STORE_RESULT__STATUS__CONFLICT;
		for (i = 0; i < op->n_expected; i++) {
			r = mem_get(m, op->expected[i]->table,
			    op->expected[i]->part, op->expected[i]->key);
			if (r != NULL)
				mem_add(out, r);
		}
		return;
	}
	m->ver++;
	for (i = 0; i < op->n_put; i++)
		mem_put(m, op->put[i]->table, op->put[i]->part, op->put[i]->key,
		    op->put[i]->value.data, op->put[i]->value.len);
	for (i = 0; i < op->n_remove; i++) {
		r = mem_get(m, op->remove[i]->table, op->remove[i]->part,
		    op->remove[i]->key);
		if (r != NULL) {
			r->removed = true;
			r->ver = m->ver;
		}
	}
}

static inline int
mem_by_key(const void *a, const void *b)
{
	return strcmp((*(struct mem_row *const *)a)->key,
	    (*(struct mem_row *const *)b)->key);
}

static inline void
mem_read(struct memstore *m, const Mu__StoreOp *op, Mu__StoreResult *out)
{
	struct mem_row *match[MEM_ROWS] = {NULL}, *r;
	size_t i, n = 0;

	m->reads++;
	for (i = 0; i < m->nrows; i++) {
		r = &m->row[i];
		if (!r->removed && strcmp(r->table, op->table) == 0 &&
		    strcmp(r->part, op->part) == 0 &&
		    strcmp(r->key, op->from) >= 0 &&
		    (*op->to == '\0' || strcmp(r->key, op->to) < 0))
			match[n++] = r;
	}
	qsort(match, n, sizeof(*match), mem_by_key);
	for (i = 0; i < n; i++) {
		if (m->page > 0 && i == m->page) {
			out->more = true;
			break;
		}
		mem_add(out, match[i]);
	}
}

static inline void
mem_feed(struct memstore *m, const Mu__StoreOp *op, Mu__StoreResult *out)
{
	size_t i;

	m->feeds++;
	for (i = 0; i < m->nrows; i++)
		if (strcmp(m->row[i].table, op->table) == 0 &&
		    m->row[i].ver > op->after)
			mem_add(out, &m->row[i]);
}

static inline void
mem_unlink(struct memstore *m, struct mem_pending *a)
{
	struct mem_pending **p = &m->pending;

	while (*p != a)
		p = &(*p)->next;
	*p = a->next;
}

static inline void
mem_deliver(void *arg)
{
	struct mem_pending *a = arg;

	mem_unlink(a->m, a);
	a->done(a->arg, a->result);
	mu__store_result__free_unpacked(a->result, NULL);
	free(a);
}

/* The fault that affects an operation, if any. */
static inline enum mem_fault
mem_fault_for(const struct memstore *m, const Mu__StoreOp *op)
{
	const char *part = op->n_put > 0      ? op->put[0]->part
			   : op->n_remove > 0 ? op->remove[0]->part
					      : op->part;
	unsigned i;

	for (i = 0; i < m->ndown; i++)
		if (strcmp(m->down[i], part) == 0)
			return m->fault;
	return m->ndown == 0 ? m->fault : MEM_HEALTHY;
}

/* Counts a call; true if there are too many. */
static inline bool
mem_overloaded(struct memstore *m)
{
	mu_us slice = mu_loop_now(m->loop) / (MU_US_PER_S / MEM_RATE_SLICES);
	unsigned i, sum = 0;

	for (; m->slice < slice; m->slice++)
		m->recent[(m->slice + 1) % MEM_RATE_SLICES] = 0;
	m->recent[slice % MEM_RATE_SLICES]++;
	for (i = 0; i < MEM_RATE_SLICES; i++)
		sum += m->recent[i];
	return m->rate_limit > 0 && sum > m->rate_limit;
}

static inline void
mem_run(void *arg, const Mu__StoreOp *op, uint32_t timeout_ms,
    mu_store_result_fn done, void *done_arg)
{
	struct memstore *m = arg;
	struct mem_pending *a = calloc(1, sizeof(*a));
	bool overloaded = mem_overloaded(m);
	enum mem_fault fault = overloaded ? MEM_BUSY : mem_fault_for(m, op);
	mu_us delay = m->delay;

	m->calls++;
	if (fault != MEM_HEALTHY && m->fault_count > 0 && --m->fault_count == 0)
		m->fault = MEM_HEALTHY;
	a->m = m;
	a->next = m->pending;
	m->pending = a;
	a->done = done;
	a->arg = done_arg;
	a->result = malloc(sizeof(*a->result));
	mu__store_result__init(a->result);
	if (fault == MEM_HEALTHY || fault == MEM_ANSWER_LOST) {
		if (op->kind == MU__STORE_OP__KIND__WRITE)
			mem_write(m, op, a->result);
		else if (op->kind == MU__STORE_OP__KIND__READ)
			mem_read(m, op, a->result);
		else
			mem_feed(m, op, a->result);
	}
	a->result->ver = m->ver;
	if (fault == MEM_BUSY)
		a->result->status = MU__STORE_RESULT__STATUS__REFUSED;
	a->result->overloaded = overloaded;
	if (fault == MEM_INVALID)
		a->result->status = MU__STORE_RESULT__STATUS__INVALID;
	if (fault == MEM_HISTORY_GONE)
		a->result->status = MU__STORE_RESULT__STATUS__HISTORY_GONE;
	if (fault == MEM_SILENT || fault == MEM_ANSWER_LOST) {
		a->result->status = MU__STORE_RESULT__STATUS__UNKNOWN;
		delay = timeout_ms * MU_US_PER_MS;
	}
	a->timer.fn = mem_deliver;
	a->timer.arg = a;
	mu_timer_set(m->loop, &a->timer, mu_loop_now(m->loop) + delay);
}

static inline struct mu_store_backend
mem_backend(struct memstore *m, struct mu_loop *l)
{
	struct mu_store_backend b = {m, mem_run};

	m->loop = l;
	m->delay = 5 * MU_US_PER_MS;
	return b;
}

/* Cancels all results not delivered yet. */
static inline void
mem_cancel_pending(struct memstore *m)
{
	struct mem_pending *a;

	while ((a = m->pending) != NULL) {
		m->pending = a->next;
		mu_timer_clear(m->loop, &a->timer);
		mu__store_result__free_unpacked(a->result, NULL);
		free(a);
	}
}

static inline void
mem_free(struct memstore *m)
{
	size_t i;

	mem_cancel_pending(m);

	for (i = 0; i < m->nrows; i++)
		free(m->row[i].value);
	free(m);
}

/* Advances a manual clock in steps of a millisecond and runs the loop. */
static inline void
run_ms(struct mu_loop *l, struct mu_clock *c, int ms)
{
	for (; ms > 0; ms--) {
		mu_clock_advance(c, MU_US_PER_MS);
		mu_loop_once(l, 0);
	}
}

#endif
