/*
 * retain.c -- keep, export or drop a prefix while its program is idle.
 *
 * Memory has a price that rises as the cache fills: keeping a prefix for t
 * seconds costs its share tokens / cache_max of t engine-seconds times that
 * price, and dropping it costs the probability of a return times the time to
 * recompute it.  A prefix is kept for the time with the greatest expected
 * saving, which ends once the pause has lasted so long that a return soon is
 * unlikely.  Pauses are modelled as log-normal, with the program's own pauses
 * weighted against those of its service.
 */
#include "retain.h"

#include <math.h>

#define DEFAULT_PAUSE_MEAN 2.0 /* ln seconds, before any pause is known */
#define DEFAULT_PAUSE_VAR 2.0
#define SERVICE_PAUSE_WEIGHT 2.0 /* counts as so many own pauses */
#define DEFAULT_PREFILL_US 125.0 /* per token */
#define DEFAULT_RETURN_RATE 0.9
#define VAR_MIN 0.05
#define SAMPLES_MAX 200 /* pauses after which old ones lose weight */
#define PAUSE_MIN_US 1000 /* shorter pauses count as this */
#define HORIZON_COUNT 12 /* candidate times to keep a prefix for */
#define FIRST_HORIZON_RATIO 0.05 /* over the median pause */
#define HORIZON_GROWTH 1.6
#define PRICE_RISE_RATIO 0.95 /* cache usage above which the price rises */
/* Prices are engine time per time of a full cache. */
#define FULL_CACHE_PRICE 0.4
#define KEEP_WHEN_FULL_PRICE 2.0 /* at which keep_when_full is decided */
/* Bounds of the current price, over FULL_CACHE_PRICE. */
#define PRICE_FACTOR_MIN 0.1 /* with free memory */
#define PRICE_FACTOR_MAX_HELD 0.25 /* for a prefix kept before */
#define RECHECK_INTERVAL_US (10 * MU_US_PER_S) /* as the price may change */

static const char *const reason_names[] = {
#define X(sym, name) name,
    MU_RETAIN_REASONS(X)
#undef X
};

const char *
mu_retain_reason_name(enum mu_retain_reason reason)
{
	return reason < MU_RETAIN_REASON_COUNT ? reason_names[reason] : "?";
}

void
mu_pause_sample(struct mu_pause_stats *p, mu_us pause)
{
	mu_us us = pause > PAUSE_MIN_US ? pause : PAUSE_MIN_US;
	double x = log((double)us / MU_US_PER_S);
	double d = x - p->mean;

	if (p->n < SAMPLES_MAX)
		p->n++;
	p->mean += d / p->n;
	p->var += (d * (x - p->mean) - p->var) / p->n;
}

static double
prefill_us_or_default(const struct mu_retain_view *v)
{
	return v->prefill_us > 0 ? v->prefill_us : DEFAULT_PREFILL_US;
}

static double
return_probability(const struct mu_retain_view *v)
{
	return v->return_rate > 0 ? v->return_rate : DEFAULT_RETURN_RATE;
}

/* Weighted average of the program's pauses and those of its service. */
static struct mu_pause_stats
estimate_pauses(const struct mu_retain_view *v)
{
	struct mu_pause_stats s = v->service;
	double n = v->program.n;
	double k = SERVICE_PAUSE_WEIGHT / (SERVICE_PAUSE_WEIGHT + n);

	if (s.n < 2) {
		s.mean = DEFAULT_PAUSE_MEAN;
		s.var = DEFAULT_PAUSE_VAR;
	}
	if (n > 0) {
		s.mean = k * s.mean + (1 - k) * v->program.mean;
		s.var = k * s.var + (1 - k) * v->program.var;
	}
	if (s.var < VAR_MIN)
		s.var = VAR_MIN;
	return s;
}

/* Probability that a pause ends within s seconds. */
static double
pause_cdf(const struct mu_pause_stats *p, double s)
{
	if (s <= 0)
		return 0;
	return 0.5 * erfc((p->mean - log(s)) / sqrt(2 * p->var));
}

static struct mu_retention
drop_prefix(enum mu_retain_reason reason)
{
	return (struct mu_retention){.kind = MU_RETAIN_DROP, .reason = reason};
}

