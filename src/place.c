/*
 * place.c -- selection of the endpoint that runs a call.
 *
 * A program stays on its home endpoint, which holds its prefix, unless the
 * delay saved by moving exceeds what the move costs all calls: while a prefix
 * is recomputed, every call in the target's batch slows down.  A new program
 * takes the cheapest of a few endpoints sampled at random, the power of two
 * choices (M. Mitzenmacher, "The Power of Two Choices in Randomized Load
 * Balancing", 2001): daemons that see the same stale report sample different
 * endpoints, so they do not all select the same one.
 */
#include "place.h"

#include <math.h>

#define SAMPLED_ENDPOINTS_MAX 6 /* endpoints compared for each call */
#define MOVE_MARGIN_US 500000.0 /* least saving that justifies a move */
#define SLOW_RATIO 3.0 /* latency over the median that counts as slow */
#define DEFAULT_MAX_BATCH 32
#define DEFAULT_CALL_US 2e6
#define DEFAULT_PREFILL_US 125.0 /* per token */
/* Delay of each concurrent call during a prefill, over the prefill's time. */
#define PREFILL_INTERFERENCE 2.0
/* Time that a full batch adds to a call, over the call's time. */
#define FULL_BATCH_SLOWDOWN 0.25
/* Cost of a placement on a cache filled by other programs' prefixes. */
#define FULL_CACHE_EVICTION_US 1e7
#define FULL_RATIO 8.0 /* estimated load over max_batch that counts as full */
#define FULL_RECHECK_US 250000
#define NO_ENDPOINT_RETRY_MS 1000

static const char *const reason_names[] = {
#define X(sym, name) name,
    MU_PLACE_REASONS(X)
#undef X
};

const char *
mu_place_reason_name(enum mu_place_reason reason)
{
	return reason < MU_PLACE_REASON_COUNT ? reason_names[reason] : "?";
}

static double
max_batch_or_default(const struct mu_endpoint_view *e)
{
	return e->max_batch != 0 ? e->max_batch : DEFAULT_MAX_BATCH;
}

static double
prefill_us_or_default(const struct mu_endpoint_view *e)
{
	return e->prefill_us > 0 ? e->prefill_us : DEFAULT_PREFILL_US;
}

/*
 * Latency over the median, or 1 below SLOW_RATIO: latencies vary between
 * calls, so only an endpoint far above the median counts as slow.
 */
static double
slowdown(const struct mu_endpoint_view *e)
{
	return e->latency_ratio > SLOW_RATIO ? e->latency_ratio : 1;
}

static bool
in_service(const struct mu_endpoint_view *e)
{
	return e->state == MU_ENDPOINT_LIVE;
}

double
mu_estimated_load(const struct mu_service_view *v, uint32_t i)
{
	const struct mu_endpoint_view *e = &v->endpoints[i];
	double load;

	if (e->report_age == MU_US_NEVER)
		return (double)e->own_in_flight * v->ndaemons;
	load = (double)e->running + e->queued;
	load += (double)e->sent_since - e->done_since;
	return load > e->own_in_flight ? load : e->own_in_flight;
}

/*
 * Share of endpoint i's cache that other programs' prefixes need.  Each other
 * daemon's programs are assumed to need as much as those of this daemon.
 */
static double
claimed_cache_share(
    const struct mu_service_view *v, const struct mu_call_info *r, uint32_t i)
{
	const struct mu_endpoint_view *e = &v->endpoints[i];
	uint64_t own = e->own_tokens;

	if (e->cache_max == 0)
		return 0;
	if (r->home_endpoint == (int32_t)i)
		own -= own < r->home_tokens ? own : r->home_tokens;
	return (double)own * v->ndaemons / (double)e->cache_max;
}

/* Fills *c with the delays that a call incurs and causes on endpoint i. */
static void
compute_cost(const struct mu_service_view *v, const struct mu_call_info *r,
    uint32_t i, struct mu_placement_cost *c)
{
	const struct mu_endpoint_view *e = &v->endpoints[i];
	uint32_t cached = r->home_endpoint == (int32_t)i ? r->home_tokens : 0;
	double missing =
	    r->prompt_tokens > cached ? r->prompt_tokens - cached : 0;
	double call_us = e->call_us > 0 ? e->call_us : DEFAULT_CALL_US;
	double load = mu_estimated_load(v, i);
	double batch = max_batch_or_default(e);
	double excess = load + 1 > batch ? load + 1 - batch : 0;
	double concurrent = load < batch ? load : batch;

	c->queue = excess / batch * call_us;
	c->recompute = missing * prefill_us_or_default(e) * slowdown(e);
	c->recompute *= 1 + PREFILL_INTERFERENCE * concurrent;
	c->batch = call_us * (slowdown(e) - 1) +
		   call_us * load / batch * FULL_BATCH_SLOWDOWN;
	c->eviction = r->home_endpoint < 0 ? FULL_CACHE_EVICTION_US *
						 claimed_cache_share(v, r, i)
					   : 0;
	c->total = c->queue + c->recompute + c->batch + c->eviction;
}

