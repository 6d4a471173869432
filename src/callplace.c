/*
 * callplace.c -- placement of calls, and the queue of calls without capacity.
 *
 * Builds the candidate endpoints of a call, lets choose.c decide, and keeps the
 * queued calls in the order defined there.  The queue is rechecked whenever a
 * request of this daemon ends, and periodically, since requests of other
 * daemons free capacity too.  A call that can no longer be served in time is
 * rejected at that recheck instead of at its deadline.
 */
#include <stdio.h>
#include <string.h>

#include "call_private.h"

/* Bounds the delay until capacity freed by other daemons is used.  A fraction
 * of a typical call. */
#define RECHECK_INTERVAL_US (20 * MU_US_PER_MS)
#define LATE_RETRY_AFTER_MS 250 /* some slots become free meanwhile */
/* Prefill time of a prompt token at a typical model endpoint. */
#define TOKEN_PREFILL_US 6

static bool try_place(struct mu_call *c, bool queued);
static void schedule_recheck(struct mu_serve *s, struct mu_group *g);

static bool
contains_name(char (*names)[MU_NAME_LEN], unsigned n, const char *name)
{
	unsigned i;

	for (i = 0; i < n; i++)
		if (strcmp(names[i], name) == 0)
			return true;
	return false;
}

static bool
was_tried(struct mu_call *c, const char *name)
{
	return contains_name(c->excluded, c->nexcluded, name);
}

static bool
was_aborted_by(struct mu_call *c, const char *name)
{
	return contains_name(c->aborted_at, c->naborted, name);
}

/* Sets the number of prompt tokens that each endpoint has not cached. */
static void
count_prefill_tokens(const struct mu_call *c, struct mu_candidate *cand,
    struct mu_target *const *targets, uint32_t n)
{
	const struct mu_cache_location *cached = &c->grant.cached;
	uint64_t cached_tokens;
	uint32_t i;

	for (i = 0; i < n; i++) {
		cached_tokens = 0;
		if (strcmp(targets[i]->info.name, cached->endpoint) == 0)
			cached_tokens = cached->held;
		cand[i].prefill_tokens =
		    cached_tokens < c->req.prompt_tokens
			? (uint32_t)(c->req.prompt_tokens - cached_tokens)
			: 0;
	}
}

/* Excludes endpoints that aborted this call, unless no other one is usable.  An
 * endpoint that fails fast has free capacity and would attract every retry. */
static void
skip_aborters(struct mu_call *c, struct mu_candidate *cand,
    struct mu_target *const *targets, uint32_t n)
{
	bool other_usable = false;
	uint32_t i;

	for (i = 0; i < n; i++)
		other_usable |=
		    cand[i].usable && !was_aborted_by(c, targets[i]->info.name);
	for (i = 0; other_usable && i < n; i++)
		if (was_aborted_by(c, targets[i]->info.name))
			cand[i].usable = false;
}

/* Clears `usable` for endpoints that this call must not be sent to.  If it has
 * to be resent to one endpoint and that one has not refused it, only that one
 * is left, regardless of its load. */
static void
restrict_candidates(struct mu_call *c, struct mu_candidate *cand,
    struct mu_target *const *targets, uint32_t n)
{
	bool same_listed = false;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (was_tried(c, targets[i]->info.name))
			cand[i].usable = false;
		if (c->retry_same_endpoint &&
		    strcmp(targets[i]->info.name, c->last_endpoint) == 0)
			same_listed = true;
	}
	if (!same_listed) {
		skip_aborters(c, cand, targets, n);
		return;
	}
	for (i = 0; i < n; i++)
		if (strcmp(targets[i]->info.name, c->last_endpoint) == 0) {
			cand[i].usable = !was_tried(c, c->last_endpoint);
			cand[i].sent = 0;
			cand[i].others = 0;
		} else if (!was_tried(c, c->last_endpoint)) {
			cand[i].usable = false;
		}
}

static void
fill_demand(const struct mu_call *c, struct mu_demand *d)
{
	mu_us now = mu_loop_now(c->s->loop);

	d->call_time = c->group->call_time;
	d->token_prefill_time = TOKEN_PREFILL_US;
	d->time_left = c->deadline - now;
	d->non_idempotent = !mu_call_retryable(c);
}

