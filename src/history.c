/*
 * history.c -- turns that have ended, by their ids.
 *
 * Rows of a turn lie in the part that its id hashes to, so whoever knows the
 * id finds them.  A record names all turns before it, so that a history is
 * read in two rounds however long it is.  Each part has one write in flight;
 * what comes meanwhile goes out together with the next.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include <jansson.h>

#include "history.h"
#include "hmap.h"
#include "log.h"
#include "metric.h"

#define TABLE "turns"
#define PARTS 16 /* the platform runs 200 writes a second in a part */
/* A row stays for this long beyond its own time: later turns, written by any
 * daemon, go on from it. The longest conversation that is kept whole. */
#define CHAIN_US (30 * 60 * MU_US_PER_S)
#define CHUNK_BYTES ((size_t)48 * 1024) /* of a row; the platform takes 64 */
#define CHUNKS_MAX 99 /* two digits in a key */
#define BATCH_ROWS 100 /* rows of one write, by the platform */
#define BATCH_BYTES ((size_t)512 * 1024) /* of one write, before base64 */
#define KEY_BYTES 256

struct turn {
	struct mu_hnode node;
	struct cds_list_head age; /* oldest first */
	Mu__TurnRecord *rec;
	size_t bytes;
	mu_us until;
};

struct commit {
	struct cds_list_head node;
	char key[KEY_BYTES];
	uint8_t *value;
	size_t len;
	mu_us keep;
	mu_us deadline;
	mu_us began;
	mu_history_fn fn;
	void *arg;
};

struct part {
	struct mu_history *h;
	char name[8];
	struct cds_list_head waiting;
	struct cds_list_head writing;
	bool busy;
};

struct mu_history {
	struct mu_loop *loop;
	struct mu_store *store;
	struct mu_hmap turns;
	struct cds_list_head ages;
	size_t bytes;
	size_t max_bytes;
	struct part part[PARTS];
	unsigned pending;
	struct mu_reaper *reaper;
};

static unsigned
part_of(const char *turn)
{
	return (unsigned)(mu_hash(turn) % PARTS);
}

struct mu_history *
mu_history_new(struct mu_loop *l, struct mu_store *s, struct mu_reaper *reaper,
    size_t max_bytes)
{
	struct mu_history *h = calloc(1, sizeof(*h));
	unsigned i;

	if (h == NULL || mu_hmap_init(&h->turns) != 0) {
		free(h);
		return NULL;
	}
	h->loop = l;
	h->store = s;
	h->reaper = reaper;
	h->max_bytes = max_bytes;
	CDS_INIT_LIST_HEAD(&h->ages);
	for (i = 0; i < PARTS; i++) {
		h->part[i].h = h;
		(void)snprintf(
		    h->part[i].name, sizeof(h->part[i].name), "h%u", i);
		CDS_INIT_LIST_HEAD(&h->part[i].waiting);
		CDS_INIT_LIST_HEAD(&h->part[i].writing);
	}
	return h;
}

static void
turn_free(struct mu_history *h, struct turn *t)
{
	cds_list_del(&t->age);
	mu_hmap_del(&h->turns, &t->node);
	h->bytes -= t->bytes;
	mu__turn_record__free_unpacked(t->rec, NULL);
	free(t);
}

static void
free_commits(struct cds_list_head *list)
{
	struct commit *c, *next;

	cds_list_for_each_entry_safe (c, next, list, node) {
		free(c->value);
		free(c);
	}
}

void
mu_history_free(struct mu_history *h)
{
	struct turn *t, *next;
	unsigned i;

	if (h == NULL)
		return;
	cds_list_for_each_entry_safe (t, next, &h->ages, age)
		turn_free(h, t);
	for (i = 0; i < PARTS; i++) {
		free_commits(&h->part[i].waiting);
		free_commits(&h->part[i].writing);
	}
	mu_hmap_clear(&h->turns);
	free(h);
}

unsigned
mu_history_pending(const struct mu_history *h)
{
	return h->pending;
}

/* In memory. */

static struct turn *
find(const struct mu_history *h, const char *turn)
{
	struct mu_hnode *n = mu_hmap_find(&h->turns, turn);

	return n != NULL ? MU_OWNER(n, struct turn, node) : NULL;
}

const Mu__TurnRecord *
mu_history_find(struct mu_history *h, const char *turn)
{
	struct turn *t = find(h, turn);

	return t != NULL ? t->rec : NULL;
}

/* Drops what has been kept long enough, and the oldest when memory is short. */
static void
trim(struct mu_history *h)
{
	mu_us now = mu_loop_now(h->loop);
	struct turn *t;

	while (!cds_list_empty(&h->ages)) {
		t = cds_list_first_entry(&h->ages, struct turn, age);
		if (t->until > now && h->bytes <= h->max_bytes)
			break;
		turn_free(h, t);
	}
}

