/*
 * report.c -- load reports with a configurable delay.
 *
 * The load is sampled into a ring, at an interval that makes the ring cover
 * twice report_lag_ms; a report returns the newest sample that is at least as
 * old as the lag.  Without a lag it returns the current load.
 */
#include <string.h>

#include "serve_private.h"

#define SAMPLE_INTERVAL_MS 5

/* Stores a sample if the interval for the current lag has passed. */
static void
sample_take(struct server *s)
{
	struct serve_load l;
	mu_us gap;

	memset(&l, 0, sizeof(l));
	s->get_load(&l);
	l.sampled_at = serve_now(s);
	pthread_mutex_lock(&s->lock);
	gap = s->fault.report_lag_ms * MU_US_PER_MS / (SERVE_SAMPLES / 2);
	if (s->nsample == 0 ||
	    l.sampled_at -
		    s->sample[(s->nsample - 1) % SERVE_SAMPLES].sampled_at >=
		gap)
		s->sample[s->nsample++ % SERVE_SAMPLES] = l;
	pthread_mutex_unlock(&s->lock);
}

void *
load_sample_loop(void *arg)
{
	for (;;) {
		sample_take(arg);
		serve_sleep_ms(SAMPLE_INTERVAL_MS);
	}
	return NULL;
}

/* The newest sample that is at least as old as the lag, else the oldest. */
static void
pick_sample(struct server *s, mu_us now, struct serve_load *l)
{
	mu_us lag = s->fault.report_lag_ms * MU_US_PER_MS;
	unsigned i, n;

	n = s->nsample < SERVE_SAMPLES ? s->nsample : SERVE_SAMPLES;
	for (i = 1; i <= n; i++) {
		*l = s->sample[(s->nsample - i) % SERVE_SAMPLES];
		if (now - l->sampled_at >= lag)
			break;
	}
}

void
serve_load_report(struct server *s, struct serve_answer *a)
{
	struct serve_load l;
	mu_us now;

	memset(&l, 0, sizeof(l));
	s->get_load(&l);
	now = l.sampled_at = serve_now(s);
	pthread_mutex_lock(&s->lock);
	if (s->fault.report_lag_ms > 0)
		pick_sample(s, now, &l);
	pthread_mutex_unlock(&s->lock);
	serve_json(a, 200,
	    json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "running",
		(json_int_t)l.running, "queued", (json_int_t)l.queued,
		"max_batch", (json_int_t)l.max_batch, "cache_used",
		(json_int_t)l.cache_used, "cache_max", (json_int_t)l.cache_max,
		"age_ms", (json_int_t)((now - l.sampled_at) / MU_US_PER_MS)));
}
