/*
 * reaper.c -- removes rows from the store when they have been kept long enough.
 *
 * The daemon that wrote a row removes it, in batches of rows of one part.  The
 * list of rows due lies in memory: what a daemon wrote before it died stays.
 */
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "log.h"
#include "reaper.h"

#define EVERY_US (10 * MU_US_PER_S)
#define BATCH_US (50 * MU_US_PER_MS) /* between batches: others write, too */
#define LIMIT_US (2 * MU_US_PER_S) /* of one removal; then the rows stay */
#define BATCH_ROWS 100 /* rows of one write, by the platform */

struct due {
	struct cds_list_head node; /* about in order of time */
	const char *table;
	const char *part;
	char *key;
	uint64_t ver; /* that the row must have; 0: any */
	mu_us at;
};

struct mu_reaper {
	struct mu_loop *loop;
	struct mu_store *store;
	struct cds_list_head rows;
	struct mu_timer timer;
};

static void
on_removed(void *arg __attribute__((unused)), const Mu__StoreResult *r)
{
	/* A row that has changed is in use: who uses it removes it. */
	if (r->status != MU__STORE_RESULT__STATUS__DONE &&
	    r->status != MU__STORE_RESULT__STATUS__CONFLICT)
		mu_log(MU_LOG_WARN, "reaper", "remove_failed", "{s:i}",
		    "status", (int)r->status);
}

static void
due_free(struct due *d)
{
	cds_list_del(&d->node);
	free(d->key);
	free(d);
}

/* Moves up to one batch of rows that are due, all of one part, to batch. */
static size_t
take_batch(struct mu_reaper *r, struct cds_list_head *batch)
{
	mu_us now = mu_loop_now(r->loop);
	const char *part = NULL;
	struct due *d, *next;
	bool alone = false;
	size_t n = 0;

	cds_list_for_each_entry_safe (d, next, &r->rows, node) {
		if (d->at > now || n == BATCH_ROWS || alone)
			break;
		if (part != NULL && (strcmp(d->part, part) != 0 || d->ver != 0))
			continue;
		/* A condition that fails would keep the whole batch. */
		alone = d->ver != 0;
		part = d->part;
		cds_list_del(&d->node);
		cds_list_add_tail(&d->node, batch);
		n++;
	}
	return n;
}

/* Removes up to one batch of rows of one part; false when none is due. */
static bool
remove_batch(struct mu_reaper *r)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow rows[BATCH_ROWS], *gone[BATCH_ROWS];
	struct due *d, *next;
	CDS_LIST_HEAD(batch);

	if (take_batch(r, &batch) == 0)
		return false;
	cds_list_for_each_entry (d, &batch, node) {
		gone[op.n_remove] = &rows[op.n_remove];
		mu__store_row__init(&rows[op.n_remove]);
		rows[op.n_remove].table = (char *)(uintptr_t)d->table;
		rows[op.n_remove].part = (char *)(uintptr_t)d->part;
		rows[op.n_remove].key = d->key;
		rows[op.n_remove].ver = d->ver;
		op.n_remove++;
	}
	if (rows[0].ver != 0) {
		op.n_expected = 1;
		op.expected = gone;
	}
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.remove = gone;
	mu_store_run(
	    r->store, &op, mu_loop_now(r->loop) + LIMIT_US, on_removed, NULL);
	cds_list_for_each_entry_safe (d, next, &batch, node)
		due_free(d);
	return true;
}

static void
on_timer(void *arg)
{
	struct mu_reaper *r = arg;

	mu_us pause = remove_batch(r) ? BATCH_US : EVERY_US;

	mu_timer_set(r->loop, &r->timer, mu_loop_now(r->loop) + pause);
}

struct mu_reaper *
mu_reaper_new(struct mu_loop *l, struct mu_store *s)
{
	struct mu_reaper *r = calloc(1, sizeof(*r));

	if (r == NULL)
		return NULL;
	r->loop = l;
	r->store = s;
	CDS_INIT_LIST_HEAD(&r->rows);
	r->timer.fn = on_timer;
	r->timer.arg = r;
	mu_timer_set(l, &r->timer, mu_loop_now(l) + EVERY_US);
	return r;
}

void
mu_reaper_free(struct mu_reaper *r)
{
	struct due *d, *next;

	if (r == NULL)
		return;
	cds_list_for_each_entry_safe (d, next, &r->rows, node)
		due_free(d);
	mu_timer_clear(r->loop, &r->timer);
	free(r);
}

void
mu_reaper_add(struct mu_reaper *r, const char *table, const char *part,
    const char *key, uint64_t ver, mu_us keep)
{
	struct due *d = calloc(1, sizeof(*d));

	if (d == NULL || (d->key = strdup(key)) == NULL) {
		free(d);
		mu_log(MU_LOG_WARN, "reaper", "out_of_memory", "{s:s}", "key",
		    key);
		return; /* the row stays */
	}
	d->table = table;
	d->part = part;
	d->ver = ver;
	d->at = mu_loop_now(r->loop) + keep;
	cds_list_add_tail(&d->node, &r->rows);
}
