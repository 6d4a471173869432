/*
 * historywrite.c -- writes records of turns to the store.
 *
 * Load that this answers: some parts of the store are down for seconds while
 * turns end.  A record's first place is the part that its turn's id hashes to;
 * when that part fails and another of its few places answers, the record is
 * written there, and the first place that has it ends the wait.  Records never
 * change, so one that lies in two parts does no harm.
 *
 * Each part has one write in flight; what comes meanwhile goes out together
 * with the next.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history_private.h"
#include "log.h"
#include "metric.h"

/* A row stays for this long beyond its own time: later turns, written by any
 * daemon, go on from it. The longest conversation that is kept whole. */
#define CHAIN_US (30 * 60 * MU_US_PER_S)
#define CHUNK_BYTES ((size_t)48 * 1024) /* of a row; the platform takes 64 */
#define CHUNKS_MAX 99 /* two digits in a key */
#define BATCH_ROWS 100 /* rows of one write, by the platform */
#define BATCH_BYTES ((size_t)512 * 1024) /* of one write, before base64 */
#define LOOK_US (50 * MU_US_PER_MS) /* the least limit of an attempt */

struct commit;

/* A record on its way to one part. */
struct placing {
	struct cds_list_head node; /* in the part */
	struct commit *c;
	struct mu_history_part *part; /* NULL: not on its way there */
	bool writing; /* of an operation in progress */
};

struct commit {
	struct cds_list_head node; /* in the history until it is answered */
	struct placing placing[MU_HISTORY_PLACES];
	unsigned nplacing; /* on their way */
	bool ended; /* fn has been called */
	char key[MU_HISTORY_KEY];
	uint8_t *value;
	size_t len;
	mu_us keep;
	mu_us deadline;
	mu_us began;
	mu_history_fn fn;
	void *arg;
};

static void on_look(void *arg);

void
mu_history_write_init(struct mu_history *h)
{
	CDS_INIT_LIST_HEAD(&h->commits);
	h->look.fn = on_look;
	h->look.arg = h;
}

static void
commit_free(struct commit *c)
{
	free(c->value);
	free(c);
}

static void
unplace(struct placing *g)
{
	cds_list_del(&g->node);
	g->part = NULL;
	g->c->nplacing--;
}

static void
drop_all(struct cds_list_head *list)
{
	struct placing *g, *next;
	struct commit *c;

	cds_list_for_each_entry_safe (g, next, list, node) {
		c = g->c;
		unplace(g);
		if (c->nplacing == 0)
			commit_free(c);
	}
}

void
mu_history_write_fini(struct mu_history *h)
{
	unsigned i;

	mu_timer_clear(h->loop, &h->look);
	for (i = 0; i < MU_HISTORY_PARTS; i++) {
		drop_all(&h->part[i].waiting);
		drop_all(&h->part[i].writing);
	}
}

/* Answers the turn that waits for its record; where it is not being written
 * yet it need not be. */
static void
commit_end(struct mu_history *h, struct commit *c, enum mu_history_status st)
{
	mu_us took = mu_loop_now(h->loop) - c->began;
	unsigned i;

	c->ended = true;
	for (i = 0; i < MU_HISTORY_PLACES; i++)
		if (c->placing[i].part != NULL && !c->placing[i].writing)
			unplace(&c->placing[i]);
	cds_list_del(&c->node);
	h->pending--;
	if (st == MU_HISTORY_OK) {
		mu_count(MU_M_RECORDS, 1);
		mu_observe(MU_H_COMMIT, took);
	} else {
		mu_log(MU_LOG_WARN, "history", "commit_failed", "{s:s,s:I}",
		    "turn", c->key, "waited_ms",
		    (json_int_t)(took / MU_US_PER_MS));
	}
	c->fn(c->arg, st);
}

/* A record is in a part, or will not be. */
static void
placing_end(struct mu_history_part *p, struct placing *g, bool written)
{
	struct mu_history *h = p->h;
	struct commit *c = g->c;

	unplace(g);
	if (written)
		mu_reaper_add(h->reaper, MU_HISTORY_TABLE, p->name, c->key, 0,
		    c->keep + CHAIN_US);
	if (!c->ended && (written || c->nplacing == 0))
		commit_end(
		    h, c, written ? MU_HISTORY_OK : MU_HISTORY_UNAVAILABLE);
	if (c->nplacing == 0)
		commit_free(c);
}

static void write_part(struct mu_history_part *p);

static void
on_written(void *arg, const Mu__StoreResult *r)
{
	struct mu_history_part *p = arg;
	struct placing *g, *next;
	bool written = r->status == MU__STORE_RESULT__STATUS__DONE;
	CDS_LIST_HEAD(ended);

	mu_count(written ? MU_M_COMMITS : MU_M_COMMIT_UNKNOWN, 1);
	p->busy = false;
	cds_list_splice(&p->writing, &ended);
	CDS_INIT_LIST_HEAD(&p->writing);
	cds_list_for_each_entry_safe (g, next, &ended, node)
		placing_end(p, g, written);
	write_part(p);
}

