/*
 * ratelimit.c -- a customer's rate limit: what may run in a sliding window.
 *
 * Let L be the requests that may run in a window W.  When the daemon that
 * counts dies, its successor admits a reduced rate r' for one window without
 * knowing what ran before.  The sum stays within L if at any moment, for each
 * span t up to W, no more than L - r' (W - t) requests ran in the last t.  This
 * is what mu_rate_available() keeps; for t = W it is the limit itself.
 */
#include <math.h>
#include <string.h>

#include "ratelimit.h"

/* r' as a part of the rate. */
#define UNKNOWN_PAST_RATE 0.9
/* Requests of a program before any was seen; counts as much as two programs. */
#define PROGRAM_REQUESTS 8.0
#define PROGRAM_REQUESTS_WEIGHT 2.0
/* The requests of a program are spread over about this time, so that as many
 * may be pledged as the rate serves in it. */
#define PROGRAM_SPAN_S 1.0
#define SEEN_HALF_LIFE_S 10.0
/* With less available, requests are counted before they are admitted. */
#define AMPLE_MIN 4.0
#define AMPLE_SHARE 0.25 /* of the burst and of what returns in a window */
#define RETRY_AFTER_MIN_MS 10
#define RETRY_AFTER_MAX_MS 60000

static double
seconds(mu_us d)
{
	return (double)d / (double)MU_US_PER_S;
}

static mu_us
microseconds(double s)
{
	return (mu_us)(s * (double)MU_US_PER_S);
}

static int64_t
slice_at(const struct mu_rate_limit *l, mu_us now)
{
	return (int64_t)(seconds(now) / l->window_s * MU_RATE_STEPS);
}

/* Moves the window to now. */
static void
advance(struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now)
{
	int64_t slice = slice_at(l, now), steps = slice - s->slice;

	if (steps <= 0)
		return;
	if (steps > MU_RATE_SLICES)
		steps = MU_RATE_SLICES;
	memmove(s->count + steps, s->count,
	    (size_t)(MU_RATE_SLICES - steps) * sizeof(s->count[0]));
	memset(s->count, 0, (size_t)steps * sizeof(s->count[0]));
	s->slice = slice;
}

/* Lowers what is unpledged at once when the limit was lowered. */
static void
refill(struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now)
{
	double t = now > s->refilled_at ? seconds(now - s->refilled_at) : 0;
	double decay = exp2(-t / SEEN_HALF_LIFE_S);

	s->refilled_at = now;
	s->unpledged = fmin(s->unpledged + t * l->rate, l->burst);
	s->requests_seen *= decay;
	s->programs_seen *= decay;
}

void
mu_rate_init(struct mu_rate_state *s, const struct mu_rate_limit *l,
    mu_us since, mu_us now)
{
	memset(s, 0, sizeof(*s));
	s->started_at = since;
	s->refilled_at = now;
	s->slice = slice_at(l, now);
	s->unpledged = l->burst;
}

void
mu_rate_restart(
    struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now)
{
	/* Several starts in a window share one allowance. */
	if (seconds(now - s->started_at) >= l->window_s)
		s->ran_since_start = 0;
	s->started_at = now;
}

double
mu_rate_program_requests(const struct mu_rate_state *s)
{
	double n =
	    (s->requests_seen + PROGRAM_REQUESTS * PROGRAM_REQUESTS_WEIGHT) /
	    (s->programs_seen + PROGRAM_REQUESTS_WEIGHT);

	return n > 1 ? n : 1;
}

/* Requests that may be admitted at `at`, if none is until then. */
static double
available_at(
    const struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us at)
{
	double most = l->rate * l->window_s + l->burst, ran = 0, left;
	double reserved = UNKNOWN_PAST_RATE * l->rate, available = most;
	int64_t age = slice_at(l, at) - s->slice;
	double known = seconds(at - s->started_at);
	int i;

	for (i = 0; i + age < MU_RATE_SLICES; i++) {
		ran += s->count[i];
		left = most - ran -
		       reserved * l->window_s *
			   (double)(MU_RATE_STEPS - i - age) / MU_RATE_STEPS;
		available = fmin(available, left);
	}
	if (known < l->window_s)
		available = fmin(available,
		    l->initial + reserved * known - s->ran_since_start);
	return available;
}

