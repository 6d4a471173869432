/*
 * epviews.c -- views of a service's endpoints, for one decision.
 *
 * The board's values are copied once under RCU, so that a decision works on
 * one consistent state.  Endpoints that a call must not use are then marked as
 * ejected in this copy only, so mu_place() needs no knowledge of retries and
 * trials.
 */
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "epviews.h"
#include "quarantine.h"

/* Counts the calls sent and ended since the time that the report describes. */
static void
count_since_report(
    struct mu_endpoint_view *v, const struct mu_bd_endpoint *b, mu_us report)
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

static enum mu_endpoint_state
endpoint_state(struct mu_bd_endpoint *b, mu_us now)
{
	if (MU_ATOMIC_LOAD(b->leaving) || !MU_ATOMIC_LOAD(b->listed))
		return MU_ENDPOINT_LEAVING;
	if (MU_ATOMIC_LOAD(b->drained))
		return MU_ENDPOINT_DRAINED;
	if (mu_health_state(&mu_eject_conf_default, &b->health, now) ==
	    MU_HEALTH_EJECTED)
		return MU_ENDPOINT_EJECTED;
	return MU_ENDPOINT_LIVE;
}

static void
fill_view(struct mu_endpoint_view *v, struct mu_bd_endpoint *b, mu_us now)
{
	mu_us report = MU_ATOMIC_LOAD(b->report_at);

	memset(v, 0, sizeof(*v));
	v->id = b->id;
	v->domain = (uint32_t)XXH3_64bits(b->domain, strlen(b->domain));
	v->state = endpoint_state(b, now);
	v->report_age = report != 0 ? now - report : MU_US_NEVER;
	v->running = MU_ATOMIC_LOAD(b->running);
	v->queued = MU_ATOMIC_LOAD(b->queued);
	v->max_batch = MU_ATOMIC_LOAD(b->max_batch);
	v->cache_used = MU_ATOMIC_LOAD(b->cache_used);
	v->cache_max = MU_ATOMIC_LOAD(b->cache_max);
	v->own_in_flight = b->sent;
	v->call_us = b->call_us;
	v->prefill_us = b->prefill_us;
	v->latency_ratio = 1.0;
	count_since_report(v, b, report);
}

void
mu_epviews_fill(struct mu_epviews *views, struct mu_board *board,
    const struct mu_clock *clock, const char *host, const char *service)
{
	mu_us now = mu_now(clock);
	struct mu_bd_fleet *f;
	size_t i;

	views->count = 0;
	views->ndaemons = 0;
	views->daemon_rank = 0;
	rcu_read_lock();
	f = rcu_dereference(board->fleet);
	for (i = 0; f != NULL && i < f->nendpoints; i++) {
		if (strcmp(f->endpoints[i]->service, service) != 0 ||
		    views->count == MU_EPVIEWS_MAX)
			continue;
		views->endpoint[views->count] = f->endpoints[i];
		fill_view(&views->view[views->count++], f->endpoints[i], now);
	}
	for (i = 0; f != NULL && i < f->ndaemons; i++) {
		if (!f->daemons[i].up || f->daemons[i].leaving)
			continue;
		views->ndaemons++;
		if (strcmp(f->daemons[i].host, host) < 0)
			views->daemon_rank++;
	}
	rcu_read_unlock();
	if (views->ndaemons == 0)
		views->ndaemons = 1;
}

static int
compare_double(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

void
mu_epviews_set_latency_ratio(struct mu_epviews *views)
{
	double sorted[MU_EPVIEWS_MAX];
	uint32_t i, n = 0;

	for (i = 0; i < views->count; i++)
		if (views->view[i].call_us > 0.0)
			sorted[n++] = views->view[i].call_us;
	if (n < 2)
		return;
	qsort(sorted, n, sizeof(sorted[0]), compare_double);
	for (i = 0; i < views->count; i++)
		if (views->view[i].call_us > 0.0)
			views->view[i].latency_ratio =
			    views->view[i].call_us / sorted[n / 2];
}

void
mu_epviews_exclude(
    struct mu_epviews *views, const struct mu_dispatch_request *req)
{
	bool excluded[MU_EPVIEWS_MAX] = {false};
	uint32_t i, others = 0;
	unsigned k;

	for (i = 0; i < views->count; i++) {
		for (k = 0; k < req->nexcluded; k++)
			if (strcmp(views->endpoint[i]->addr,
				req->excluded[k]) == 0)
				excluded[i] = true;
		if (!excluded[i] && views->view[i].state == MU_ENDPOINT_LIVE)
			others++;
	}
	for (i = 0; others > 0 && i < views->count; i++)
		if (excluded[i] && views->view[i].state == MU_ENDPOINT_LIVE)
			views->view[i].state = MU_ENDPOINT_EJECTED;
}

static bool
is_in_trial(const struct mu_bd_endpoint *const in_trial[], uint32_t nin_trial,
    const struct mu_bd_endpoint *b)
{
	uint32_t i;

	for (i = 0; i < nin_trial; i++)
		if (in_trial[i] == b)
			return true;
	return false;
}

uint32_t
mu_epviews_keep_for_trial(struct mu_epviews *views,
    const struct mu_bd_endpoint *const in_trial[], uint32_t nin_trial)
{
	bool own[MU_EPVIEWS_MAX];
	uint32_t i, live = 0, available = 0;

	for (i = 0; i < views->count; i++) {
		own[i] = mu_quar_trial_allowed(
		    views->daemon_rank, views->ndaemons, i, views->count);
		if (own[i] && views->view[i].state == MU_ENDPOINT_LIVE)
			live++;
	}
	for (i = 0; i < views->count; i++) {
		if ((live > 0 && !own[i]) ||
		    is_in_trial(in_trial, nin_trial, views->endpoint[i]))
			views->view[i].state = MU_ENDPOINT_EJECTED;
		if (views->view[i].state == MU_ENDPOINT_LIVE)
			available++;
	}
	return available;
}
