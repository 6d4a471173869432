/*
 * baseline.c -- placement by mu_place(), the baselines and the lower bound.
 */
#include <xxhash.h>

#include "sim.h"

#define SAMPLED_ENGINES 2 /* compared by least_sampled() */

static int32_t
round_robin(struct daemon *d, const struct mu_service_view *v)
{
	for (uint32_t k = 0; k < v->nendpoints; k++) {
		uint32_t i = d->next_engine++ % v->nendpoints;

		if (v->endpoints[i].state == MU_ENDPOINT_LIVE)
			return (int32_t)i;
	}
	return MU_NO_ENDPOINT;
}

static int32_t
least_cost(
    struct daemon *d, const struct mu_service_view *v, const double *cost)
{
	int32_t best = MU_NO_ENDPOINT;
	uint32_t ties = 1;

	for (uint32_t i = 0; i < v->nendpoints; i++) {
		if (v->endpoints[i].state != MU_ENDPOINT_LIVE)
			continue;
		if (best < 0 || cost[i] < cost[best]) {
			best = (int32_t)i;
			ties = 1;
		} else if (cost[i] <= cost[best] &&
			   mu_rand(&d->rng) % ++ties == 0) {
			best = (int32_t)i;
		}
	}
	return best;
}

static int32_t
least_reported(struct daemon *d, const struct mu_service_view *v)
{
	double cost[ENGINES_MAX] = {0};

	for (uint32_t i = 0; i < v->nendpoints; i++)
		cost[i] =
		    (double)v->endpoints[i].running + v->endpoints[i].queued;
	return least_cost(d, v, cost);
}

static int32_t
least_sampled(struct daemon *d, const struct mu_service_view *v)
{
	double cost[ENGINES_MAX] = {0};

	for (uint32_t i = 0; i < v->nendpoints; i++)
		cost[i] = 1e9;
	for (int k = 0; k < SAMPLED_ENGINES && v->nendpoints > 0; k++) {
		uint32_t i = (uint32_t)(mu_rand(&d->rng) % v->nendpoints);

		cost[i] =
		    (double)v->endpoints[i].running + v->endpoints[i].queued;
	}
	return least_cost(d, v, cost);
}

/* Reported queue delay plus the time to compute uncached prompt tokens. */
static int32_t
least_estimated_time(struct daemon *d, const struct mu_service_view *v,
    const struct mu_call_info *r)
{
	double cost[ENGINES_MAX] = {0};

	for (uint32_t i = 0; i < v->nendpoints; i++) {
		const struct mu_endpoint_view *e = &v->endpoints[i];
		double load = (double)e->running + e->queued + e->sent_since;
		uint32_t held =
		    (int32_t)i == r->home_endpoint ? r->home_tokens : 0;

		cost[i] = load / e->max_batch * e->call_us;
		cost[i] += (r->prompt_tokens - held) * e->prefill_us;
	}
	return least_cost(d, v, cost);
}

static int32_t
sticky(const struct mu_service_view *v, const struct mu_call_info *r)
{
	uint64_t best = 0;
	int32_t chosen = MU_NO_ENDPOINT;

	if (r->home_endpoint >= 0 &&
	    v->endpoints[r->home_endpoint].state == MU_ENDPOINT_LIVE)
		return r->home_endpoint;
	for (uint32_t i = 0; i < v->nendpoints; i++) {
		uint64_t key[2] = {r->program, v->endpoints[i].id};
		uint64_t h = XXH64(key, sizeof(key), 0);

		if (v->endpoints[i].state == MU_ENDPOINT_LIVE && h >= best) {
			best = h;
			chosen = (int32_t)i;
		}
	}
	return chosen;
}

/* Uses the engines' current loads instead of delayed reports. */
static int32_t
least_actual(struct sim *s, struct daemon *d, const struct mu_service_view *v)
{
	double cost[ENGINES_MAX] = {0};

	for (uint32_t i = 0; i < s->nengines; i++) {
		const struct engine *e = &s->engines[i];

		cost[i] = (double)e->nbatch + e->nqueue;
		cost[i] /= e->speed;
		if (!e->alive)
			cost[i] = 1e9;
	}
	return least_cost(d, v, cost);
}

static int32_t
musher(struct daemon *d, const struct mu_service_view *v,
    const struct mu_call_info *r)
{
	struct mu_placement p = mu_place(v, r, &d->rng);

	return p.kind == MU_PLACED ? (int32_t)p.u.placed.index : MU_NO_ENDPOINT;
}

int32_t
choose_engine(struct sim *s, struct daemon *d, const struct mu_service_view *v,
    const struct mu_call_info *r)
{
	switch (s->conf.policy->placement) {
	case PLACE_ROUND_ROBIN:
		return round_robin(d, v);
	case PLACE_LEAST_LOADED:
		return least_reported(d, v);
	case PLACE_SAMPLED:
		return least_sampled(d, v);
	case PLACE_STICKY:
		return sticky(v, r);
	case PLACE_ESTIMATED_TIME:
		return least_estimated_time(d, v, r);
	case PLACE_BOUND:
		return least_actual(s, d, v);
	case PLACE_MUSHER:
		return musher(d, v, r);
	}
	return MU_NO_ENDPOINT;
}
