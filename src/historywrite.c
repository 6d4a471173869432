/*
 * historywrite.c -- writes records of turns to the store.
 *
 * Turns must be able to finish while some partitions of the store are
 * unavailable for seconds.  A record's first candidate partition is the one
 * that its turn's id hashes to.  If that partition becomes suspect and another
 * candidate is not, the record is written there too, and the first successful
 * write completes the commit.  Records are immutable, so a copy in two
 * partitions does no harm.
 *
 * Each partition has at most one write in flight; records that arrive in the
 * meantime are batched into the next one.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history_private.h"
#include "log.h"
#include "scope.h"
#include "metric.h"

/* Added to a row's retention time, because later turns, written by any daemon,
 * continue it.  Bounds the length of a conversation that stays complete. */
#define CHAIN_RETENTION_US (30 * 60 * MU_US_PER_S)
#define BATCH_MAX_ROWS 100 /* limit of the platform for one write */
/* Of one write, before base64.  A larger record is written alone. */
#define BATCH_MAX_BYTES ((size_t)512 * 1024)
/* Interval between checks for commits that wait for suspect partitions.  Equal
 * to the shortest time limit of a store attempt. */
#define RECHECK_INTERVAL_US (50 * MU_US_PER_MS)

struct commit;

/* The write of one record to one partition. */
struct partition_write {
	struct cds_list_head node; /* in the partition's queued or in_flight */
	struct commit *c;
	struct mu_history_partition *partition; /* NULL: not being written */
	bool in_flight; /* part of the partition's write in progress */
};

struct commit {
	struct cds_list_head node; /* in mu_history.commits until reported */
	struct partition_write writes[MU_HISTORY_CANDIDATES];
	unsigned nwrites; /* queued or in flight */
	bool reported; /* fn has been called */
	char key[MU_HISTORY_KEY_BYTES];
	uint8_t *value;
	size_t len;
	mu_us retention;
	mu_us deadline;
	mu_us started;
	mu_history_fn fn;
	void *arg;
};

static void on_recheck(void *arg);

void
mu_history_write_init(struct mu_history *h)
{
	CDS_INIT_LIST_HEAD(&h->commits);
	h->recheck_timer.fn = on_recheck;
	h->recheck_timer.arg = h;
}

static void
commit_free(struct commit *c)
{
	free(c->value);
	free(c);
}

static void
partition_write_remove(struct partition_write *w)
{
	cds_list_del(&w->node);
	w->partition = NULL;
	w->c->nwrites--;
}

static void
remove_writes(struct cds_list_head *list)
{
	struct partition_write *w, *next;
	struct commit *c;

	cds_list_for_each_entry_safe (w, next, list, node) {
		c = w->c;
		partition_write_remove(w);
		if (c->nwrites == 0)
			commit_free(c);
	}
}

void
mu_history_write_fini(struct mu_history *h)
{
	unsigned i;

	mu_timer_clear(h->loop, &h->recheck_timer);
	for (i = 0; i < MU_HISTORY_PARTITIONS; i++) {
		remove_writes(&h->partitions[i].queued);
		remove_writes(&h->partitions[i].in_flight);
	}
}

/* Reports the result of a commit and drops its writes that are still queued. */
static void
commit_end(struct mu_history *h, struct commit *c, enum mu_history_status st)
{
	mu_us took = mu_loop_now(h->loop) - c->started;
	unsigned i;

	c->reported = true;
	for (i = 0; i < MU_HISTORY_CANDIDATES; i++)
		if (c->writes[i].partition != NULL && !c->writes[i].in_flight)
			partition_write_remove(&c->writes[i]);
	cds_list_del(&c->node);
	h->pending--;
	if (st == MU_HISTORY_OK) {
		mu_count(MU_M_RECORDS, 1);
		mu_observe(MU_H_COMMIT, took);
	} else {
		mu_log(MU_LOG_WARN, "history", "commit_failed", "{s:s,s:I}",
		    "turn", mu_scope_plain(c->key), "waited_ms",
		    (json_int_t)(took / MU_US_PER_MS));
	}
	c->fn(c->arg, st);
}

/* Finishes the write of a record to one partition. */
static void
partition_write_end(
    struct mu_history_partition *p, struct partition_write *w, bool written)
{
	struct mu_history *h = p->h;
	struct commit *c = w->c;

	partition_write_remove(w);
	if (written)
		mu_reaper_add(h->reaper, MU_HISTORY_TABLE, p->name, c->key, 0,
		    c->retention + CHAIN_RETENTION_US);
	if (!c->reported && (written || c->nwrites == 0))
		commit_end(
		    h, c, written ? MU_HISTORY_OK : MU_HISTORY_UNAVAILABLE);
	if (c->nwrites == 0)
		commit_free(c);
}

static void start_write(struct mu_history_partition *p);

static void
on_written(void *arg, const Mu__StoreResult *r)
{
	struct mu_history_partition *p = arg;
	struct partition_write *w, *next;
	bool written = r->status == MU__STORE_RESULT__STATUS__DONE;
	CDS_LIST_HEAD(finished);

	mu_count(written ? MU_M_COMMITS : MU_M_COMMIT_UNKNOWN, 1);
	p->write_in_progress = false;
	cds_list_splice(&p->in_flight, &finished);
	CDS_INIT_LIST_HEAD(&p->in_flight);
	cds_list_for_each_entry_safe (w, next, &finished, node)
		partition_write_end(p, w, written);
	start_write(p);
}