void
mu_history_keep(struct mu_history *h, Mu__TurnRecord *rec, mu_us keep)
{
	struct turn *t;

	if (find(h, rec->turn) != NULL || (t = calloc(1, sizeof(*t))) == NULL) {
		mu__turn_record__free_unpacked(rec, NULL);
		return;
	}
	t->rec = rec;
	t->node.key = rec->turn;
	t->bytes = sizeof(*t) + mu__turn_record__get_packed_size(rec);
	t->until = mu_loop_now(h->loop) + keep;
	h->bytes += t->bytes;
	mu_hmap_add(&h->turns, &t->node);
	cds_list_add_tail(&t->age, &h->ages);
	trim(h);
}

bool
mu_history_whole(struct mu_history *h, const char *turn)
{
	struct turn *t = find(h, turn);
	size_t i;

	if (t == NULL)
		return false;
	for (i = 0; i < t->rec->n_ancestors; i++)
		if (find(h, t->rec->ancestors[i]) == NULL)
			return false;
	return true;
}

static int
add_turn(const Mu__TurnRecord *r, struct mu_buf *text)
{
	if (mu_buf_add(text, r->input.data, r->input.len) != 0)
		return MU_E_NOMEM;
	return mu_buf_add(text, r->output.data, r->output.len);
}

int
mu_history_text(struct mu_history *h, const char *turn, struct mu_buf *text)
{
	struct turn *t = find(h, turn), *a;
	size_t i;

	if (t == NULL)
		return MU_E_NOT_FOUND;
	for (i = 0; i < t->rec->n_ancestors; i++) {
		a = find(h, t->rec->ancestors[i]);
		if (a == NULL)
			return MU_E_NOT_FOUND;
		if (add_turn(a->rec, text) != 0)
			return MU_E_NOMEM;
	}
	return add_turn(t->rec, text);
}

/* Writing. */

static void write_part(struct part *p);

static void
commit_end(struct mu_history *h, struct commit *c, enum mu_history_status st)
{
	mu_us took = mu_loop_now(h->loop) - c->began;

	cds_list_del(&c->node);
	h->pending--;
	if (st == MU_HISTORY_OK) {
		mu_reaper_add(h->reaper, TABLE, h->part[part_of(c->key)].name,
		    c->key, 0, c->keep + CHAIN_US);
		mu_count(MU_M_RECORDS, 1);
		mu_observe(MU_H_COMMIT, took);
	} else {
		mu_log(MU_LOG_WARN, "history", "commit_failed", "{s:s,s:I}",
		    "turn", c->key, "waited_ms",
		    (json_int_t)(took / MU_US_PER_MS));
	}
	c->fn(c->arg, st);
	free(c->value);
	free(c);
}

static void
on_written(void *arg, const Mu__StoreResult *r)
{
	struct part *p = arg;
	struct commit *c, *next;
	enum mu_history_status st = r->status == MU__STORE_RESULT__STATUS__DONE
					? MU_HISTORY_OK
					: MU_HISTORY_UNAVAILABLE;

	mu_count(st == MU_HISTORY_OK ? MU_M_COMMITS : MU_M_COMMIT_UNKNOWN, 1);
	cds_list_for_each_entry_safe (c, next, &p->writing, node)
		commit_end(p->h, c, st);
	p->busy = false;
	write_part(p);
}

