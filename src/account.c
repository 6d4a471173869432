/*
 * account.c -- programs at one daemon: their budgets and where their prompts
 * are cached.
 *
 * Budgets are drawn by conditional writes of the program's row (ledger.c), one
 * in progress a program; turns that come meanwhile wait for it.  While the
 * store is out, turns borrow from the program's guarantor.  What has been
 * drawn and not used is given back when the program pauses and the budget is
 * nearly all drawn: a program that goes on elsewhere, also after this daemon
 * has died, must not miss it.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "account.h"
#include "hmap.h"
#include "ledger.h"
#include "log.h"
#include "metric.h"

#define TABLE "budgets"
#define PARTS 16 /* the platform runs 200 writes a second in a part */
/* Without a turn: what is left is given back; most pauses of callers are
 * shorter. */
#define PAUSE_US (400 * MU_US_PER_MS)
#define RETURN_LIMIT_US (3 * MU_US_PER_S)
/* Of a draw, which is then tried again, or borrowed if the store turns out to
 * be out: many times its answer's usual time, a fraction of a turn's. */
#define DRAW_LIMIT_US (300 * MU_US_PER_MS)
#define FORGET_US \
	(90 * MU_US_PER_S) /* idle programs; longer than any pause \
			    */
#define HELD_US (10 * 60 * MU_US_PER_S) /* longer than any call */
#define SWEEP_US (10 * MU_US_PER_S)
#define KEY_BYTES 200 /* longest key of the store */
#define PLACES 16 /* lines of one program whose caches are remembered */
#define PART_BYTES 32

/* Where the prompt of one line of turns is cached. */
struct place {
	char part[PART_BYTES];
	struct mu_cached at;
};

/* What the guarantor refused to the turn that waits first. */
enum refused {
	REFUSED_NOTHING,
	REFUSED_LOAN,
	REFUSED_RELEASE
};

struct program {
	struct mu_hnode node;
	struct mu_accounts *a;
	char id[KEY_BYTES + 1];
	struct mu_ledger ledger;
	uint64_t ver; /* of the row; 0: not known to exist */
	uint64_t last_draw; /* number of the newest draw or return */
	uint64_t draw; /* of the one in progress */
	uint64_t amount; /* of the draw in progress */
	uint64_t lost_draw; /* number of a draw without an answer; 0: none */
	uint64_t lost_amount;
	uint64_t loan; /* asked of the guarantor; 0: its release */
	enum refused refused;
	bool drawing; /* or giving back, or asking the guarantor */
	bool returning;
	bool fresh; /* the row was read or written for those who wait now */
	uint64_t writer; /* incarnation that wrote the row last... */
	uint64_t row_draw; /* ...and the number of its draw or return */
	mu_us used_at;
	struct mu_timer pause;
	struct cds_list_head waiters; /* turns that wait for a reservation */
	struct cds_list_head holds; /* turns that have one */
	bool begun; /* a turn of it has been served */
	struct place place[PLACES];
	unsigned next_place;
	struct cds_list_head all;
};

/* A turn that waits for its reservation or has it. */
struct hold {
	struct cds_list_head node;
	char turn[KEY_BYTES + 1];
	uint64_t most;
	mu_us deadline;
	mu_begin_fn fn;
	void *arg;
};

struct mu_accounts {
	struct mu_loop *loop;
	struct mu_store *store;
	struct mu_reaper *reaper;
	struct mu_accounts_conf conf;
	struct mu_hmap programs;
	struct cds_list_head all;
	char part[PARTS][8];
	struct mu_timer sweep;
	bool leaving;
};

static void serve(struct program *p);
static void on_pause(void *arg);

static void
program_free(struct program *p)
{
	struct hold *w, *next;

	cds_list_for_each_entry_safe (w, next, &p->holds, node)
		free(w);
	mu_timer_clear(p->a->loop, &p->pause);
	mu_hmap_del(&p->a->programs, &p->node);
	cds_list_del(&p->all);
	free(p);
}

/* The program has been idle for long: its row goes, too, unless another daemon
 * has drawn since. */
static void
forget(struct program *p)
{
	if (p->ver != 0 && p->writer == p->a->conf.incarnation)
		mu_reaper_add(p->a->reaper, TABLE,
		    p->a->part[mu_hash(p->id) % PARTS], p->id, p->ver,
		    FORGET_US);
	program_free(p);
}

/* A turn whose daemon died is never settled: it holds a program for longer, and
 * not for good. */
