/*
 * historyread.c -- reads turns from the store.
 *
 * A record names all turns before it, so that a history is read in two rounds
 * however long it is.  A record lies in one of a few parts
 * (historywrite.c): mostly in its first place, which is asked alone unless it
 * fails.  That there is no such turn is known only when every place says so.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history_private.h"
#include "log.h"
#include "metric.h"

/* How often a first place that is silent is looked at: once it counts as
 * failing, it is not waited for alone. */
#define HEDGE_US (50 * MU_US_PER_MS) /* the least limit of an attempt */

/* A history that is read. */
struct fetch {
	struct mu_history *h;
	mu_us keep;
	mu_us deadline;
	unsigned reads; /* turns in progress */
	enum mu_history_status status;
	mu_history_fn fn;
	void *arg;
};

/* One turn of it. */
struct turn_read {
	struct fetch *f;
	char turn[MU_HISTORY_KEY];
	bool first; /* the newest turn: the others are named by it */
	bool ended;
	unsigned next; /* place to be asked next */
	unsigned asking; /* places in progress */
	unsigned absent; /* places that say that they have none */
	struct mu_timer hedge;
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
		if (mu_history_find(f->h, rec->ancestors[i]) == NULL)
			read_turn(f, rec->ancestors[i], false);
}

static void
found(struct turn_read *q, Mu__TurnRecord *rec)
{
	struct fetch *f = q->f;

	q->ended = true;
	mu_timer_clear(f->h->loop, &q->hedge);
	if (q->first)
		read_ancestors(f, rec);
	mu_history_keep(f->h, rec, f->keep);
	f->reads--;
}

/* No place has it, or not all could be asked. */
static void
missing(struct turn_read *q)
{
	struct fetch *f = q->f;
	bool absent = q->absent == MU_HISTORY_PLACES;

	q->ended = true;
	mu_timer_clear(f->h->loop, &q->hedge);
	if (absent && q->first) {
		f->status = MU_HISTORY_NOT_FOUND;
	} else {
		f->status = MU_HISTORY_UNAVAILABLE;
		/* Turns before a known one exist: this must be a fault. */
		if (absent)
			mu_log(MU_LOG_ERROR, "history", "record_missing",
			    "{s:s}", "turn", q->turn);
	}
	f->reads--;
}

/* Answers of other places may still come; they are of no use. */
static void
turn_read_release(struct turn_read *q)
{
	if (q->asking == 0)
		free(q);
}

static void ask_next(struct turn_read *q);

static void
ask_rest(struct turn_read *q)
{
	while (q->next < MU_HISTORY_PLACES)
		ask_next(q);
}

static void
on_row(void *arg, const Mu__StoreResult *r)
{
	struct turn_read *q = arg;
	struct fetch *f = q->f;
	Mu__TurnRecord *rec = NULL;
	bool answered = r->status == MU__STORE_RESULT__STATUS__DONE;

	q->asking--;
	if (q->ended) {
		turn_read_release(q);
		return;
	}
	if (answered) {
		rec = join_rows(r, q->turn);
		if (rec != NULL)
			found(q, rec);
		else if (r->n_rows == 0)
			q->absent++;
		else
			mu_log(MU_LOG_ERROR, "history", "record_unreadable",
			    "{s:s,s:I}", "turn", q->turn, "rows",
			    (json_int_t)r->n_rows);
	}
	if (!q->ended)
		ask_rest(q);
	if (!q->ended && q->asking == 0)
		missing(q);
	if (!q->ended)
		return;
	turn_read_release(q);
	fetch_step(f);
}

static void
ask_next(struct turn_read *q)
{
	struct fetch *f = q->f;
	Mu__StoreOp op = MU__STORE_OP__INIT;
	char to[MU_HISTORY_KEY + 2];

	(void)snprintf(to, sizeof(to), "%s0", q->turn); /* '0' follows '/' */
	op.kind = MU__STORE_OP__KIND__READ;
	op.table = (char *)(uintptr_t)MU_HISTORY_TABLE;
	op.part = mu_history_place(f->h, q->turn, q->next++)->name;
	op.from = q->turn;
	op.to = to;
	q->asking++;
	mu_count(MU_M_HISTORY_READS, 1);
	mu_store_run(f->h->store, &op, f->deadline, on_row, q);
}

static void
on_hedge(void *arg)
{
	struct turn_read *q = arg;
	struct mu_history *h = q->f->h;

	if (mu_history_part_suspect(mu_history_place(h, q->turn, 0)))
		ask_rest(q);
	else
		mu_timer_set(
		    h->loop, &q->hedge, mu_loop_now(h->loop) + HEDGE_US);
}

static void
read_turn(struct fetch *f, const char *turn, bool first)
{
	struct turn_read *q = calloc(1, sizeof(*q));

	if (q == NULL)
		abort();
	q->f = f;
	q->first = first;
	(void)snprintf(q->turn, sizeof(q->turn), "%s", turn);
	q->hedge.fn = on_hedge;
	q->hedge.arg = q;
	f->reads++;
	ask_next(q);
	on_hedge(q);
}

void
mu_history_fetch(struct mu_history *h, const char *turn, mu_us keep,
    mu_us deadline, mu_history_fn fn, void *arg)
{
	struct fetch *f = calloc(1, sizeof(*f));
	const Mu__TurnRecord *rec = mu_history_find(h, turn);

	if (f == NULL)
		abort();
	f->h = h;
	f->keep = keep;
	f->deadline = deadline;
	f->fn = fn;
	f->arg = arg;
	if (rec == NULL)
		read_turn(f, turn, true);
	else
		read_ancestors(f, rec);
	fetch_step(f);
}