/* Rows of one record: its key, then its key and a chunk's number. */
static size_t
add_rows(struct commit *c, struct part *p, Mu__StoreRow *rows,
    Mu__StoreRow **put, char (*keys)[KEY_BYTES + 16])
{
	size_t n = 0, at = 0;

	do {
		mu__store_row__init(&rows[n]);
		if (n == 0)
			(void)snprintf(keys[n], sizeof(keys[n]), "%s", c->key);
		else
			(void)snprintf(keys[n], sizeof(keys[n]), "%s/%02u",
			    c->key, (unsigned)(n % (CHUNKS_MAX + 1)));
		rows[n].table = (char *)(uintptr_t)TABLE;
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
write_part(struct part *p)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow rows[BATCH_ROWS], *put[BATCH_ROWS];
	char keys[BATCH_ROWS][KEY_BYTES + 16];
	struct commit *c, *next;
	mu_us deadline = 0;
	size_t bytes = 0;

	if (p->busy || cds_list_empty(&p->waiting))
		return;
	cds_list_for_each_entry_safe (c, next, &p->waiting, node) {
		if (op.n_put > 0 && (op.n_put + chunks(c->len) > BATCH_ROWS ||
					bytes + c->len > BATCH_BYTES))
			break;
		bytes += c->len;
		op.n_put += add_rows(
		    c, p, rows + op.n_put, put + op.n_put, keys + op.n_put);
		if (c->deadline > deadline)
			deadline = c->deadline;
		cds_list_del(&c->node);
		cds_list_add_tail(&c->node, &p->writing);
	}
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.put = put;
	p->busy = true;
	mu_store_run(p->h->store, &op, deadline, on_written, p);
}

void
mu_history_commit(struct mu_history *h, const Mu__TurnRecord *rec, mu_us keep,
    mu_us deadline, mu_history_fn fn, void *arg)
{
	struct part *p = &h->part[part_of(rec->turn)];
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
	cds_list_add_tail(&c->node, &p->waiting);
	write_part(p);
}

/* Reading. */

struct fetch {
	struct mu_history *h;
	char turn[KEY_BYTES];
	mu_us keep;
	mu_us deadline;
	unsigned reads; /* in progress */
	enum mu_history_status status;
	mu_history_fn fn;
	void *arg;
};

struct row_read {
	struct fetch *f;
	char turn[KEY_BYTES];
	bool first;
};

static void read_turn(struct fetch *f, const char *turn, bool first);

/* Joins the chunks of a turn's rows; NULL when there are none or they are not
 * a record. */
static Mu__TurnRecord *
join_rows(const Mu__StoreResult *r, const char *turn)
{
	struct mu_buf all = {0};
	Mu__TurnRecord *rec = NULL;
	size_t i, n = strlen(turn);

	for (i = 0; i < r->n_rows; i++)
		if (strncmp(r->rows[i]->key, turn, n) == 0 &&
		    (r->rows[i]->key[n] == '\0' || r->rows[i]->key[n] == '/') &&
		    mu_buf_add(&all, r->rows[i]->value.data,
			r->rows[i]->value.len) != 0)
			goto out;
	if (mu_buf_len(&all) > 0)
		rec = mu__turn_record__unpack(
		    NULL, mu_buf_len(&all), (uint8_t *)mu_buf_data(&all));
out:
	mu_buf_clear(&all);
	return rec;
}

static void
fetch_step(struct fetch *f)
{
	if (f->reads > 0)
		return;
	f->fn(f->arg, f->status);
	free(f);
}

/* Reads those turns before rec that are not in memory. */
static void
read_ancestors(struct fetch *f, const Mu__TurnRecord *rec)
{
	size_t i;

	for (i = 0; i < rec->n_ancestors; i++)
		if (find(f->h, rec->ancestors[i]) == NULL)
			read_turn(f, rec->ancestors[i], false);
}

static void
on_row(void *arg, const Mu__StoreResult *r)
{
	struct row_read *q = arg;
	struct fetch *f = q->f;
	Mu__TurnRecord *rec = NULL;

	f->reads--;
	if (r->status != MU__STORE_RESULT__STATUS__DONE) {
		f->status = MU_HISTORY_UNAVAILABLE;
		goto out;
	}
	rec = join_rows(r, q->turn);
	if (rec == NULL) {
		/* Turns before a known one exist: this must be a fault. */
		if (q->first && r->n_rows == 0) {
			f->status = MU_HISTORY_NOT_FOUND;
		} else {
			f->status = MU_HISTORY_UNAVAILABLE;
			mu_log(MU_LOG_ERROR, "history", "record_unreadable",
			    "{s:s,s:I}", "turn", q->turn, "rows",
			    (json_int_t)r->n_rows);
		}
		goto out;
	}
	if (q->first)
		read_ancestors(f, rec);
	mu_history_keep(f->h, rec, f->keep);
out:
	free(q);
	fetch_step(f);
}

static void
read_turn(struct fetch *f, const char *turn, bool first)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	struct row_read *q = calloc(1, sizeof(*q));
	char to[KEY_BYTES + 2];

	if (q == NULL)
		abort();
	q->f = f;
	q->first = first;
	(void)snprintf(q->turn, sizeof(q->turn), "%s", turn);
	(void)snprintf(to, sizeof(to), "%s0", turn); /* '0' follows '/' */
	op.kind = MU__STORE_OP__KIND__READ;
	op.table = (char *)(uintptr_t)TABLE;
	op.part = f->h->part[part_of(turn)].name;
	op.from = q->turn;
	op.to = to;
	f->reads++;
	mu_count(MU_M_HISTORY_READS, 1);
	mu_store_run(f->h->store, &op, f->deadline, on_row, q);
}

void
mu_history_fetch(struct mu_history *h, const char *turn, mu_us keep,
    mu_us deadline, mu_history_fn fn, void *arg)
{
	struct fetch *f = calloc(1, sizeof(*f));
	struct turn *t = find(h, turn);

	if (f == NULL)
		abort();
	f->h = h;
	f->keep = keep;
	f->deadline = deadline;
	f->fn = fn;
	f->arg = arg;
	(void)snprintf(f->turn, sizeof(f->turn), "%s", turn);
	if (t == NULL)
		read_turn(f, turn, true);
	else
		read_ancestors(f, t->rec);
	fetch_step(f);
}
