/*
 * account.c -- the programs known to one daemon: their budgets and the cache
 * locations of their prompts.
 *
 * Budget is drawn by conditional writes of the program's row (ledger.c), at
 * most one in progress for each program; turns that arrive meanwhile wait for
 * it.  While the store is unavailable, turns borrow from the program's
 * guarantor.
 *
 * When the program pauses and its budget is nearly drawn, unused tokens are
 * returned to the row: the program may continue at another daemon, also after
 * this one has died, and needs them there.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "account_private.h"
#include "log.h"
#include "scope.h"

/* Time to live of idle programs; longer than any pause between turns. */
#define IDLE_PROGRAM_TTL_US (90 * MU_US_PER_S)
/* The same with unsettled reservations; longer than any call. */
#define UNSETTLED_TTL_US (10 * 60 * MU_US_PER_S)
#define SWEEP_US (10 * MU_US_PER_S)
/* A turn may start with its maximum divided by this, if no more is left: on
 * average, turns in production use a quarter of their maximum. */
#define MIN_REMAINDER_DIVISOR 4

static void
program_free(struct program *p)
{
	struct reservation *w, *next;

	cds_list_for_each_entry_safe (w, next, &p->reservations, node)
		free(w);
	mu_timer_clear(p->accounts->loop, &p->return_timer);
	mu_timer_clear(p->accounts->loop, &p->deadline_timer);
	mu_hmap_del(&p->accounts->programs, &p->node);
	cds_list_del(&p->all);
	free(p);
}

/* Frees an idle program.  Its row is removed as well, unless another daemon
 * has drawn from it since. */
static void
evict(struct program *p)
{
	if (p->ver != 0 && p->writer == p->accounts->conf.incarnation)
		mu_reaper_add(p->accounts->reaper, MU_ACCOUNT_TABLE,
		    mu_account_partition(p), p->id, p->ver,
		    IDLE_PROGRAM_TTL_US);
	program_free(p);
}

/* A turn whose daemon died is never settled.  It keeps its program longer, but
 * not forever. */
static bool
is_idle(struct program *p, mu_us now)
{
	mu_us unused = now - p->used_at;

	if (p->request_in_flight || !cds_list_empty(&p->waiters))
		return false;
	return unused > (cds_list_empty(&p->reservations) ? IDLE_PROGRAM_TTL_US
							  : UNSETTLED_TTL_US);
}

