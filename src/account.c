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

#include "account_private.h"
#include "log.h"

/* Idle programs; longer than any pause. */
#define FORGET_US (90 * MU_US_PER_S)
#define HELD_US (10 * 60 * MU_US_PER_S) /* longer than any call */
#define SWEEP_US (10 * MU_US_PER_S)
/* Of what a turn may use: programs of the users' sites use a quarter of it on
 * average. */
#define SHORT_PART 4

static void
program_free(struct program *p)
{
	struct hold *w, *next;

	cds_list_for_each_entry_safe (w, next, &p->holds, node)
		free(w);
	mu_timer_clear(p->a->loop, &p->pause);
	mu_timer_clear(p->a->loop, &p->late);
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
		mu_reaper_add(p->a->reaper, MU_ACCOUNT_TABLE,
		    mu_account_part(p), p->id, p->ver, FORGET_US);
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
	for (i = 0; i < MU_ACCOUNT_PARTS; i++)
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

	return n != NULL ? MU_CONTAINER_OF(n, struct program, node) : NULL;
}

/* Plans to answer those who still wait at their deadlines. */
static void
plan_late(struct program *p)
{
	mu_us first = MU_US_NEVER;
	struct hold *w;

	cds_list_for_each_entry (w, &p->waiters, node)
		if (w->deadline < first)
			first = w->deadline;
	if (first != MU_US_NEVER)
		mu_timer_set(p->a->loop, &p->late, first);
	else
		mu_timer_clear(p->a->loop, &p->late);
}

/* A write without an answer may take longer than those who wait for it may. */
static void
on_late(void *arg)
{
	struct program *p = arg;

	mu_account_give_up_late(p);
	plan_late(p);
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
		p->pause.fn = mu_account_on_pause;
		p->pause.arg = p;
		p->late.fn = on_late;
		p->late.arg = p;
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
void
mu_account_give_up(struct program *p)
{
	struct hold *w, *next;
	CDS_LIST_HEAD(now);

	cds_list_splice(&p->waiters, &now);
	CDS_INIT_LIST_HEAD(&p->waiters);
	cds_list_for_each_entry_safe (w, next, &now, node)
		answer(w, MU_BEGIN_UNAVAILABLE);
}

void
mu_account_give_up_late(struct program *p)
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

/* The reservation is made; the turn keeps it until it is settled. */
static void
answer_held(struct program *p, struct hold *w)
{
	cds_list_del(&w->node);
	cds_list_add(&w->node, &p->holds);
	w->fn(w->arg, MU_BEGIN_OK);
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
		p->refused = p->loan > 0 ? MU_REFUSED_LOAN : MU_REFUSED_RELEASE;
	else if (p->loan > 0)
		mu_ledger_borrowed(&p->ledger, p->loan);
	else
		mu_ledger_released(&p->ledger, loan->lent);
	mu_log(MU_LOG_INFO, "home", "guarantor_asked", "{s:s,s:I,s:b,s:I}",
	    "program", p->id, "amount", (json_int_t)p->loan, "given",
	    loan->given, "lent", (json_int_t)loan->lent);
	mu_account_serve(p);
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

/* The row's part cannot be asked now. */
static bool
row_out(const struct program *p)
{
	struct mu_store *s = p->a->store;

	return mu_store_out(s) ||
	       mu_store_part_suspect(s, MU_ACCOUNT_TABLE, mu_account_part(p));
}

/* The row cannot be asked, and the guarantor may lend. */
static bool
may_borrow(const struct program *p)
{
	return p->refused == MU_REFUSED_NOTHING && !p->ledger.released &&
	       row_out(p);
}

/*
 * Nothing can be drawn or borrowed: what is left here serves the turn that
 * waits first, which is cut off should it use more.  Most turns use far less
 * than they may.
 */
static bool
serve_short(struct program *p, struct hold *w)
{
	uint64_t rest;

	if ((p->refused == MU_REFUSED_NOTHING && !p->ledger.released) ||
	    !row_out(p))
		return false;
	rest = mu_ledger_reserve_rest(&p->ledger, w->most / SHORT_PART);
	if (rest == 0)
		return false;
	mu_log(MU_LOG_INFO, "home", "reserved_short", "{s:s,s:s,s:I,s:I}",
	    "program", p->id, "request", w->turn, "tokens", (json_int_t)rest,
	    "most", (json_int_t)w->most);
	w->most = rest;
	p->refused = MU_REFUSED_NOTHING;
	answer_held(p, w);
	return true;
}

static void
exhausted(struct program *p, struct hold *w)
{
	if (p->lost.number != 0) {
		mu_account_draw(p, 0, w->deadline);
		return;
	}
	if (!p->fresh && mu_ledger_shared(&p->ledger)) {
		mu_account_reread(p, w->deadline);
		return;
	}
	mu_log(MU_LOG_INFO, "home", "budget_exhausted",
	    "{s:s,s:I,s:I,s:I,s:I,s:I,s:b}", "program", p->id, "budget",
	    (json_int_t)p->ledger.budget, "granted",
	    (json_int_t)p->ledger.granted, "spent_here",
	    (json_int_t)p->ledger.spent, "reserved_here",
	    (json_int_t)p->ledger.reserved, "most", (json_int_t)w->most,
	    "released", p->ledger.released);
	p->refused = MU_REFUSED_NOTHING;
	answer(w, others_hold(p) ? MU_BEGIN_UNAVAILABLE : MU_BEGIN_EXHAUSTED);
}

/* Answers those who wait, in order, while the budget drawn so far lasts. */
void
mu_account_serve(struct program *p)
{
	struct mu_ledger_answer a;
	struct hold *w;

	while (!p->drawing && (w = first_waiter(p)) != NULL) {
		a = mu_ledger_reserve(&p->ledger, w->most);
		switch (a.kind) {
		case MU_LEDGER_RESERVED:
			p->refused = MU_REFUSED_NOTHING;
			answer_held(p, w);
			break;
		case MU_LEDGER_DRAW:
			if (may_borrow(p))
				ask_guarantor(p, w->most, a.lack, w->deadline);
			else if (!serve_short(p, w))
				mu_account_draw(p, a.draw, w->deadline);
			break;
		case MU_LEDGER_RELEASE:
			if (may_borrow(p))
				ask_guarantor(p, w->most, a.lack, w->deadline);
			else if (serve_short(p, w))
				break;
			else if (p->refused != MU_REFUSED_RELEASE)
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
	mu_account_plan_return(p);
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
	mu_account_serve(p);
	plan_late(p);
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

uint64_t
mu_accounts_reserved(
    struct mu_accounts *a, const char *program, const char *turn)
{
	struct program *p = find_program(a, program);
	struct hold *w = p != NULL ? find_hold(&p->holds, turn) : NULL;

	return w != NULL ? w->most : 0;
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
		mu_account_serve(p);
}

void
mu_accounts_leave(struct mu_accounts *a)
{
	struct program *p;

	a->leaving = true;
	cds_list_for_each_entry (p, &a->all, all)
		if (!p->drawing)
			mu_account_plan_return(p);
}

static struct place *
find_place(struct program *p, const char *part)
{
	unsigned i;

	for (i = 0; i < MU_ACCOUNT_PLACES; i++)
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

	if (p == NULL || *part == '\0' || strlen(part) >= MU_ACCOUNT_PART)
		return;
	q = find_place(p, part);
	if (q == NULL)
		q = &p->place[p->next_place++ % MU_ACCOUNT_PLACES];
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
