/*
 * admit.c -- bounded queues, deadlines, fair shares and the concurrency limit.
 *
 * A call that cannot be served in time is refused on arrival, with the time at
 * which to retry, since a late refusal has wasted the caller's time and a queue
 * entry.  Shares are max-min fair: a caller may fill the queue while others
 * leave it empty, but above a threshold each caller is limited to an equal
 * share.  Part of the queue is reserved for urgent calls.
 *
 * Programs that return soon need their prefixes kept.  When the prefixes of
 * the started programs fill the caches, one more program would make each of
 * them recompute its history over and over; so a new program that is not
 * urgent is deferred until another one has ended.
 */
#include "admit.h"

#include <math.h>

#define URGENT_RESERVE_DIVISOR 4 /* 1/4 of the queue is for urgent calls */
#define FAIR_SHARE_DIVISOR 2 /* shares apply when 1/2 of the queue is used */
#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 30000
#define NEW_CALL_WAIT_MAX_US 1000 /* a call that waited longer is queued */
#define PRIORITY_PER_DOUBLING 1000.0 /* of the caller's running calls */
#define LIMIT_SMOOTHING 0.1 /* weight of a new sample */
#define MIN_LATENCY_GROWTH 1.0005 /* per sample: lets old minima expire */
#define GRADIENT_TOLERANCE 4.0 /* accepted latency over the minimum */
#define GRADIENT_MIN 0.5
#define CACHE_NEED_DEVIATIONS 4.75 /* kept free above the mean need */
#define DEFAULT_IDLE_SHARE 0.25
#define LIMIT_BACKOFF_FACTOR 0.9
#define LIMIT_MIN 4

static const char *const reason_names[] = {
#define X(sym, name) name,
    MU_ADMIT_REASONS(X)
#undef X
};

const char *
mu_admit_reason_name(enum mu_admit_reason reason)
{
	return reason < MU_ADMIT_REASON_COUNT ? reason_names[reason] : "?";
}

/* Time until all calls queued before a new one have been served. */
static mu_us
expected_wait(const struct mu_admit_view *v)
{
	uint32_t limit = v->limit > 0 ? v->limit : 1;

	return v->call_us * ((mu_us)v->queued + 1) / limit;
}

static uint32_t
retry_ms(mu_us wait)
{
	mu_us ms = wait / MU_US_PER_MS;

	if (ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)ms;
}

static struct mu_admission
refuse_call(enum mu_admit_reason reason, enum mu_errtype type, mu_us wait)
{
	struct mu_admission a = {.kind = MU_ADMIT_REFUSE, .reason = reason};

	a.u.refuse.type = type;
	a.u.refuse.retry_after_ms = retry_ms(wait);
	return a;
}

static struct mu_admission
queue_call(enum mu_admit_reason reason, mu_us wait)
{
	struct mu_admission a = {.kind = MU_ADMIT_QUEUE, .reason = reason};

	a.u.queue.expect_us = wait;
	return a;
}

/* Queue length up to which a call of this urgency may be queued. */
static uint32_t
queue_capacity(const struct mu_admit_view *v, enum mu_urgency urgency)
{
	if (urgency == MU_URGENT)
		return v->queue_max;
	return v->queue_max - v->queue_max / URGENT_RESERVE_DIVISOR;
}

static bool
over_share(const struct mu_admit_view *v)
{
	uint32_t callers = v->callers > 0 ? v->callers : 1;

	if (callers == 1 || v->queued < v->queue_max / FAIR_SHARE_DIVISOR)
		return false;
	return v->caller_queued >= v->queue_max / callers;
}

/*
 * Tokens of an endpoint's cache needed by idle prefixes that should be kept in
 * a full cache: the mean plus some standard deviations, with each prefix idle
 * or in use independently of the others.  A few long prefixes vary more than
 * many short ones of the same total.
 */
static double
cache_need(const struct mu_admit_view *v)
{
	double n = (double)v->ndaemons / v->nendpoints;
	double idle = v->idle_share > 0 ? v->idle_share : DEFAULT_IDLE_SHARE;
	double mean = idle * (double)v->own_tokens * n;

	return mean +
	       CACHE_NEED_DEVIATIONS * sqrt(idle * v->own_tokens_squared * n);
}

bool
mu_admit_must_defer(const struct mu_admit_view *v, const struct mu_call_info *r)
{
	if (r->urgency == MU_URGENT || r->attained > 0)
		return false;
	if (v->cache_max == 0 || v->ndaemons == 0 || v->nendpoints == 0)
		return false;
	return cache_need(v) > (double)v->cache_max / v->nendpoints;
}

