/*
 * view.c -- what a daemon believes of the engines.
 *
 * Every TICK_US each engine's state is recorded with the sums that the daemons
 * had sent by then; a daemon sees the newest record older than the lag.
 */
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define STEP_SMOOTH 0.2 /* a tick */
#define STEP_FORGET_US (60 * MU_US_PER_S) /* unseen pace counts as normal */

static const struct report *
visible(const struct sim *s, uint32_t engine)
{
	mu_us lag = US(s->conf.work->engine.report_lag_s);
	uint32_t back = (uint32_t)((lag + TICK_US - 1) / TICK_US);
	uint32_t tick = s->frozen ? s->frozen_tick : s->tick;

	if (back > TICKS / 2)
		back = TICKS / 2;
	if (tick < back)
		return NULL;
	return &s->reports[engine][(tick - back) % TICKS];
}

/* Median pace of the engines that d has seen lately. */
static double
median_step(const struct sim *s, const struct daemon *d)
{
	double x[ENGINES_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->nengines; i++) {
		double v = d->beliefs[i].step_us;
		uint32_t k = n;

		if (v <= 0)
			continue;
		for (; k > 0 && x[k - 1] > v; k--)
			x[k] = x[k - 1];
		x[k] = v;
		n++;
	}
	return n > 0 ? x[n / 2] : 0;
}

static void
fill_one(const struct sim *s, const struct daemon *d, uint32_t i, double median,
    struct mu_endpoint_view *v)
{
	const struct engine_conf *c = &s->conf.work->engine;
	const struct belief *b = &d->beliefs[i];
	const struct report *r = visible(s, i);

	*v = (struct mu_endpoint_view){.id = i + 1, .state = MU_ENDPOINT_LIVE};
	v->domain = i % s->conf.work->domains;
	v->max_batch = c->max_batch;
	v->cache_max = c->cache_tokens;
	v->own_in_flight = b->sent;
	v->own_tokens = b->own_tokens;
	v->prefill_us = 1e6 / c->prefill_tokens_per_s;
	v->call_us = d->call_us;
	v->latency_ratio =
	    b->step_us > 0 && median > 0 ? b->step_us / median : 1;
	v->report_age = MU_US_NEVER;
	if (b->ejected_until > s->now)
		v->state = MU_ENDPOINT_EJECTED;
	if (r == NULL)
		return;
	v->report_age = s->now - r->at;
	v->running = r->running;
	v->queued = r->queued;
	v->cache_used = r->cache_used;
	v->sent_since = (uint32_t)(b->sent_total - r->sent[d->index]);
	v->done_since = (uint32_t)(b->done_total - r->done[d->index]);
	v->sent_tokens = b->tokens_total - r->tokens[d->index];
	if (!r->alive)
		v->state = MU_ENDPOINT_EJECTED;
}

void
view_fill(struct sim *s, struct daemon *d, struct mu_endpoint_view *ends)
{
	double median = median_step(s, d);

	for (uint32_t i = 0; i < s->nengines; i++)
		fill_one(s, d, i, median, &ends[i]);
}

static void
record(struct sim *s, struct engine *e)
{
	struct report *r = &s->reports[e->index][s->tick % TICKS];

	r->at = s->now;
	r->alive = e->alive;
	r->running = e->nbatch;
	r->queued = e->nqueue;
	r->cache_used = e->cache_used;
	for (uint32_t i = 0; i < s->conf.work->daemons; i++) {
		const struct belief *b = &s->daemons[i].beliefs[e->index];

		r->sent[i] = b->sent_total;
		r->done[i] = b->done_total;
		r->tokens[i] = b->tokens_total;
	}
}

/* A daemon sees the pace of the streams that pass through it. */
static void
watch(struct sim *s, struct belief *b, const struct engine *e)
{
	if (b->sent > 0 && e->steps > 0) {
		if (b->step_us <= 0)
			b->step_us = (double)e->step_us;
		b->step_us += STEP_SMOOTH * ((double)e->step_us - b->step_us);
		b->step_seen_at = s->now;
	} else if (s->now - b->step_seen_at > STEP_FORGET_US) {
		b->step_us = 0;
	}
}

void
view_tick(struct sim *s)
{
	s->tick++;
	for (uint32_t i = 0; i < s->nengines; i++) {
		record(s, &s->engines[i]);
		for (uint32_t k = 0; k < s->conf.work->daemons; k++)
			watch(s, &s->daemons[k].beliefs[i], &s->engines[i]);
	}
}