static bool
idle(struct program *p, mu_us now)
{
	mu_us unused = now - p->used_at;

	if (p->drawing || !cds_list_empty(&p->waiters))
		return false;
	return unused > (cds_list_empty(&p->holds) ? FORGET_US : HELD_US);
}

static void
on_sweep(void *arg)
{
	struct mu_accounts *a = arg;
	mu_us now = mu_loop_now(a->loop);
	struct program *p, *next;

	cds_list_for_each_entry_safe (p, next, &a->all, all)
		if (idle(p, now))
			forget(p);
	mu_timer_set(a->loop, &a->sweep, now + SWEEP_US);
}

struct mu_accounts *
mu_accounts_new(struct mu_loop *l, struct mu_store *s, struct mu_reaper *reaper,
    const struct mu_accounts_conf *conf)
{
	struct mu_accounts *a = calloc(1, sizeof(*a));
	unsigned i;

	if (a == NULL || mu_hmap_init(&a->programs) != 0) {
		free(a);
		return NULL;
	}
	a->loop = l;
	a->store = s;
	a->reaper = reaper;
	a->conf = *conf;
	CDS_INIT_LIST_HEAD(&a->all);
	for (i = 0; i < PARTS; i++)
		(void)snprintf(a->part[i], sizeof(a->part[i]), "b%u", i);
	a->sweep.fn = on_sweep;
	a->sweep.arg = a;
	mu_timer_set(l, &a->sweep, mu_loop_now(l) + SWEEP_US);
	return a;
}

void
mu_accounts_free(struct mu_accounts *a)
{
	struct program *p, *next;

	if (a == NULL)
		return;
	cds_list_for_each_entry_safe (p, next, &a->all, all)
		program_free(p);
	mu_timer_clear(a->loop, &a->sweep);
	mu_hmap_clear(&a->programs);
	free(a);
}

/* Budgets that this daemon draws. */

static struct program *
find_program(struct mu_accounts *a, const char *id)
{
	struct mu_hnode *n = mu_hmap_find(&a->programs, id);

	return n != NULL ? MU_OWNER(n, struct program, node) : NULL;
}

static struct program *
get_program(struct mu_accounts *a, const char *id, uint64_t budget)
{
	struct program *p = find_program(a, id);

	if (p == NULL) {
		p = calloc(1, sizeof(*p));
		if (p == NULL)
			abort();
		p->a = a;
		(void)snprintf(p->id, sizeof(p->id), "%s", id);
		p->node.key = p->id;
		CDS_INIT_LIST_HEAD(&p->waiters);
		CDS_INIT_LIST_HEAD(&p->holds);
		p->pause.fn = on_pause;
		p->pause.arg = p;
		mu_hmap_add(&a->programs, &p->node);
		cds_list_add(&p->all, &a->all);
	}
	p->ledger.budget = budget;
	p->used_at = mu_loop_now(a->loop);
	return p;
}

/* Takes a turn off its list and tells it the outcome. */
static void
answer(struct hold *w, enum mu_begin_status st)
{
	mu_begin_fn fn = w->fn;
	void *arg = w->arg;

	cds_list_del(&w->node);
	free(w);
	fn(arg, st);
}

/* All that wait now: an answer may make others wait anew. */
static void
answer_all(struct program *p, enum mu_begin_status st)
{
	struct hold *w, *next;
	CDS_LIST_HEAD(now);

	cds_list_splice(&p->waiters, &now);
	CDS_INIT_LIST_HEAD(&p->waiters);
	cds_list_for_each_entry_safe (w, next, &now, node)
		answer(w, st);
}

/* The reservation is made; the turn keeps it until it is settled. */
static void
answer_held(struct program *p, struct hold *w)
{
	cds_list_del(&w->node);
	cds_list_add(&w->node, &p->holds);
	w->fn(w->arg, MU_BEGIN_OK);
}

/* Takes over what the row says now. */
static void
adopt(struct program *p, const Mu__StoreResult *r)
{
	Mu__LedgerRow *row = NULL;

	p->ver = p->writer = p->row_draw = 0;
	p->ledger.granted = 0;
	if (r->n_rows > 0 && strcmp(r->rows[0]->key, p->id) == 0 &&
	    !r->rows[0]->removed && r->rows[0]->ver != 0) {
		p->ver = r->rows[0]->ver;
		row = mu__ledger_row__unpack(
		    NULL, r->rows[0]->value.len, r->rows[0]->value.data);
	}
	if (row != NULL) {
		p->ledger.granted = row->granted;
		if (row->released)
			mu_ledger_released(&p->ledger, row->lent);
		p->writer = row->writer;
		p->row_draw = row->draw;
		mu__ledger_row__free_unpacked(row, NULL);
	} else if (p->ver != 0) {
		mu_log(MU_LOG_ERROR, "home", "budget_row_unreadable", "{s:s}",
		    "program", p->id);
		p->ledger.granted = p->ledger.budget;
	}
}