/* Queues a call of a deferred program if it can start before its deadline. */
static struct mu_admission
defer_program(
    const struct mu_admit_view *v, const struct mu_call_info *r, mu_us now)
{
	mu_us wait = v->program_start_interval_us * ((mu_us)v->deferred + 1);
	bool is_queued = r->waited > NEW_CALL_WAIT_MAX_US;

	if (!is_queued && v->queued >= queue_capacity(v, r->urgency))
		return refuse_call(MU_ADMIT_QUEUE_FULL, MU_E_OVERLOADED, wait);
	if (!is_queued && r->deadline - now < wait)
		return refuse_call(MU_ADMIT_CACHES_FULL, MU_E_OVERLOADED, wait);
	return queue_call(MU_ADMIT_CACHES_FULL, wait);
}

struct mu_admission
mu_admit(const struct mu_admit_view *v, const struct mu_call_info *r, mu_us now)
{
	bool is_queued =
	    r->waited > NEW_CALL_WAIT_MAX_US; /* counted in v->queued */
	bool limited = v->caller_max > 0 && v->caller_running >= v->caller_max;
	enum mu_admit_reason reason =
	    limited ? MU_ADMIT_CALLER_LIMIT : MU_ADMIT_LIMIT;
	mu_us wait = expected_wait(v);

	if (r->deadline <= now)
		return refuse_call(MU_ADMIT_DEADLINE_PAST, MU_E_DEADLINE, wait);
	if (mu_admit_must_defer(v, r))
		return defer_program(v, r, now);
	if (v->running < v->limit && !limited)
		return (struct mu_admission){
		    .kind = MU_ADMIT_RUN, .reason = MU_ADMIT_BELOW_LIMITS};
	if (is_queued)
		return queue_call(reason, wait);
	if (v->queued >= queue_capacity(v, r->urgency))
		return refuse_call(MU_ADMIT_QUEUE_FULL, MU_E_OVERLOADED, wait);
	if (over_share(v))
		return refuse_call(
		    MU_ADMIT_CALLER_SHARE, MU_E_RATE_LIMITED, wait);
	if (r->deadline - now < wait)
		return refuse_call(
		    MU_ADMIT_DEADLINE_NEAR, MU_E_OVERLOADED, wait);
	return queue_call(reason, wait);
}

/* Priority with a penalty for each doubling of the caller's running calls. */
static double
effective_priority(const struct mu_queued_call *w)
{
	return w->priority +
	       PRIORITY_PER_DOUBLING * log2(1.0 + w->caller_running);
}

static bool
runs_before(const struct mu_queued_call *a, const struct mu_queued_call *b)
{
	double x = effective_priority(a), y = effective_priority(b);

	if (x < y || x > y)
		return x < y;
	return a->since < b->since;
}

int32_t
mu_admit_next(const struct mu_queued_call *w, uint32_t n)
{
	int32_t best = -1;

	for (uint32_t i = 0; i < n; i++)
		if (!w[i].deferred &&
		    (best < 0 || runs_before(&w[i], &w[best])))
			best = (int32_t)i;
	return best;
}

void
mu_limit_init(struct mu_limit *l, uint32_t start, uint32_t max)
{
	*l = (struct mu_limit){.limit = start, .max = max};
	l->min = max < LIMIT_MIN ? max : LIMIT_MIN;
}

static void
limit_clamp(struct mu_limit *l)
{
	if (l->limit < l->min)
		l->limit = l->min;
	if (l->limit > l->max)
		l->limit = l->max;
}

void
mu_limit_sample(struct mu_limit *l, double latency_us, uint32_t inflight)
{
	double gradient, next;

	if (l->samples++ == 0) {
		l->min_latency = latency_us;
		l->latency = latency_us;
		return;
	}
	l->latency += LIMIT_SMOOTHING * (latency_us - l->latency);
	l->min_latency *= MIN_LATENCY_GROWTH;
	if (l->latency < l->min_latency)
		l->min_latency = l->latency;
	if (inflight < l->limit / 2)
		return; /* the load is bounded by demand, not by the limit */
	gradient = GRADIENT_TOLERANCE * l->min_latency / l->latency;
	if (gradient > 1)
		gradient = 1;
	if (gradient < GRADIENT_MIN)
		gradient = GRADIENT_MIN;
	next = l->limit * gradient + sqrt(l->limit);
	l->limit += LIMIT_SMOOTHING * (next - l->limit);
	limit_clamp(l);
}

void
mu_limit_backoff(struct mu_limit *l)
{
	l->limit *= LIMIT_BACKOFF_FACTOR;
	limit_clamp(l);
}

uint32_t
mu_limit_now(const struct mu_limit *l)
{
	return (uint32_t)l->limit;
}
