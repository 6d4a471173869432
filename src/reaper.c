/*
 * reaper.c -- removes rows from the store when their retention time ends.
 *
 * The daemon that wrote a row removes it, in batches of rows of one partition.
 * The list of rows is held in memory only: rows of a daemon that has exited
 * stay in the store.
 */
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "log.h"
#include "reaper.h"

#define POLL_INTERVAL_US (10 * MU_US_PER_S)
#define BATCH_PAUSE_US (50 * MU_US_PER_MS) /* lets other writes through */
#define REMOVE_TIMEOUT_US (2 * MU_US_PER_S) /* after it the rows stay */
#define BATCH_ROWS 100 /* the platform's limit for one write */

struct kept_row {
	struct cds_list_head node; /* roughly ordered by remove_at */
	const char *table;
	const char *part;
	char *key;
	uint64_t ver; /* required version; 0: any */
	mu_us remove_at;
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
	/* A row that has changed is in use; the daemon that changed it removes
	 * it. */
	if (r->status != MU__STORE_RESULT__STATUS__DONE &&
	    r->status != MU__STORE_RESULT__STATUS__CONFLICT)
		mu_log(MU_LOG_WARN, "reaper", "remove_failed", "{s:i}",
		    "status", (int)r->status);
}

static void
row_free(struct kept_row *k)
{
	cds_list_del(&k->node);
	free(k->key);
	free(k);
}

/* Moves up to BATCH_ROWS expired rows of one partition to batch. */
static size_t
take_batch(struct mu_reaper *r, struct cds_list_head *batch)
{
	mu_us now = mu_loop_now(r->loop);
	const char *part = NULL;
	struct kept_row *k, *next;
	bool conditional = false;
	size_t n = 0;

	cds_list_for_each_entry_safe (k, next, &r->rows, node) {
		if (k->remove_at > now || n == BATCH_ROWS || conditional)
			break;
		if (part != NULL && (strcmp(k->part, part) != 0 || k->ver != 0))
			continue;
		/* A failed version check would reject the whole batch, so a
		 * row that has one is removed alone. */
		conditional = k->ver != 0;
		part = k->part;
		cds_list_del(&k->node);
		cds_list_add_tail(&k->node, batch);
		n++;
	}
	return n;
}

/* Removes one batch of expired rows; false if there are none. */
static bool
remove_batch(struct mu_reaper *r)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow rows[BATCH_ROWS], *removed[BATCH_ROWS];
	struct kept_row *k, *next;
	CDS_LIST_HEAD(batch);

	if (take_batch(r, &batch) == 0)
		return false;
	cds_list_for_each_entry (k, &batch, node) {
		removed[op.n_remove] = &rows[op.n_remove];
		mu__store_row__init(&rows[op.n_remove]);
		rows[op.n_remove].table = (char *)(uintptr_t)k->table;
		rows[op.n_remove].part = (char *)(uintptr_t)k->part;
		rows[op.n_remove].key = k->key;
		rows[op.n_remove].ver = k->ver;
		op.n_remove++;
	}
	if (rows[0].ver != 0) {
		op.n_expected = 1;
		op.expected = removed;
	}
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.remove = removed;
	mu_store_run(r->store, &op, mu_loop_now(r->loop) + REMOVE_TIMEOUT_US,
	    on_removed, NULL);
	cds_list_for_each_entry_safe (k, next, &batch, node)
		row_free(k);
	return true;
}

static void
on_timer(void *arg)
{
	struct mu_reaper *r = arg;

	mu_us pause = remove_batch(r) ? BATCH_PAUSE_US : POLL_INTERVAL_US;

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
	mu_timer_set(l, &r->timer, mu_loop_now(l) + POLL_INTERVAL_US);
	return r;
}

void
mu_reaper_free(struct mu_reaper *r)
{
	struct kept_row *k, *next;

	if (r == NULL)
		return;
	cds_list_for_each_entry_safe (k, next, &r->rows, node)
		row_free(k);
	mu_timer_clear(r->loop, &r->timer);
	free(r);
}

void
mu_reaper_add(struct mu_reaper *r, const char *table, const char *part,
    const char *key, uint64_t ver, mu_us retention)
{
	struct kept_row *k = calloc(1, sizeof(*k));

	if (k == NULL || (k->key = strdup(key)) == NULL) {
		free(k);
		mu_log(MU_LOG_WARN, "reaper", "out_of_memory", "{s:s}", "key",
		    key);
		return; /* the row stays in the store */
	}
	k->table = table;
	k->part = part;
	k->ver = ver;
	k->remove_at = mu_loop_now(r->loop) + retention;
	cds_list_add_tail(&k->node, &r->rows);
}