/* Whether the row is what this daemon's draw of that number wrote. */
static bool
took_effect(const struct program *p, uint64_t number)
{
	return number != 0 && p->row_draw == number &&
	       p->writer == p->a->conf.incarnation;
}

/* Counts a draw without an answer if the row shows that it took effect. */
static void
find_lost(struct program *p)
{
	if (took_effect(p, p->lost_draw))
		mu_ledger_drawn(&p->ledger, p->lost_amount, p->ledger.granted);
	p->lost_draw = 0;
}

/* A draw, or a return, took effect. */
static void
wrote(struct program *p, uint64_t granted)
{
	if (p->returning)
		mu_ledger_returned(&p->ledger, p->amount, granted);
	else
		mu_ledger_drawn(&p->ledger, p->amount, granted);
}

/* Those whose time is over. */
static void
answer_late(struct program *p)
{
	mu_us now = mu_loop_now(p->a->loop);
	struct hold *w, *next;
	CDS_LIST_HEAD(late);

	cds_list_for_each_entry_safe (w, next, &p->waiters, node)
		if (w->deadline <= now) {
			cds_list_del(&w->node);
			cds_list_add_tail(&w->node, &late);
		}
	cds_list_for_each_entry_safe (w, next, &late, node)
		answer(w, MU_BEGIN_UNAVAILABLE);
}

/* A draw had no answer: the row tells later whether it took effect. */
static void
lose_draw(struct program *p)
{
	p->lost_draw = p->draw;
	p->lost_amount = p->amount;
	p->refused = REFUSED_NOTHING;
	answer_late(p);
}

static void
on_drawn(void *arg, const Mu__StoreResult *r)
{
	struct program *p = arg;

	p->drawing = false;
	switch (r->status) {
	case MU__STORE_RESULT__STATUS__DONE:
		p->ver = r->ver;
		p->writer = p->a->conf.incarnation;
		p->row_draw = p->draw;
		p->lost_draw = 0;
		wrote(p, p->returning ? p->ledger.granted - p->amount
				      : p->ledger.granted + p->amount);
		break;
	case MU__STORE_RESULT__STATUS__CONFLICT:
		adopt(p, r);
		if (took_effect(p, p->draw)) {
			p->lost_draw = 0;
			wrote(p, p->ledger.granted);
		} else {
			find_lost(p);
		}
		break;
	default:
		/* An attempt without an answer may still be applied: the next
		 * draw meets that row as a conflict. */
		mu_log(MU_LOG_WARN, "home", "draw_failed", "{s:s,s:i}",
		    "program", p->id, "status", (int)r->status);
		if (p->returning)
			/* It may be given back yet: it is not used again. */
			mu_ledger_returned(
			    &p->ledger, p->amount, p->ledger.granted);
		else
			lose_draw(p);
		break;
	}
	p->returning = false;
	p->fresh = true;
	serve(p);
}

/* The row was read: others may have given back since. */
static void
on_reread(void *arg, const Mu__StoreResult *r)
{
	struct program *p = arg;

	p->drawing = false;
	p->fresh = true;
	if (r->status == MU__STORE_RESULT__STATUS__DONE) {
		adopt(p, r);
		find_lost(p);
	} else {
		answer_all(p, MU_BEGIN_UNAVAILABLE);
	}
	serve(p);
}

static void
reread(struct program *p, mu_us deadline)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	char to[KEY_BYTES + 2];

	p->drawing = true;
	(void)snprintf(to, sizeof(to), "%s!", p->id);
	op.kind = MU__STORE_OP__KIND__READ;
	op.table = (char *)(uintptr_t)TABLE;
	op.part = p->a->part[mu_hash(p->id) % PARTS];
	op.from = p->id;
	op.to = to;
	op.limit = 1;
	mu_store_run(p->a->store, &op, deadline, on_reread, p);
}