static struct mu_placement
refuse_no_endpoint(void)
{
	struct mu_placement p = {.kind = MU_PLACE_REFUSE};

	p.reason = MU_PLACE_NONE;
	p.u.refuse.type = MU_E_NO_ENDPOINT;
	p.u.refuse.retry_after_ms = NO_ENDPOINT_RETRY_MS;
	return p;
}

static uint32_t
count_in_service(const struct mu_service_view *v)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < v->nendpoints; i++)
		n += in_service(&v->endpoints[i]);
	return n;
}

/* Index of the k-th endpoint in service; k < count_in_service(). */
static uint32_t
nth_in_service(const struct mu_service_view *v, uint32_t k)
{
	for (uint32_t i = 0; i < v->nendpoints; i++)
		if (in_service(&v->endpoints[i]) && k-- == 0)
			return i;
	return 0;
}

/*
 * Samples some of the n endpoints in service, with replacement.  Returns the
 * cheapest and stores its cost in *best.
 */
static uint32_t
pick_cheapest_sampled(const struct mu_service_view *v,
    const struct mu_call_info *r, uint32_t n, uint64_t *rng,
    struct mu_placement_cost *best)
{
	uint32_t draws = n < SAMPLED_ENDPOINTS_MAX ? n : SAMPLED_ENDPOINTS_MAX;
	uint32_t chosen = 0;
	struct mu_placement_cost c;

	best->total = INFINITY;
	for (uint32_t k = 0; k < draws; k++) {
		uint32_t i = nth_in_service(v, (uint32_t)(mu_rand(rng) % n));

		compute_cost(v, r, i, &c);
		if (c.total < best->total) {
			*best = c;
			chosen = i;
		}
	}
	return chosen;
}

static struct mu_placement
placed(
    uint32_t i, enum mu_place_reason reason, const struct mu_placement_cost *c)
{
	struct mu_placement p = {.kind = MU_PLACED, .reason = reason};

	p.cost = *c;
	p.u.placed.index = i;
	return p;
}

static struct mu_placement
wait_for_capacity(const struct mu_placement_cost *c)
{
	struct mu_placement p = {.kind = MU_PLACE_WAIT};

	p.reason = MU_PLACE_FULL;
	p.cost = *c;
	p.u.wait.us = FULL_RECHECK_US;
	return p;
}

static bool
is_full(const struct mu_service_view *v, uint32_t i)
{
	return mu_estimated_load(v, i) >=
	       FULL_RATIO * max_batch_or_default(&v->endpoints[i]);
}

struct mu_placement
mu_place(const struct mu_service_view *v, const struct mu_call_info *r,
    uint64_t *rng)
{
	uint32_t n = count_in_service(v);
	bool has_home =
	    r->home_endpoint >= 0 && (uint32_t)r->home_endpoint < v->nendpoints;
	struct mu_placement_cost best, home_cost = {0};
	struct mu_placement p;
	uint32_t i;

	if (n == 0)
		return refuse_no_endpoint();
	i = pick_cheapest_sampled(v, r, n, rng, &best);
	if (has_home && in_service(&v->endpoints[r->home_endpoint]))
		compute_cost(v, r, (uint32_t)r->home_endpoint, &home_cost);
	if (home_cost.total > 0 &&
	    home_cost.total - best.total < MOVE_MARGIN_US)
		p = placed(
		    (uint32_t)r->home_endpoint, MU_PLACE_HOME, &home_cost);
	else if (is_full(v, i))
		p = wait_for_capacity(&best);
	else if (!has_home)
		p = placed(i, n == 1 ? MU_PLACE_ONLY : MU_PLACE_NEW, &best);
	else if (!in_service(&v->endpoints[r->home_endpoint]))
		p = placed(i, MU_PLACE_MOVED_UNAVAILABLE, &best);
	else if (slowdown(&v->endpoints[r->home_endpoint]) > 1)
		p = placed(i, MU_PLACE_MOVED_SLOW, &best);
	else
		p = placed(i, MU_PLACE_MOVED_LOAD, &best);
	p.home_cost = home_cost;
	return p;
}