/* Rows of one record: its key, then its key and a chunk's number. */
static size_t
add_rows(struct commit *c, struct mu_history_part *p, Mu__StoreRow *rows,
    Mu__StoreRow **put, char (*keys)[MU_HISTORY_KEY + 16])
{
	size_t n = 0, at = 0;

	do {
		mu__store_row__init(&rows[n]);
		if (n == 0)
			(void)snprintf(keys[n], sizeof(keys[n]), "%s", c->key);
		else
			(void)snprintf(keys[n], sizeof(keys[n]), "%s/%02u",
			    c->key, (unsigned)(n % (CHUNKS_MAX + 1)));
		rows[n].table = (char *)(uintptr_t)MU_HISTORY_TABLE;
		rows[n].part = p->name;
		rows[n].key = keys[n];
		rows[n].value.data = c->value + at;
		rows[n].value.len =
		    c->len - at < CHUNK_BYTES ? c->len - at : CHUNK_BYTES;
		at += rows[n].value.len;
		put[n] = &rows[n];
		n++;
	} while (at < c->len);
	return n;
}

static size_t
chunks(size_t len)
{
	return len == 0 ? 1 : (len + CHUNK_BYTES - 1) / CHUNK_BYTES;
}

static void
write_part(struct mu_history_part *p)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow rows[BATCH_ROWS], *put[BATCH_ROWS];
	char keys[BATCH_ROWS][MU_HISTORY_KEY + 16];
	struct placing *g, *next;
	mu_us deadline = 0;
	size_t bytes = 0;

	if (p->busy || cds_list_empty(&p->waiting))
		return;
	cds_list_for_each_entry_safe (g, next, &p->waiting, node) {
		if (op.n_put > 0 &&
		    (op.n_put + chunks(g->c->len) > BATCH_ROWS ||
			bytes + g->c->len > BATCH_BYTES))
			break;
		bytes += g->c->len;
		op.n_put += add_rows(
		    g->c, p, rows + op.n_put, put + op.n_put, keys + op.n_put);
		if (g->c->deadline > deadline)
			deadline = g->c->deadline;
		cds_list_del(&g->node);
		cds_list_add_tail(&g->node, &p->writing);
		g->writing = true;
	}
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.put = put;
	p->busy = true;
	mu_store_run(p->h->store, &op, deadline, on_written, p);
}

static void
place(struct mu_history *h, struct commit *c, unsigned i)
{
	struct placing *g = &c->placing[i];

	g->c = c;
	g->part = mu_history_place(h, c->key, i);
	c->nplacing++;
	cds_list_add_tail(&g->node, &g->part->waiting);
	write_part(g->part);
}

/* The first place that answers; the very first when none is known to. */
static unsigned
choose_place(struct mu_history *h, const char *turn)
{
	unsigned i;

	for (i = 0; i < MU_HISTORY_PLACES; i++)
		if (!mu_history_part_suspect(mu_history_place(h, turn, i)))
			return i;
	return 0;
}

/* A record that is on its way to parts that fail goes to one that answers. */
static void
place_elsewhere(struct mu_history *h, struct commit *c)
{
	unsigned i;

	for (i = 0; i < MU_HISTORY_PLACES; i++)
		if (c->placing[i].part != NULL &&
		    !mu_history_part_suspect(c->placing[i].part))
			return;
	i = choose_place(h, c->key);
	if (c->placing[i].part == NULL)
		place(h, c, i);
}

static void
on_look(void *arg)
{
	struct mu_history *h = arg;
	struct commit *c, *next;

	cds_list_for_each_entry_safe (c, next, &h->commits, node)
		place_elsewhere(h, c);
	if (!cds_list_empty(&h->commits))
		mu_timer_set(h->loop, &h->look, mu_loop_now(h->loop) + LOOK_US);
}

void
mu_history_commit(struct mu_history *h, const Mu__TurnRecord *rec, mu_us keep,
    mu_us deadline, mu_history_fn fn, void *arg)
{
	struct commit *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	c->len = mu__turn_record__get_packed_size(rec);
	if (c->len > CHUNK_BYTES * CHUNKS_MAX) {
		mu_log(MU_LOG_ERROR, "history", "record_too_large", "{s:s,s:I}",
		    "turn", rec->turn, "bytes", (json_int_t)c->len);
		free(c);
		fn(arg, MU_HISTORY_UNAVAILABLE);
		return;
	}
	c->value = malloc(c->len + 1);
	if (c->value == NULL)
		abort();
	(void)mu__turn_record__pack(rec, c->value);
	(void)snprintf(c->key, sizeof(c->key), "%s", rec->turn);
	c->keep = keep;
	c->deadline = deadline;
	c->began = mu_loop_now(h->loop);
	c->fn = fn;
	c->arg = arg;
	h->pending++;
	cds_list_add_tail(&c->node, &h->commits);
	place(h, c, choose_place(h, c->key));
	if (h->look.slot == 0)
		mu_timer_set(h->loop, &h->look, c->began + LOOK_US);
}