static void
write_row(struct program *p, uint64_t granted, mu_us deadline)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow on = MU__STORE_ROW__INIT, put = MU__STORE_ROW__INIT;
	Mu__StoreRow *ons[] = {&on}, *puts[] = {&put};
	Mu__LedgerRow row = MU__LEDGER_ROW__INIT;
	uint8_t value[64];

	p->drawing = true;
	row.budget = p->ledger.budget;
	row.granted = granted;
	row.released = p->ledger.released;
	row.lent = p->ledger.lent;
	row.writer = p->a->conf.incarnation;
	row.draw = p->draw;
	on.table = put.table = (char *)(uintptr_t)TABLE;
	on.part = put.part = p->a->part[mu_hash(p->id) % PARTS];
	on.key = put.key = p->id;
	on.ver = p->ver;
	put.value.data = value;
	put.value.len = mu__ledger_row__pack(&row, value);
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.n_expected = op.n_put = 1;
	op.expected = ons;
	op.put = puts;
	mu_count(MU_M_BUDGET_DRAWS, 1);
	mu_store_run(p->a->store, &op, deadline, on_drawn, p);
}

static void
draw(struct program *p, uint64_t amount, mu_us deadline)
{
	mu_us limit = mu_loop_now(p->a->loop) + DRAW_LIMIT_US;

	/* One without an answer is made again as it was: only one of the two
	 * can take effect, and the row then shows its number. */
	if (p->lost_draw != 0) {
		amount = p->lost_amount;
		p->draw = p->lost_draw;
	} else {
		p->draw = ++p->last_draw;
	}
	p->amount = amount;
	write_row(
	    p, p->ledger.granted + amount, limit < deadline ? limit : deadline);
}

/* Gives back what is not used, when the program pauses. */
static void
on_pause(void *arg)
{
	struct program *p = arg;
	uint64_t amount = mu_ledger_spare(&p->ledger, p->a->leaving);

	if (p->drawing || amount == 0 || !cds_list_empty(&p->holds))
		return;
	p->returning = true;
	p->draw = ++p->last_draw;
	p->amount = amount;
	write_row(p, p->ledger.granted - amount,
	    mu_loop_now(p->a->loop) + RETURN_LIMIT_US);
}

static void
plan_return(struct program *p)
{
	mu_us now = mu_loop_now(p->a->loop);

	if (!cds_list_empty(&p->holds))
		mu_timer_clear(p->a->loop, &p->pause);
	else
		mu_timer_set(p->a->loop, &p->pause,
		    p->a->leaving ? now : now + PAUSE_US);
}

/* Whether another daemon that lives has drawn from the budget and may give
 * some of it back. */
static bool
others_hold(const struct program *p)
{
	struct mu_accounts_conf *c = &p->a->conf;

	return mu_ledger_shared(&p->ledger) && p->writer != c->incarnation &&
	       c->alive(c->arg, p->writer);
}

static struct hold *
first_waiter(struct program *p)
{
	return cds_list_empty(&p->waiters)
		   ? NULL
		   : cds_list_first_entry(&p->waiters, struct hold, node);
}

static void
on_loan(void *arg, const struct mu_loan *loan)
{
	struct program *p = arg;

	p->drawing = false;
	if (!loan->given)
		p->refused = p->loan > 0 ? REFUSED_LOAN : REFUSED_RELEASE;
	else if (p->loan > 0)
		mu_ledger_borrowed(&p->ledger, p->loan);
	else
		mu_ledger_released(&p->ledger, loan->lent);
	mu_log(MU_LOG_INFO, "home", "guarantor_asked", "{s:s,s:I,s:b,s:I}",
	    "program", p->id, "amount", (json_int_t)p->loan, "given",
	    loan->given, "lent", (json_int_t)loan->lent);
	serve(p);
}

static void
ask_guarantor(struct program *p, uint64_t most, uint64_t amount, mu_us deadline)
{
	struct mu_accounts_conf *c = &p->a->conf;
	struct mu_loan_request q = {
	    p->id, p->ledger.budget, most, amount, deadline};

	p->drawing = true;
	p->loan = amount;
	c->ask_guarantor(c->arg, &q, on_loan, p);
}

/* The store cannot be asked now, and the guarantor may lend. */
static bool
may_borrow(const struct program *p)
{
	return p->refused == REFUSED_NOTHING && !p->ledger.released &&
	       mu_store_out(p->a->store);
}

static void
exhausted(struct program *p, struct hold *w)
{
	if (!p->fresh && mu_ledger_shared(&p->ledger)) {
		reread(p, w->deadline);
		return;
	}
	mu_log(MU_LOG_INFO, "home", "budget_exhausted",
	    "{s:s,s:I,s:I,s:I,s:I,s:I,s:b}", "program", p->id, "budget",
	    (json_int_t)p->ledger.budget, "granted",
	    (json_int_t)p->ledger.granted, "spent_here",
	    (json_int_t)p->ledger.spent, "reserved_here",
	    (json_int_t)p->ledger.reserved, "most", (json_int_t)w->most,
	    "released", p->ledger.released);
	p->refused = REFUSED_NOTHING;
	answer(w, others_hold(p) ? MU_BEGIN_UNAVAILABLE : MU_BEGIN_EXHAUSTED);
}