double
mu_rate_available(
    struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now)
{
	advance(s, l, now);
	return available_at(s, l, now);
}

static void
count(struct mu_rate_state *s, enum mu_rate_kind kind)
{
	s->count[0] += 1;
	s->ran_since_start += 1;
	if (kind == MU_RATE_SINGLE)
		s->unpledged -= 1;
	else
		s->requests_seen += 1;
}

/*
 * Callers refused one after the other are told times that are `step` requests
 * apart, so that they do not all return for the same one.
 */
static uint32_t
retry_after(const struct mu_rate_limit *l, mu_us *next, mu_us earliest,
    double step, mu_us now)
{
	mu_us ms;

	if (l->rate > 0)
		*next += microseconds(step / l->rate);
	if (*next < earliest)
		*next = earliest;
	ms = (*next - now) / MU_US_PER_MS + 1;
	if (ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return ms < RETRY_AFTER_MAX_MS ? (uint32_t)ms : RETRY_AFTER_MAX_MS;
}

/* When the next request may be admitted, to the slice. */
static mu_us
next_available(
    const struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now)
{
	mu_us step = microseconds(l->window_s / MU_RATE_STEPS);
	int i;

	for (i = 1; i < MU_RATE_SLICES; i++)
		if (available_at(s, l, now + i * step) >= 1)
			break;
	return now + i * step;
}

/* Time until a program may start; 0: now. */
static mu_us
until_program(const struct mu_rate_state *s, const struct mu_rate_limit *l)
{
	double overdrawn = -s->unpledged - PROGRAM_SPAN_S * l->rate;

	if (overdrawn < 0)
		return 0;
	return l->rate > 0 ? microseconds(overdrawn / l->rate) + 1
			   : MU_US_PER_MS * RETRY_AFTER_MAX_MS;
}

struct mu_rate_decision
mu_rate_take(struct mu_rate_state *s, const struct mu_rate_limit *l,
    enum mu_rate_kind kind, mu_us now)
{
	struct mu_rate_decision d = {.verdict = MU_RATE_ADMIT};
	mu_us wait;

	refill(s, l, now);
	if (mu_rate_available(s, l, now) < 1) {
		d.verdict = MU_RATE_REFUSE;
		d.retry_after_ms = retry_after(
		    l, &s->next_request_at, next_available(s, l, now), 1, now);
		return d;
	}
	wait = until_program(s, l);
	if (kind == MU_RATE_MAY_START && wait > 0) {
		d.verdict = MU_RATE_ADMIT_STARTED;
		d.retry_after_ms = retry_after(l, &s->next_program_at,
		    now + wait, mu_rate_program_requests(s), now);
	}
	count(s, kind);
	return d;
}

void
mu_rate_admitted(struct mu_rate_state *s, const struct mu_rate_limit *l,
    enum mu_rate_kind kind, mu_us now)
{
	refill(s, l, now);
	advance(s, l, now);
	count(s, kind);
}

void
mu_rate_refund(
    struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now)
{
	int i;

	advance(s, l, now);
	if (s->ran_since_start >= 1)
		s->ran_since_start -= 1;
	for (i = 0; i < MU_RATE_SLICES; i++)
		if (s->count[i] >= 1) {
			s->count[i] -= 1;
			return;
		}
}

void
mu_rate_program_started(
    struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now)
{
	refill(s, l, now);
	s->unpledged -= mu_rate_program_requests(s);
	s->programs_seen += 1;
}

bool
mu_rate_ample(struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now)
{
	double available = mu_rate_available(s, l, now);

	return available >= AMPLE_MIN &&
	       available >= AMPLE_SHARE * (l->burst + l->rate * l->window_s) &&
	       s->unpledged > 0;
}
