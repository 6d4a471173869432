/*
 * historyread.c -- reads chains of turns from the store.
 *
 * A record lists all its ancestors, so a chain of any length is read in two
 * rounds.  A record is in one of a few candidate partitions (historywrite.c),
 * usually the first, so only that one is read unless it fails.  A turn counts
 * as absent only when every candidate partition has answered that it has no
 * such row.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history_private.h"
#include "log.h"
#include "scope.h"
#include "metric.h"

/* Interval between checks of a first candidate that has not answered.  Once
 * it is suspect, the other candidates are read as well.  Equal to the shortest
 * time limit of a store attempt. */
#define HEDGE_CHECK_INTERVAL_US (50 * MU_US_PER_MS)

/* A chain of turns being read. */
struct fetch {
	struct mu_history *h;
	mu_us retention;
	mu_us deadline;
	unsigned turns_pending;
	enum mu_history_status status;
	mu_history_fn fn;
	void *arg;
};

/* One turn of a chain being read. */
struct turn_read {
	struct fetch *f;
	char turn[MU_HISTORY_KEY_BYTES];
	bool is_newest; /* its record lists the other turns */
	bool finished;
	unsigned next_candidate; /* to be read next */
	unsigned reads_in_flight;
	unsigned nabsent; /* candidates without the row */
	struct mu_timer hedge_timer;
};

static void read_turn(struct fetch *f, const char *turn, bool is_newest);

/* Joins the chunks in a turn's rows and unpacks the record; NULL when there is
 * no row, or the record is malformed or was cut by the store's limit: what is
 * left of it may unpack. */
static Mu__TurnRecord *
join_rows(const Mu__StoreResult *r, const char *turn)
{
	struct mu_buf all = {0};
	Mu__TurnRecord *rec = NULL;
	size_t i, n = strlen(turn);

	if (r->more)
		return NULL;
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
fetch_finish_if_done(struct fetch *f)
{
	if (f->turns_pending > 0)
		return;
	f->fn(f->arg, f->status);
	free(f);
}

/* Reads the ancestors of rec that are not cached.  The others must not be
 * evicted while these are read. */
static void
read_ancestors(struct fetch *f, const Mu__TurnRecord *rec)
{
	size_t i;

	for (i = 0; i < rec->n_ancestors; i++)
		if (!mu_history_refresh(f->h, rec->ancestors[i], f->retention))
			read_turn(f, rec->ancestors[i], false);
}

static void
turn_found(struct turn_read *q, Mu__TurnRecord *rec)
{
	struct fetch *f = q->f;

	q->finished = true;
	mu_timer_clear(f->h->loop, &q->hedge_timer);
	if (q->is_newest)
		read_ancestors(f, rec);
	mu_history_cache_put(f->h, rec, f->retention);
	f->turns_pending--;
}

/* No candidate has the record, or not all of them could be read. */
static void
turn_not_found(struct turn_read *q)
{
	struct fetch *f = q->f;
	bool all_absent = q->nabsent == MU_HISTORY_CANDIDATES;

	q->finished = true;
	mu_timer_clear(f->h->loop, &q->hedge_timer);
	if (all_absent && q->is_newest) {
		f->status = MU_HISTORY_NOT_FOUND;
	} else {
		f->status = MU_HISTORY_UNAVAILABLE;
		/* The ancestors of a stored turn were stored before it, so an
		 * absent one is a fault. */
		if (all_absent)
			mu_log(MU_LOG_ERROR, "history", "record_missing",
			    "{s:s}", "turn", mu_scope_plain(q->turn));
	}
	f->turns_pending--;
}

/* Frees q unless reads are in flight; their results will be ignored. */
static void
turn_read_release(struct turn_read *q)
{
	if (q->reads_in_flight == 0)
		free(q);
}

static void read_next_candidate(struct turn_read *q);

static void
read_remaining_candidates(struct turn_read *q)
{
	while (q->next_candidate < MU_HISTORY_CANDIDATES)
		read_next_candidate(q);
}

static void
on_rows(void *arg, const Mu__StoreResult *r)
{
	struct turn_read *q = arg;
	struct fetch *f = q->f;
	Mu__TurnRecord *rec = NULL;
	bool answered = r->status == MU__STORE_RESULT__STATUS__DONE;

	q->reads_in_flight--;
	if (q->finished) {
		turn_read_release(q);
		return;
	}
	if (answered) {
		rec = join_rows(r, q->turn);
		if (rec != NULL)
			turn_found(q, rec);
		else if (r->n_rows == 0)
			q->nabsent++;
		else
			mu_log(MU_LOG_ERROR, "history", "record_unreadable",
			    "{s:s,s:I,s:b}", "turn", mu_scope_plain(q->turn),
			    "rows", (json_int_t)r->n_rows, "cut", (int)r->more);
	}
	if (!q->finished)
		read_remaining_candidates(q);
	if (!q->finished && q->reads_in_flight == 0)
		turn_not_found(q);
	if (!q->finished)
		return;
	turn_read_release(q);
	fetch_finish_if_done(f);
}

static void
read_next_candidate(struct turn_read *q)
{
	struct fetch *f = q->f;
	Mu__StoreOp op = MU__STORE_OP__INIT;
	char to[MU_HISTORY_KEY_BYTES + 2];

	(void)snprintf(to, sizeof(to), "%s0", q->turn); /* '0' is '/' + 1 */
	op.kind = MU__STORE_OP__KIND__READ;
	op.table = (char *)(uintptr_t)MU_HISTORY_TABLE;
	op.part =
	    mu_history_candidate(f->h, q->turn, q->next_candidate++)->name;
	op.from = q->turn;
	op.to = to;
	q->reads_in_flight++;
	mu_count(MU_M_HISTORY_READS, 1);
	mu_store_run(f->h->store, &op, f->deadline, on_rows, q);
}

static void
on_hedge_timer(void *arg)
{
	struct turn_read *q = arg;
	struct mu_history *h = q->f->h;

	if (mu_history_partition_suspect(mu_history_candidate(h, q->turn, 0)))
		read_remaining_candidates(q);
	else
		mu_timer_set(h->loop, &q->hedge_timer,
		    mu_loop_now(h->loop) + HEDGE_CHECK_INTERVAL_US);
}

static void
read_turn(struct fetch *f, const char *turn, bool is_newest)
{
	struct turn_read *q = calloc(1, sizeof(*q));

	if (q == NULL)
		abort();
	q->f = f;
	q->is_newest = is_newest;
	(void)snprintf(q->turn, sizeof(q->turn), "%s", turn);
	q->hedge_timer.fn = on_hedge_timer;
	q->hedge_timer.arg = q;
	f->turns_pending++;
	read_next_candidate(q);
	on_hedge_timer(q);
}

void
mu_history_fetch(struct mu_history *h, const char *turn, mu_us retention,
    mu_us deadline, mu_history_fn fn, void *arg)
{
	struct fetch *f = calloc(1, sizeof(*f));
	const Mu__TurnRecord *rec = mu_history_find(h, turn);

	if (f == NULL)
		abort();
	f->h = h;
	f->retention = retention;
	f->deadline = deadline;
	f->fn = fn;
	f->arg = arg;
	if (rec == NULL) {
		read_turn(f, turn, true);
	} else {
		(void)mu_history_refresh(h, turn, retention);
		read_ancestors(f, rec);
	}
	fetch_finish_if_done(f);
}