/* Answers those who wait, in order, while the budget drawn so far lasts. */
static void
serve(struct program *p)
{
	struct mu_ledger_answer a;
	struct hold *w;

	while (!p->drawing && (w = first_waiter(p)) != NULL) {
		a = mu_ledger_reserve(&p->ledger, w->most);
		switch (a.kind) {
		case MU_LEDGER_RESERVED:
			p->refused = REFUSED_NOTHING;
			answer_held(p, w);
			break;
		case MU_LEDGER_DRAW:
			if (may_borrow(p))
				ask_guarantor(p, w->most, a.lack, w->deadline);
			else
				draw(p, a.draw, w->deadline);
			break;
		case MU_LEDGER_RELEASE:
			if (may_borrow(p))
				ask_guarantor(p, w->most, a.lack, w->deadline);
			else if (p->refused != REFUSED_RELEASE)
				ask_guarantor(p, w->most, 0, w->deadline);
			else
				exhausted(p, w);
			break;
		case MU_LEDGER_EXHAUSTED:
			exhausted(p, w);
			break;
		}
	}
	if (p->drawing)
		return;
	p->fresh = false;
	plan_return(p);
}

void
mu_accounts_reserve(struct mu_accounts *a, const struct mu_reservation *r,
    mu_begin_fn fn, void *arg)
{
	struct program *p = find_program(a, r->program);
	struct hold *w;

	if (r->only_begun && (p == NULL || !p->begun)) {
		fn(arg, MU_BEGIN_NOT_BEGUN);
		return;
	}
	p = get_program(a, r->program, r->budget);
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		abort();
	(void)snprintf(w->turn, sizeof(w->turn), "%s", r->turn);
	w->most = r->most;
	w->deadline = r->deadline;
	w->fn = fn;
	w->arg = arg;
	cds_list_add_tail(&w->node, &p->waiters);
	serve(p);
}

static struct hold *
find_hold(struct cds_list_head *list, const char *turn)
{
	struct hold *w;

	cds_list_for_each_entry (w, list, node)
		if (strcmp(w->turn, turn) == 0)
			return w;
	return NULL;
}

void
mu_accounts_settle(
    struct mu_accounts *a, const char *program, const char *turn, uint64_t used)
{
	struct program *p = find_program(a, program);
	struct hold *w;

	if (p == NULL)
		return;
	p->used_at = mu_loop_now(a->loop);
	if (used > 0)
		p->begun = true;
	w = find_hold(&p->holds, turn);
	if (w == NULL) {
		w = find_hold(&p->waiters, turn);
		if (w != NULL)
			answer(w, MU_BEGIN_UNAVAILABLE);
		return;
	}
	mu_ledger_settle(&p->ledger, w->most, used);
	cds_list_del(&w->node);
	free(w);
	if (!p->drawing)
		serve(p);
}

void
mu_accounts_leave(struct mu_accounts *a)
{
	struct program *p;

	a->leaving = true;
	cds_list_for_each_entry (p, &a->all, all)
		if (!p->drawing)
			plan_return(p);
}

static struct place *
find_place(struct program *p, const char *part)
{
	unsigned i;

	for (i = 0; i < PLACES; i++)
		if (strcmp(p->place[i].part, part) == 0)
			return &p->place[i];
	return NULL;
}

void
mu_accounts_cached(struct mu_accounts *a, const char *program, const char *part,
    const struct mu_cached *where)
{
	struct program *p = find_program(a, program);
	struct place *q;

	if (p == NULL || *part == '\0' || strlen(part) >= PART_BYTES)
		return;
	q = find_place(p, part);
	if (q == NULL)
		q = &p->place[p->next_place++ % PLACES];
	(void)snprintf(q->part, sizeof(q->part), "%s", part);
	q->at = *where;
}

void
mu_accounts_find(struct mu_accounts *a, const char *program, char *const *parts,
    size_t n, struct mu_cached *out)
{
	struct program *p = find_program(a, program);
	struct place *q;
	size_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; p != NULL && i < n; i++) {
		q = *parts[i] != '\0' ? find_place(p, parts[i]) : NULL;
		if (q != NULL) {
			*out = q->at;
			return;
		}
	}
}