static struct mu_retention
keep_prefix(enum mu_retain_reason reason, mu_us until)
{
	struct mu_retention k = {.kind = MU_RETAIN_KEEP, .reason = reason};

	k.u.keep.until = until;
	return k;
}

/*
 * Greatest expected saving, in microseconds of engine time, over the times to
 * keep the prefix, at a price of engine time per time of a full cache.  *until
 * is the idle time in seconds up to which to keep it and *cost the cost of the
 * memory until then.
 */
static double
best_horizon(const struct mu_retain_view *v, const struct mu_pause_stats *p,
    double price, double *until, double *cost)
{
	double s = (double)v->idle / MU_US_PER_S;
	double ended = pause_cdf(p, s);
	double not_returned = 1 - ended * return_probability(v);
	double horizon = exp(p->mean) * FIRST_HORIZON_RATIO;
	double drop_us = v->tokens * prefill_us_or_default(v);
	double best = 0, memory_s = 0, last = s;

	price *= (double)v->tokens / (double)v->cache_max * MU_US_PER_S;
	*until = s;
	*cost = 0;
	for (int i = 0; i < HORIZON_COUNT; i++, horizon *= HORIZON_GROWTH) {
		double t = s + horizon;
		double returned =
		    (pause_cdf(p, t) - ended) * return_probability(v);

		returned /= not_returned;
		memory_s += (1 - returned) * (t - last);
		last = t;
		if (returned * drop_us - memory_s * price <= best)
			continue;
		best = returned * drop_us - memory_s * price;
		*until = t;
		*cost = memory_s * price;
	}
	return best;
}

/*
 * Current price of memory: never zero, and highest for a full cache.  The
 * reported usage lags, so a high price would drop far more prefixes than
 * needed before the usage is seen to fall; the price is therefore capped for
 * prefixes that have been kept so far.
 */
static double
current_price(const struct mu_retain_view *v)
{
	double used = (double)v->cache_used / (double)v->cache_max;
	double ramp = (used - PRICE_RISE_RATIO) / (1 - PRICE_RISE_RATIO);

	if (v->idle > 0 && ramp > PRICE_FACTOR_MAX_HELD)
		ramp = PRICE_FACTOR_MAX_HELD;
	return FULL_CACHE_PRICE *
	       (ramp > PRICE_FACTOR_MIN ? ramp : PRICE_FACTOR_MIN);
}

static void
keep_or_drop(const struct mu_retain_view *v, struct mu_retention *r)
{
	struct mu_pause_stats p = estimate_pauses(v);
	double best, until, cost;

	r->keep_when_full =
	    best_horizon(v, &p, KEEP_WHEN_FULL_PRICE, &until, &cost) > 0;
	best = best_horizon(v, &p, current_price(v), &until, &cost);
	r->keep_cost = cost;
	r->drop_cost = v->tokens * prefill_us_or_default(v);
	if (best <= 0) {
		r->kind = MU_RETAIN_DROP;
		r->reason = MU_RETAIN_PRICE;
		return;
	}
	r->kind = MU_RETAIN_KEEP;
	r->reason = MU_RETAIN_RETURN_SOON;
	r->u.keep.until = (mu_us)(until * MU_US_PER_S);
	if (r->u.keep.until > v->idle + RECHECK_INTERVAL_US)
		r->u.keep.until = v->idle + RECHECK_INTERVAL_US;
}

struct mu_retention
mu_retain(const struct mu_retain_view *v)
{
	struct mu_retention r = {0};

	if (v->ended)
		return drop_prefix(MU_RETAIN_ENDED);
	if (v->orphan)
		return drop_prefix(MU_RETAIN_ORPHAN);
	if (v->idle_max > 0 && v->idle >= v->idle_max)
		return drop_prefix(MU_RETAIN_IDLE_LIMIT);
	if (v->cache_max == 0)
		return keep_prefix(
		    MU_RETAIN_MEMORY_FREE, v->idle + RECHECK_INTERVAL_US);
	keep_or_drop(v, &r);
	if (r.kind == MU_RETAIN_DROP && v->transfer_us > 0 &&
	    v->transfer_us < prefill_us_or_default(v) * return_probability(v)) {
		r.kind = MU_RETAIN_EXPORT;
		r.reason = MU_RETAIN_EXPORT_CHEAPER;
	}
	return r;
}