static void
on_sweep(void *arg)
{
	struct mu_accounts *a = arg;
	mu_us now = mu_loop_now(a->loop);
	struct program *p, *next;

	cds_list_for_each_entry_safe (p, next, &a->all, all)
		if (is_idle(p, now))
			evict(p);
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
	for (i = 0; i < MU_ACCOUNT_PARTITIONS; i++)
		(void)snprintf(
		    a->partition[i], sizeof(a->partition[i]), "b%u", i);
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

/* Budgets drawn by this daemon. */

static struct program *
find_program(struct mu_accounts *a, const char *id)
{
	struct mu_hnode *n = mu_hmap_find(&a->programs, id);

	return n != NULL ? MU_CONTAINER_OF(n, struct program, node) : NULL;
}

/* Schedules the failure of waiting turns at their deadlines. */
static void
schedule_deadline(struct program *p)
{
	mu_us earliest = MU_US_NEVER;
	struct reservation *w;

	cds_list_for_each_entry (w, &p->waiters, node)
		if (w->deadline < earliest)
			earliest = w->deadline;
	if (earliest != MU_US_NEVER)
		mu_timer_set(p->accounts->loop, &p->deadline_timer, earliest);
	else
		mu_timer_clear(p->accounts->loop, &p->deadline_timer);
}

/* A write without an answer may outlast the deadlines of waiting turns. */
static void
on_deadline(void *arg)
{
	struct program *p = arg;

	mu_account_fail_expired(p);
	schedule_deadline(p);
}

static struct program *
get_program(struct mu_accounts *a, const char *id, uint64_t budget)
{
	struct program *p = find_program(a, id);

	if (p == NULL) {
		p = calloc(1, sizeof(*p));
		if (p == NULL)
			abort();
		p->accounts = a;
		(void)snprintf(p->id, sizeof(p->id), "%s", id);
		p->node.key = p->id;
		CDS_INIT_LIST_HEAD(&p->waiters);
		CDS_INIT_LIST_HEAD(&p->reservations);
		p->return_timer.fn = mu_account_on_return_timer;
		p->return_timer.arg = p;
		p->deadline_timer.fn = on_deadline;
		p->deadline_timer.arg = p;
		mu_hmap_add(&a->programs, &p->node);
		cds_list_add(&p->all, &a->all);
	}
	p->ledger.budget = budget;
	p->used_at = mu_loop_now(a->loop);
	return p;
}

/* Removes a turn from its list and reports the outcome. */
static void
complete(struct reservation *w, enum mu_turn_start_status st)
{
	mu_turn_start_fn fn = w->fn;
	void *arg = w->arg;

	cds_list_del(&w->node);
	free(w);
	fn(arg, st);
}

/* Detaches the list first: a callback may add new waiters. */
void
mu_account_fail_waiters(struct program *p)
{
	struct reservation *w, *next;
	CDS_LIST_HEAD(failed);

	cds_list_splice(&p->waiters, &failed);
	CDS_INIT_LIST_HEAD(&p->waiters);
	cds_list_for_each_entry_safe (w, next, &failed, node)
		complete(w, MU_START_UNAVAILABLE);
}

void
mu_account_fail_expired(struct program *p)
{
	mu_us now = mu_loop_now(p->accounts->loop);
	struct reservation *w, *next;
	CDS_LIST_HEAD(expired);

	cds_list_for_each_entry_safe (w, next, &p->waiters, node)
		if (w->deadline <= now) {
			cds_list_del(&w->node);
			cds_list_add_tail(&w->node, &expired);
		}
	cds_list_for_each_entry_safe (w, next, &expired, node)
		complete(w, MU_START_UNAVAILABLE);
}

/* Reports a reservation, which stays until it is settled. */
static void
complete_reserved(struct program *p, struct reservation *w)
{
	cds_list_del(&w->node);
	cds_list_add(&w->node, &p->reservations);
	w->fn(w->arg, MU_START_OK);
}

/* Whether another live daemon has drawn from the budget and may return some of
 * it. */
static bool
others_may_return(const struct program *p)
{
	struct mu_accounts_conf *c = &p->accounts->conf;

	return mu_ledger_others_drew(&p->ledger) &&
	       p->writer != c->incarnation && c->alive(c->arg, p->writer);
}

static struct reservation *
first_waiter(struct program *p)
{
	return cds_list_empty(&p->waiters) ? NULL
					   : cds_list_first_entry(&p->waiters,
						 struct reservation, node);
}

static void
on_loan(void *arg, const struct mu_loan *loan)
{
	struct program *p = arg;

	p->request_in_flight = false;
	if (!loan->given)
		p->guarantor_refused =
		    p->loan_amount > 0 ? MU_REFUSED_LOAN : MU_REFUSED_RELEASE;
	else if (p->loan_amount > 0)
		mu_ledger_borrowed(&p->ledger, p->loan_amount);
	else
		mu_ledger_released(&p->ledger, loan->lent);
	mu_log(MU_LOG_INFO, "home", "guarantor_asked", "{s:s,s:I,s:b,s:I}",
	    "program", mu_scope_plain(p->id), "amount",
	    (json_int_t)p->loan_amount, "given", loan->given, "lent",
	    (json_int_t)loan->lent);
	mu_account_serve(p);
}

static void
request_loan(
    struct program *p, uint64_t max_tokens, uint64_t amount, mu_us deadline)
{
	struct mu_accounts_conf *c = &p->accounts->conf;
	struct mu_loan_request q = {
	    p->id, p->ledger.budget, max_tokens, amount, deadline};

	p->request_in_flight = true;
	p->loan_amount = amount;
	c->request_loan(c->arg, &q, on_loan, p);
}

/* Whether the row's partition is unavailable. */
static bool
row_unavailable(const struct program *p)
{
	struct mu_store *s = p->accounts->store;

	return mu_store_unavailable(s) ||
	       mu_store_partition_unavailable(
		   s, MU_ACCOUNT_TABLE, mu_account_partition(p)) ||
	       mu_store_partition_suspect(
		   s, MU_ACCOUNT_TABLE, mu_account_partition(p));
}

/* Whether the row is unavailable and the guarantor may still lend. */
static bool
may_borrow(const struct program *p)
{
	return p->guarantor_refused == MU_REFUSED_NOTHING &&
	       !p->ledger.released && row_unavailable(p);
}

/*
 * Nothing can be drawn or borrowed: the first waiting turn gets all tokens
 * left at this daemon and is cut off when it uses them up.  Most turns use far
 * less than their maximum.
 */
static bool
reserve_remainder(struct program *p, struct reservation *w)
{
	uint64_t rest;

	if ((p->guarantor_refused == MU_REFUSED_NOTHING &&
		!p->ledger.released) ||
	    !row_unavailable(p))
		return false;
	rest = mu_ledger_reserve_rest(
	    &p->ledger, w->tokens / MIN_REMAINDER_DIVISOR);
	if (rest == 0)
		return false;
	mu_log(MU_LOG_INFO, "home", "reserved_short", "{s:s,s:s,s:I,s:I}",
	    "program", mu_scope_plain(p->id), "request",
	    mu_scope_plain(w->turn), "tokens", (json_int_t)rest, "most",
	    (json_int_t)w->tokens);
	w->tokens = rest;
	p->guarantor_refused = MU_REFUSED_NOTHING;
	complete_reserved(p, w);
	return true;
}

static void
handle_exhausted(struct program *p, struct reservation *w)
{
	if (p->unresolved.number != 0) {
		mu_account_draw(p, 0, w->deadline);
		return;
	}
	if (!p->row_current && mu_ledger_others_drew(&p->ledger)) {
		mu_account_reread(p, w->deadline);
		return;
	}
	mu_log(MU_LOG_INFO, "home", "budget_exhausted",
	    "{s:s,s:I,s:I,s:I,s:I,s:I,s:b}", "program", mu_scope_plain(p->id),
	    "budget", (json_int_t)p->ledger.budget, "granted",
	    (json_int_t)p->ledger.granted, "spent_here",
	    (json_int_t)p->ledger.spent, "reserved_here",
	    (json_int_t)p->ledger.reserved, "most", (json_int_t)w->tokens,
	    "released", p->ledger.released);
	p->guarantor_refused = MU_REFUSED_NOTHING;
	complete(w, others_may_return(p) ? MU_START_UNAVAILABLE
					 : MU_START_BUDGET_EXHAUSTED);
}

void
mu_account_serve(struct program *p)
{
	struct mu_ledger_decision a;
	struct reservation *w;

	while (!p->request_in_flight && (w = first_waiter(p)) != NULL) {
		a = mu_ledger_reserve(&p->ledger, w->tokens);
		switch (a.action) {
		case MU_LEDGER_RESERVED:
			p->guarantor_refused = MU_REFUSED_NOTHING;
			complete_reserved(p, w);
			break;
		case MU_LEDGER_DRAW:
			if (may_borrow(p))
				request_loan(
				    p, w->tokens, a.shortfall, w->deadline);
			else if (!reserve_remainder(p, w))
				mu_account_draw(p, a.draw, w->deadline);
			break;
		case MU_LEDGER_RELEASE:
			if (may_borrow(p))
				request_loan(
				    p, w->tokens, a.shortfall, w->deadline);
			else if (reserve_remainder(p, w))
				break;
			else if (p->guarantor_refused != MU_REFUSED_RELEASE)
				request_loan(p, w->tokens, 0, w->deadline);
			else
				handle_exhausted(p, w);
			break;
		case MU_LEDGER_EXHAUSTED:
			handle_exhausted(p, w);
			break;
		}
	}
	if (p->request_in_flight)
		return;
	p->row_current = false;
	mu_account_schedule_return(p);
}

void
mu_accounts_reserve(struct mu_accounts *a, const struct mu_reserve_request *r,
    mu_turn_start_fn fn, void *arg)
{
	struct program *p = find_program(a, r->program);
	struct reservation *w;

	if (r->started_only && (p == NULL || !p->started)) {
		fn(arg, MU_START_NEW_PROGRAM);
		return;
	}
	p = get_program(a, r->program, r->budget);
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		abort();
	(void)snprintf(w->turn, sizeof(w->turn), "%s", r->turn);
	w->tokens = r->max_tokens;
	w->deadline = r->deadline;
	w->fn = fn;
	w->arg = arg;
	cds_list_add_tail(&w->node, &p->waiters);
	mu_account_serve(p);
	schedule_deadline(p);
}

static struct reservation *
find_reservation(struct cds_list_head *list, const char *turn)
{
	struct reservation *w;

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
	struct reservation *w =
	    p != NULL ? find_reservation(&p->reservations, turn) : NULL;

	return w != NULL ? w->tokens : 0;
}

bool
mu_accounts_first_turn(struct mu_accounts *a, const char *program)
{
	struct program *p = find_program(a, program);
	bool first = p != NULL && !p->seen;

	if (p != NULL)
		p->seen = true;
	return first;
}

void
mu_accounts_settle(
    struct mu_accounts *a, const char *program, const char *turn, uint64_t used)
{
	struct program *p = find_program(a, program);
	struct reservation *w;

	if (p == NULL)
		return;
	p->used_at = mu_loop_now(a->loop);
	if (used > 0)
		p->started = true;
	w = find_reservation(&p->reservations, turn);
	if (w == NULL) {
		w = find_reservation(&p->waiters, turn);
		if (w != NULL)
			complete(w, MU_START_UNAVAILABLE);
		return;
	}
	mu_ledger_settle(&p->ledger, w->tokens, used);
	cds_list_del(&w->node);
	free(w);
	if (!p->request_in_flight)
		mu_account_serve(p);
}

void
mu_accounts_drain(struct mu_accounts *a)
{
	struct program *p;

	a->leaving = true;
	cds_list_for_each_entry (p, &a->all, all)
		if (!p->request_in_flight)
			mu_account_schedule_return(p);
}

static bool
settled(struct program *p)
{
	return !p->request_in_flight && cds_list_empty(&p->waiters) &&
	       cds_list_empty(&p->reservations) && p->unresolved.number == 0 &&
	       mu_ledger_returnable(&p->ledger, true) == 0;
}

bool
mu_accounts_settled(const struct mu_accounts *a)
{
	struct program *p;

	cds_list_for_each_entry (p, &a->all, all)
		if (!settled(p))
			return false;
	return true;
}

static struct cached_segment *
find_segment(struct program *p, const char *segment)
{
	unsigned i;

	for (i = 0; i < MU_ACCOUNT_SEGMENTS; i++)
		if (strcmp(p->cached[i].segment, segment) == 0)
			return &p->cached[i];
	return NULL;
}

void
mu_accounts_set_cached(struct mu_accounts *a, const char *program,
    const char *segment, const struct mu_cache_location *where)
{
	struct program *p = find_program(a, program);
	struct cached_segment *q;

	if (p == NULL || *segment == '\0' ||
	    strlen(segment) >= MU_ACCOUNT_SEGMENT_LEN)
		return;
	q = find_segment(p, segment);
	if (q == NULL)
		q = &p->cached[p->next_cached++ % MU_ACCOUNT_SEGMENTS];
	(void)snprintf(q->segment, sizeof(q->segment), "%s", segment);
	q->location = *where;
}

void
mu_accounts_find_cached(struct mu_accounts *a, const char *program,
    char *const *segments, size_t n, struct mu_cache_location *out)
{
	struct program *p = find_program(a, program);
	struct cached_segment *q;
	size_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; p != NULL && i < n; i++) {
		q = *segments[i] != '\0' ? find_segment(p, segments[i]) : NULL;
		if (q != NULL) {
			*out = q->location;
			return;
		}
	}
}
