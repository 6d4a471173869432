/*
 * choose.c -- selects the endpoint for a request of the serving path.
 *
 * Designed for up to twice the normal traffic, spread unevenly over failure
 * domains, with some endpoints slow or unavailable.  The cost of an endpoint is
 * the expected time to complete the answer: queueing for a slot, slower
 * decoding in a fuller batch, and prefill of uncached prompt tokens.  An
 * endpoint of another failure domain costs a fraction of a call more because
 * traffic between domains is charged; under load that is soon outweighed.  Ties
 * go to endpoints with an open connection, since hundreds of daemons that each
 * send a call now and then would otherwise open connections to every endpoint.
 * Remaining ties are broken at random, so that daemons with the same view don't
 * all pick the same endpoint.
 *
 * A turn sent to the endpoint that caches its prompt saves the prefill, which
 * is most of the work under load.  Programs therefore stay at one endpoint
 * unless it is far fuller than others.
 *
 * Endpoints that reset connections appear idle.  Idempotent requests probe
 * whether such an endpoint has recovered.  Non-idempotent requests fail with
 * the attempt, so they go there only when no other endpoint has capacity.
 */
#include "choose.h"
#include "view.h"

/* Requests per slot at which an endpoint is full.  Requests that it queues keep
 * its batch full during the round trip of an answer. */
#define FULL_RATIO 1.5
/* Cost of traffic to another domain, as a fraction of a call's time. */
#define REMOTE_COST_RATIO 0.10
#define BATCH_SLOWDOWN 0.02 /* relative slowdown per concurrent request */
#define TIE_RATIO 0.03 /* costs that differ by less are equal */
#define RETRY_MIN_MS 100
/* Callers honor a retry time of at most a third of their time. */
#define RETRY_MAX_MS 900
#define NO_ENDPOINT_RETRY_MS 300 /* about until the endpoint list is reread */

static double
load(const struct mu_candidate *c)
{
	return (double)c->sent + c->others;
}

static uint32_t
slots(const struct mu_candidate *c)
{
	return c->slots > 0 ? c->slots : 1;
}

static bool
is_full(const struct mu_candidate *c)
{
	return load(c) >= slots(c) * FULL_RATIO;
}

static double
cost_of(const struct mu_candidate *c, const struct mu_demand *d)
{
	double l = load(c), s = slots(c), call = (double)d->call_time;
	double cost = call * (1 + BATCH_SLOWDOWN * l);

	if (l >= s)
		cost += call * (l - s + 1) / s;
	if (!c->same_domain)
		cost += call * REMOTE_COST_RATIO;
	/* Prefill stalls the other requests in the batch. */
	cost += (double)c->prefill_tokens * (double)d->token_prefill_time *
		(1 + l / s);
	return cost * c->slowdown;
}

/* Selects the cheapest endpoint that is usable and not full; suspect ones only
 * if use_suspects is set. */
static struct mu_choice
cheapest(const struct mu_candidate *c, uint32_t n, const struct mu_demand *d,
    bool use_suspects, uint64_t *rng)
{
	struct mu_choice out = {.kind = MU_CHOICE_REJECT, .no_endpoint = true};
	double cost, best = 0;
	uint32_t i, ties = 0;
	bool warm = false;

	for (i = 0; i < n; i++) {
		if (!c[i].usable)
			continue;
		if (out.no_endpoint) {
			out.no_endpoint = false;
			out.kind = MU_CHOICE_QUEUE;
		}
		if (is_full(&c[i]) || (c[i].suspect && !use_suspects))
			continue;
		cost = cost_of(&c[i], d);
		if (ties > 0 && cost > best * (1 + TIE_RATIO))
			continue;
		if (ties == 0 || cost < best * (1 - TIE_RATIO)) {
			ties = 1;
			best = cost;
		} else if (c[i].warm != warm) {
			if (warm)
				continue;
			ties = 1;
		} else if (mu_rand(rng) % ++ties != 0) {
			continue;
		}
		warm = c[i].warm;
		out.kind = MU_CHOICE_SEND;
		out.index = i;
		out.cost = (mu_us)cost;
	}
	out.retry_after_ms = NO_ENDPOINT_RETRY_MS;
	return out;
}

struct mu_choice
mu_choose(const struct mu_candidate *c, uint32_t n, const struct mu_demand *d,
    uint64_t *rng)
{
	struct mu_choice out = cheapest(c, n, d, !d->non_idempotent, rng);

	if (d->non_idempotent && out.kind == MU_CHOICE_QUEUE)
		out = cheapest(c, n, d, true, rng);
	return out;
}

static uint32_t
retry_after(mu_us wait)
{
	mu_us ms = wait / MU_US_PER_MS;

	if (ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return ms < RETRY_MAX_MS ? (uint32_t)ms : RETRY_MAX_MS;
}

struct mu_choice
mu_choose_queue(const struct mu_candidate *c, uint32_t n,
    const struct mu_demand *d, uint32_t ahead)
{
	struct mu_choice out = {.kind = MU_CHOICE_QUEUE};
	double capacity = 0, queued = 0;
	uint32_t i;
	mu_us wait;

	for (i = 0; i < n; i++) {
		if (!c[i].usable)
			continue;
		capacity += slots(&c[i]) / c[i].slowdown;
		if (load(&c[i]) > slots(&c[i]))
			queued += load(&c[i]) - slots(&c[i]);
	}
	out.retry_after_ms = NO_ENDPOINT_RETRY_MS;
	if (capacity == 0) {
		out.kind = MU_CHOICE_REJECT;
		out.no_endpoint = true;
		return out;
	}
	wait = (mu_us)((double)d->call_time * (ahead + queued + 1) / capacity);
	if (wait + d->call_time <= d->time_left)
		return out;
	out.kind = MU_CHOICE_REJECT;
	out.retry_after_ms = retry_after(wait);
	return out;
}

bool
mu_queue_rank_before(
    const struct mu_queue_rank *a, const struct mu_queue_rank *b)
{
	if (a->program_started != b->program_started)
		return a->program_started;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->program_deadline != b->program_deadline)
		return a->program_deadline < b->program_deadline;
	return a->arrived_at < b->arrived_at;
}
