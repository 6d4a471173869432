/*
 * view.c -- a daemon's delayed view of the engines.
 *
 * Every REPORT_INTERVAL_US the state of each engine is recorded together with
 * each daemon's totals of calls and tokens sent.  A daemon sees the newest
 * report that is at least report_lag_s old.
 */
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define STEP_SMOOTHING 0.2 /* per report interval */
/* An older step time is discarded; the engine then counts as normal. */
#define STEP_SAMPLE_MAX_AGE_US (60 * MU_US_PER_S)

static const struct report *
visible_report(const struct sim *s, uint32_t engine)
{
	mu_us lag = SECONDS_TO_US(s->conf.workload->engine.report_lag_s);
	uint32_t back =
	    (uint32_t)((lag + REPORT_INTERVAL_US - 1) / REPORT_INTERVAL_US);
	uint32_t tick = s->reports_frozen ? s->frozen_at_tick : s->tick;

	if (back > REPORT_HISTORY / 2)
		back = REPORT_HISTORY / 2;
	if (tick < back)
		return NULL;
	return &s->reports[engine][(tick - back) % REPORT_HISTORY];
}

/* Median step time of the engines with a recent sample from d. */
static double
median_step(const struct sim *s, const struct daemon *d)
{
	double x[ENGINES_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->nengines; i++) {
		double v = d->engine_stats[i].step_us;
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
fill_endpoint_view(const struct sim *s, const struct daemon *d, uint32_t i,
    double median, struct mu_endpoint_view *v)
{
	const struct engine_conf *c = &s->conf.workload->engine;
	const struct engine_stats *st = &d->engine_stats[i];
	const struct report *r = visible_report(s, i);

	*v = (struct mu_endpoint_view){.id = i + 1, .state = MU_ENDPOINT_LIVE};
	v->domain = i % s->conf.workload->domains;
	v->max_batch = c->max_batch;
	v->cache_max = c->cache_tokens;
	v->own_in_flight = st->in_flight;
	v->own_tokens = st->own_tokens;
	v->prefill_us = 1e6 / c->prefill_tokens_per_s;
	v->call_us = d->call_us;
	v->latency_ratio =
	    st->step_us > 0 && median > 0 ? st->step_us / median : 1;
	v->report_age = MU_US_NEVER;
	if (st->ejected_until > s->now)
		v->state = MU_ENDPOINT_EJECTED;
	if (r == NULL)
		return;
	v->report_age = s->now - r->at;
	v->running = r->running;
	v->queued = r->queued;
	v->cache_used = r->cache_used;
	v->sent_since = (uint32_t)(st->sent_total - r->sent_total[d->index]);
	v->done_since =
	    (uint32_t)(st->completed_total - r->completed_total[d->index]);
	v->sent_tokens = st->tokens_total - r->tokens_total[d->index];
	if (!r->alive)
		v->state = MU_ENDPOINT_EJECTED;
}

void
view_fill(struct sim *s, struct daemon *d, struct mu_endpoint_view *ends)
{
	double median = median_step(s, d);

	for (uint32_t i = 0; i < s->nengines; i++)
		fill_endpoint_view(s, d, i, median, &ends[i]);
}

static void
record_report(struct sim *s, struct engine *e)
{
	struct report *r = &s->reports[e->index][s->tick % REPORT_HISTORY];

	r->at = s->now;
	r->alive = e->alive;
	r->running = e->nbatch;
	r->queued = e->nqueue;
	r->cache_used = e->cache_used;
	for (uint32_t i = 0; i < s->conf.workload->daemons; i++) {
		const struct engine_stats *st =
		    &s->daemons[i].engine_stats[e->index];

		r->sent_total[i] = st->sent_total;
		r->completed_total[i] = st->completed_total;
		r->tokens_total[i] = st->tokens_total;
	}
}

/* Samples the step time if the daemon has a stream from the engine. */
static void
sample_step_time(struct sim *s, struct engine_stats *st, const struct engine *e)
{
	if (st->in_flight > 0 && e->steps > 0) {
		if (st->step_us <= 0)
			st->step_us = (double)e->step_us;
		st->step_us +=
		    STEP_SMOOTHING * ((double)e->step_us - st->step_us);
		st->step_sampled_at = s->now;
	} else if (s->now - st->step_sampled_at > STEP_SAMPLE_MAX_AGE_US) {
		st->step_us = 0;
	}
}

void
view_record_reports(struct sim *s)
{
	s->tick++;
	for (uint32_t i = 0; i < s->nengines; i++) {
		record_report(s, &s->engines[i]);
		for (uint32_t k = 0; k < s->conf.workload->daemons; k++)
			sample_step_time(
			    s, &s->daemons[k].engine_stats[i], &s->engines[i]);
	}
}