/* Adds the rows of one record: the first chunk under its key, the others under
 * its key and the chunk's number. */
static size_t
add_rows(struct commit *c, struct mu_history_partition *p, Mu__StoreRow *rows,
    Mu__StoreRow **put, char (*keys)[MU_HISTORY_KEY_BYTES + 16])
{
	size_t n = 0, offset = 0;

	do {
		mu__store_row__init(&rows[n]);
		if (n == 0)
			(void)snprintf(keys[n], sizeof(keys[n]), "%s", c->key);
		else
			(void)snprintf(keys[n], sizeof(keys[n]), "%s/%02u",
			    c->key,
			    (unsigned)(n % (MU_HISTORY_MAX_CHUNKS + 1)));
		rows[n].table = (char *)(uintptr_t)MU_HISTORY_TABLE;
		rows[n].part = p->name;
		rows[n].key = keys[n];
		rows[n].value.data = c->value + offset;
		rows[n].value.len = c->len - offset < MU_HISTORY_CHUNK_BYTES
					? c->len - offset
					: MU_HISTORY_CHUNK_BYTES;
		offset += rows[n].value.len;
		put[n] = &rows[n];
		n++;
	} while (offset < c->len);
	return n;
}

static size_t
chunk_count(size_t len)
{
	return len == 0 ? 1
			: (len + MU_HISTORY_CHUNK_BYTES - 1) /
			      MU_HISTORY_CHUNK_BYTES;
}

static void
start_write(struct mu_history_partition *p)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow rows[BATCH_MAX_ROWS], *put[BATCH_MAX_ROWS];
	char keys[BATCH_MAX_ROWS][MU_HISTORY_KEY_BYTES + 16];
	struct partition_write *w, *next;
	mu_us deadline = 0;
	size_t bytes = 0;

	if (p->write_in_progress || cds_list_empty(&p->queued))
		return;
	cds_list_for_each_entry_safe (w, next, &p->queued, node) {
		if (op.n_put > 0 &&
		    (op.n_put + chunk_count(w->c->len) > BATCH_MAX_ROWS ||
			bytes + w->c->len > BATCH_MAX_BYTES))
			break;
		bytes += w->c->len;
		op.n_put += add_rows(
		    w->c, p, rows + op.n_put, put + op.n_put, keys + op.n_put);
		if (w->c->deadline > deadline)
			deadline = w->c->deadline;
		cds_list_del(&w->node);
		cds_list_add_tail(&w->node, &p->in_flight);
		w->in_flight = true;
	}
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.put = put;
	p->write_in_progress = true;
	mu_store_run(p->h->store, &op, deadline, on_written, p);
}

static void
write_to_candidate(struct mu_history *h, struct commit *c, unsigned i)
{
	struct partition_write *w = &c->writes[i];

	w->c = c;
	w->partition = mu_history_candidate(h, c->key, i);
	c->nwrites++;
	cds_list_add_tail(&w->node, &w->partition->queued);
	start_write(w->partition);
}

/* The first candidate that is not suspect; 0 when all are. */
static unsigned
choose_candidate(struct mu_history *h, const char *turn)
{
	unsigned i;

	for (i = 0; i < MU_HISTORY_CANDIDATES; i++)
		if (!mu_history_partition_suspect(
			mu_history_candidate(h, turn, i)))
			return i;
	return 0;
}

/* Writes a record whose partitions are all suspect to one that is not. */
static void
write_elsewhere(struct mu_history *h, struct commit *c)
{
	unsigned i;

	for (i = 0; i < MU_HISTORY_CANDIDATES; i++)
		if (c->writes[i].partition != NULL &&
		    !mu_history_partition_suspect(c->writes[i].partition))
			return;
	i = choose_candidate(h, c->key);
	if (c->writes[i].partition == NULL)
		write_to_candidate(h, c, i);
}

static void
on_recheck(void *arg)
{
	struct mu_history *h = arg;
	struct commit *c, *next;

	cds_list_for_each_entry_safe (c, next, &h->commits, node)
		write_elsewhere(h, c);
	if (!cds_list_empty(&h->commits))
		mu_timer_set(h->loop, &h->recheck_timer,
		    mu_loop_now(h->loop) + RECHECK_INTERVAL_US);
}

void
mu_history_commit(struct mu_history *h, const Mu__TurnRecord *rec,
    mu_us retention, mu_us deadline, mu_history_fn fn, void *arg)
{
	struct commit *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	c->len = mu__turn_record__get_packed_size(rec);
	if (c->len > MU_HISTORY_MAX_BYTES) {
		mu_log(MU_LOG_ERROR, "history", "record_too_large", "{s:s,s:I}",
		    "turn", mu_scope_plain(rec->turn), "bytes",
		    (json_int_t)c->len);
		free(c);
		fn(arg, MU_HISTORY_UNAVAILABLE);
		return;
	}
	c->value = malloc(c->len + 1);
	if (c->value == NULL)
		abort();
	(void)mu__turn_record__pack(rec, c->value);
	(void)snprintf(c->key, sizeof(c->key), "%s", rec->turn);
	c->retention = retention;
	c->deadline = deadline;
	c->started = mu_loop_now(h->loop);
	c->fn = fn;
	c->arg = arg;
	h->pending++;
	cds_list_add_tail(&c->node, &h->commits);
	write_to_candidate(h, c, choose_candidate(h, c->key));
	if (h->recheck_timer.slot == 0)
		mu_timer_set(h->loop, &h->recheck_timer,
		    c->started + RECHECK_INTERVAL_US);
}