/* Rejects queued calls that can no longer be served in time. */
static void
reject_late(struct mu_serve *s, struct mu_group *g)
{
	struct mu_call *c, *next;
	mu_us now = mu_loop_now(s->loop);

	cds_list_for_each_entry_safe (c, next, &g->waiting, node)
		if (c->deadline - now < g->call_time)
			mu_call_fail(c, LATE_RETRY_AFTER_MS, "overloaded");
}

static void
on_recheck(void *arg)
{
	struct mu_group *g = arg;
	struct mu_call *c;
	struct mu_serve *s;

	if (cds_list_empty(&g->waiting))
		return;
	c = cds_list_first_entry(&g->waiting, struct mu_call, node);
	s = c->s;
	reject_late(s, g);
	mu_call_retry_waiting(s, g);
	if (!cds_list_empty(&g->waiting))
		schedule_recheck(s, g);
}

static void
schedule_recheck(struct mu_serve *s, struct mu_group *g)
{
	g->recheck.fn = on_recheck;
	g->recheck.arg = g;
	mu_timer_set(
	    s->loop, &g->recheck, mu_loop_now(s->loop) + RECHECK_INTERVAL_US);
}

static void
enqueue(struct mu_call *c)
{
	struct mu_call *w;

	c->state = ST_QUEUED;
	c->group->nwaiting++;
	if (c->group->recheck.slot == 0)
		schedule_recheck(c->s, c->group);
	cds_list_for_each_entry (w, &c->group->waiting, node)
		if (mu_queue_rank_before(&c->queue_rank, &w->queue_rank)) {
			cds_list_add_tail(&c->node, &w->node);
			return;
		}
	cds_list_add_tail(&c->node, &c->group->waiting);
}

/* The key was taken away while the request was queued or being prepared. */
static void
refuse_revoked(struct mu_call *c)
{
	if (c->possible_runs == 0)
		mu_call_end_with_error(c, 401, 0, "key_revoked");
	else
		mu_call_end_with_error(c, 502, 0, "key_revoked");
}

/* Sends, queues or rejects the call; a call that is queued already stays so.
 * Returns true when it was sent or given up after its last try. */
static bool
try_place(struct mu_call *c, bool queued)
{
	struct mu_candidate cand[MU_CHOOSE_MAX];
	struct mu_target *targets[MU_CHOOSE_MAX];
	struct mu_choice choice;
	struct mu_demand d;
	uint32_t n;

	for (;;) {
		n = mu_group_view(&c->s->targets, c->group, cand, targets);
		restrict_candidates(c, cand, targets, n);
		count_prefill_tokens(c, cand, targets, n);
		fill_demand(c, &d);
		choice = mu_choose(cand, n, &d, &c->s->targets.rng);
		if (choice.kind != MU_CHOICE_SEND)
			break;
		if (queued) {
			cds_list_del(&c->node);
			c->group->nwaiting--;
			queued = false;
			c->state = ST_PREPARING;
		}
		if (!mu_call_key_valid(c)) {
			refuse_revoked(c);
			return true;
		}
		if (mu_call_refuse_crashing(c))
			return true;
		if (mu_attempt_send(c, targets[choice.index]))
			return true;
		mu_call_exclude_endpoint(c, targets[choice.index]->info.name);
		if (c->nexcluded == MU_CALL_MAX_ATTEMPTS) {
			mu_call_fail(
			    c, MU_CALL_RETRY_AFTER_MS, "no_connection");
			return true;
		}
	}
	if (queued)
		return false;
	if (choice.kind == MU_CHOICE_QUEUE)
		choice = mu_choose_queue(cand, n, &d, c->group->nwaiting);
	if (choice.kind == MU_CHOICE_REJECT)
		mu_call_fail(c, choice.retry_after_ms,
		    choice.no_endpoint ? "no_endpoint" : "overloaded");
	else
		enqueue(c);
	return false;
}

void
mu_call_dispatch(struct mu_call *c)
{
	(void)try_place(c, false);
}

/* Sends queued calls in order while there is capacity. */
void
mu_call_retry_waiting(struct mu_serve *s, struct mu_group *g)
{
	struct mu_call *c;

	if (g->retrying)
		return;
	g->retrying = true;
	while (!cds_list_empty(&g->waiting)) {
		c = cds_list_first_entry(&g->waiting, struct mu_call, node);
		if (c->s != s || !try_place(c, true))
			break;
	}
	g->retrying = false;
}
