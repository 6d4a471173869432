/*
 * ends.c -- endpoints of one service as copied for one decision.
 *
 * The board's figures are copied once under RCU, so that a decision sees one
 * state.  What a call must not use is then taken out of service in the copy
 * alone; the place decision knows nothing of retries and trials.
 */
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "ends.h"
#include "quarantine.h"

/* Sends and ends since the moment that the report describes. */
static void
view_since(struct mu_endview *v, const struct mu_bd_endpoint *b, mu_us report)
{
	const struct mu_bd_sent_call *s;
	unsigned i;

	for (i = 0; i < MU_BD_RECENT_CALLS; i++) {
		s = &b->recent[i];
		if (s->at > report) {
			v->sent_since++;
			v->sent_tokens += s->tokens;
		}
		if (s->done > report && s->done != 0)
			v->done_since++;
	}
}

static enum mu_endstate
end_state(struct mu_bd_endpoint *b, mu_us now)
{
	if (MU_ATOMIC_LOAD(b->leaving) || !MU_ATOMIC_LOAD(b->listed))
		return MU_END_LEAVING;
	if (MU_ATOMIC_LOAD(b->drained))
		return MU_END_DRAINED;
	if (mu_health_state(&mu_eject_conf_default, &b->health, now) ==
	    MU_HEALTH_EJECTED)
		return MU_END_EJECTED;
	return MU_END_LIVE;
}

static void
view_endpoint(struct mu_endview *v, struct mu_bd_endpoint *b, mu_us now)
{
	mu_us report = MU_ATOMIC_LOAD(b->report_at);

	memset(v, 0, sizeof(*v));
	v->id = b->id;
	v->domain = (uint32_t)XXH3_64bits(b->domain, strlen(b->domain));
	v->state = end_state(b, now);
	v->report_age = report != 0 ? now - report : MU_US_NEVER;
	v->running = MU_ATOMIC_LOAD(b->running);
	v->queued = MU_ATOMIC_LOAD(b->queued);
	v->max_batch = MU_ATOMIC_LOAD(b->max_batch);
	v->cache_used = MU_ATOMIC_LOAD(b->cache_used);
	v->cache_max = MU_ATOMIC_LOAD(b->cache_max);
	v->sent = b->sent;
	v->call_us = b->call_us;
	v->prefill_us = b->prefill_us;
	v->slow = 1.0;
	view_since(v, b, report);
}

void
mu_ends_fill(struct mu_ends *ends, struct mu_board *board,
    const struct mu_clock *clock, const char *host, const char *service)
{
	mu_us now = mu_now(clock);
	struct mu_bd_fleet *f;
	size_t i;

	ends->count = 0;
	ends->daemons = 0;
	ends->rank = 0;
	rcu_read_lock();
	f = rcu_dereference(board->fleet);
	for (i = 0; f != NULL && i < f->nendpoints; i++) {
		if (strcmp(f->endpoints[i]->service, service) != 0 ||
		    ends->count == MU_ENDS_MAX)
			continue;
		ends->endpoint[ends->count] = f->endpoints[i];
		view_endpoint(&ends->view[ends->count++], f->endpoints[i], now);
	}
	for (i = 0; f != NULL && i < f->ndaemons; i++) {
		if (!f->daemons[i].up || f->daemons[i].leaving)
			continue;
		ends->daemons++;
		if (strcmp(f->daemons[i].host, host) < 0)
			ends->rank++;
	}
	rcu_read_unlock();
	if (ends->daemons == 0)
		ends->daemons = 1;
}

static int
compare_double(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

void
mu_ends_slow(struct mu_ends *ends)
{
	double sorted[MU_ENDS_MAX];
	uint32_t i, n = 0;

	for (i = 0; i < ends->count; i++)
		if (ends->view[i].call_us > 0.0)
			sorted[n++] = ends->view[i].call_us;
	if (n < 2)
		return;
	qsort(sorted, n, sizeof(sorted[0]), compare_double);
	for (i = 0; i < ends->count; i++)
		if (ends->view[i].call_us > 0.0)
			ends->view[i].slow =
			    ends->view[i].call_us / sorted[n / 2];
}

void
mu_ends_avoid(struct mu_ends *ends, const struct mu_ask *ask)
{
	bool avoid[MU_ENDS_MAX] = {false};
	uint32_t i, others = 0;
	unsigned k;

	for (i = 0; i < ends->count; i++) {
		for (k = 0; k < ask->ntried; k++)
			if (strcmp(ends->endpoint[i]->addr, ask->tried[k]) == 0)
				avoid[i] = true;
		if (!avoid[i] && ends->view[i].state == MU_END_LIVE)
			others++;
	}
	for (i = 0; others > 0 && i < ends->count; i++)
		if (avoid[i] && ends->view[i].state == MU_END_LIVE)
			ends->view[i].state = MU_END_EJECTED;
}

static bool
has_trial(const struct mu_bd_endpoint *const busy[], uint32_t nbusy,
    const struct mu_bd_endpoint *b)
{
	uint32_t i;

	for (i = 0; i < nbusy; i++)
		if (busy[i] == b)
			return true;
	return false;
}

uint32_t
mu_ends_trial(struct mu_ends *ends, const struct mu_bd_endpoint *const busy[],
    uint32_t nbusy)
{
	bool own[MU_ENDS_MAX];
	uint32_t i, live = 0, left = 0;

	for (i = 0; i < ends->count; i++) {
		own[i] = mu_quar_trial_allowed(
		    ends->rank, ends->daemons, i, ends->count);
		if (own[i] && ends->view[i].state == MU_END_LIVE)
			live++;
	}
	for (i = 0; i < ends->count; i++) {
		if ((live > 0 && !own[i]) ||
		    has_trial(busy, nbusy, ends->endpoint[i]))
			ends->view[i].state = MU_END_EJECTED;
		if (ends->view[i].state == MU_END_LIVE)
			left++;
	}
	return left;
}
