/*
 * callplace.c -- where a call is sent, and the wait for a place.
 *
 * Builds the view of the service's endpoints for this call, asks choose.c, and
 * keeps the calls that wait in the order that choose.c gives.  They are looked
 * at again whenever a request of this daemon ends, and now and then, since
 * places also become free by what other daemons' requests end.  One that can
 * no longer be served in time is refused then and not at its deadline.
 */
#include <stdio.h>
#include <string.h>

#include "call_private.h"

#define LOOK_US (20 * MU_US_PER_MS) /* a part of a usual call */
#define RETRY_LATE_MS 250 /* some places become free meanwhile */
#define PREFILL_US 6 /* to read a prompt token, of a usual model endpoint */

static bool try_place(struct mu_call *c, bool queued);
static void look_later(struct mu_serve *s, struct mu_group *g);

static bool
is_among(char (*names)[MU_NAME_LEN], unsigned n, const char *name)
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
	return is_among(c->tried, c->ntried, name);
}

static bool
was_lost_at(struct mu_call *c, const char *name)
{
	return is_among(c->lost_at, c->nlost, name);
}

/* Prompt tokens that each endpoint would have to read. */
static void
count_missing(const struct mu_call *c, struct mu_candidate *cand,
    struct mu_target *const *who, uint32_t n)
{
	const struct mu_cached *at = &c->grant.cached;
	uint64_t have;
	uint32_t i;

	for (i = 0; i < n; i++) {
		have = 0;
		if (strcmp(who[i]->info.name, at->endpoint) == 0)
			have = at->held;
		cand[i].missing = have < c->req.prompt_tokens
				      ? (uint32_t)(c->req.prompt_tokens - have)
				      : 0;
	}
}

/* An endpoint that fails fast has places free, and would get each repetition of
 * a request again. */
static void
avoid_lost(struct mu_call *c, struct mu_candidate *cand,
    struct mu_target *const *who, uint32_t n)
{
	bool other = false;
	uint32_t i;

	for (i = 0; i < n; i++)
		other |= cand[i].usable && !was_lost_at(c, who[i]->info.name);
	for (i = 0; other && i < n; i++)
		if (was_lost_at(c, who[i]->info.name))
			cand[i].usable = false;
}

/* Leaves usable what this call may be sent to. */
static void
narrow(struct mu_call *c, struct mu_candidate *cand,
    struct mu_target *const *who, uint32_t n)
{
	bool there = false;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (was_tried(c, who[i]->info.name))
			cand[i].usable = false;
		if (c->resend_same && strcmp(who[i]->info.name, c->same) == 0)
			there = true;
	}
	if (!there) {
		avoid_lost(c, cand, who, n);
		return;
	}
	for (i = 0; i < n; i++)
		if (strcmp(who[i]->info.name, c->same) == 0) {
			cand[i].usable = !was_tried(c, c->same);
			cand[i].sent = 0;
			cand[i].others = 0;
		} else if (!was_tried(c, c->same)) {
			cand[i].usable = false;
		}
}

static void
demand(const struct mu_call *c, struct mu_demand *d)
{
	mu_us now = mu_loop_now(c->s->loop);

	d->call = c->group->call;
	d->token = PREFILL_US;
	d->left = c->deadline - now;
	d->once = !mu_call_repeatable(c);
}

/* Refuses those that wait and can no longer be served in time. */
static void
refuse_late(struct mu_serve *s, struct mu_group *g)
{
	struct mu_call *c, *next;
	mu_us now = mu_loop_now(s->loop);

	cds_list_for_each_entry_safe (c, next, &g->waiting, node)
		if (c->deadline - now < g->call)
			mu_call_give_up(c, RETRY_LATE_MS, "overloaded");
}

static void
on_look(void *arg)
{
	struct mu_group *g = arg;
	struct mu_call *c;
	struct mu_serve *s;

	if (cds_list_empty(&g->waiting))
		return;
	c = cds_list_first_entry(&g->waiting, struct mu_call, node);
	s = c->s;
	refuse_late(s, g);
	mu_call_retry_waiting(s, g);
	if (!cds_list_empty(&g->waiting))
		look_later(s, g);
}

static void
look_later(struct mu_serve *s, struct mu_group *g)
{
	g->look.fn = on_look;
	g->look.arg = g;
	mu_timer_set(s->loop, &g->look, mu_loop_now(s->loop) + LOOK_US);
}

static void
enqueue(struct mu_call *c)
{
	struct mu_call *w;

	c->state = ST_WAIT;
	c->group->nwaiting++;
	if (c->group->look.slot == 0)
		look_later(c->s, c->group);
	cds_list_for_each_entry (w, &c->group->waiting, node)
		if (mu_choose_before(&c->rank, &w->rank)) {
			cds_list_add_tail(&c->node, &w->node);
			return;
		}
	cds_list_add_tail(&c->node, &c->group->waiting);
}

/* Sends the call, lets it wait or refuses it; true when it was sent. */
static bool
try_place(struct mu_call *c, bool queued)
{
	struct mu_candidate cand[MU_CHOOSE_MAX];
	struct mu_target *who[MU_CHOOSE_MAX];
	struct mu_choice choice;
	struct mu_demand d;
	uint32_t n;

	for (;;) {
		n = mu_group_view(&c->s->targets, c->group, cand, who);
		narrow(c, cand, who, n);
		count_missing(c, cand, who, n);
		demand(c, &d);
		choice = mu_choose(cand, n, &d, &c->s->targets.rng);
		if (choice.kind != MU_CHOICE_SEND)
			break;
		if (queued) {
			cds_list_del(&c->node);
			c->group->nwaiting--;
			queued = false;
			c->state = ST_BEGIN;
		}
		if (mu_attempt_send(c, who[choice.index]))
			return true;
		mu_call_mark_tried(c, who[choice.index]->info.name);
		if (c->ntried == MU_CALL_TRIES) {
			mu_call_give_up(c, MU_CALL_RETRY_MS, "no_connection");
			return true;
		}
	}
	if (queued)
		return false;
	if (choice.kind == MU_CHOICE_WAIT)
		choice = mu_choose_wait(cand, n, &d, c->group->nwaiting);
	if (choice.kind == MU_CHOICE_REFUSE)
		mu_call_give_up(c, choice.retry_after_ms,
		    choice.none ? "no_endpoint" : "overloaded");
	else
		enqueue(c);
	return false;
}

void
mu_call_place(struct mu_call *c)
{
	(void)try_place(c, false);
}

/* A place may have become free: sends those that wait, in their order. */
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
