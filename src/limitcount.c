/*
 * limitcount.c -- counts what customers use, as the root or for this daemon.
 *
 * The limit of a count is scaled by the part of the fleet that its daemon sees
 * (limitmap.c).  It starts anew when other daemons have admitted requests that
 * it has not counted: one of them decided for an asker, or a daemon is back
 * that ran all the time without a link.
 *
 * What the operator accepts beyond a limit is divided: half is added to the
 * limit, a quarter is for new counts and a quarter for requests whose root does
 * not answer.
 */
#include <jansson.h>
#include <math.h>

#include "limiter_private.h"
#include "log.h"

#define SHARE_DIVISOR 4 /* of what is accepted beyond the limit */

static double
window_s(const struct mu_limiter *x)
{
	return x->conf.window_ms / 1000.0;
}

/* Requests accepted beyond the limit for one purpose in a window. */
static double
accepted_share(const struct mu_limiter *x, const struct mu_customer *c)
{
	return (x->conf.overage * (c->rate * window_s(x) + c->burst) +
		   x->conf.slack) /
	       SHARE_DIVISOR;
}

/* The limit of a count that this daemon keeps. */
static struct mu_rate_limit
count_limit(struct mu_limiter *x, const struct mu_customer *c)
{
	double part = mu_limit_visible(&x->map);
	struct mu_rate_limit l;

	l.rate = c->rate * part;
	l.burst = (c->burst + 2 * accepted_share(x, c)) * part;
	l.initial = accepted_share(x, c) * part;
	l.window_s = window_s(x);
	return l;
}

/* What this daemon may admit without an answer, a share of which rounds up at
 * some daemons only. */
static struct mu_rate_limit
share_limit(struct mu_limiter *x, const struct mu_customer *c)
{
	double share = accepted_share(x, c) / mu_limit_daemons(&x->map);
	double u = (double)(mu_rendezvous(x->conf.host, c->name) >> 11) /
		   (double)(1ULL << 53);
	struct mu_rate_limit l;

	l.rate = share / window_s(x);
	l.initial = floor(share + u);
	l.burst = fmax(l.initial, 1);
	l.window_s = window_s(x);
	return l;
}

static void
log_refusal(struct mu_limiter *x, struct mu_limited *c,
    const struct mu_rate_limit *l, const struct mu_rate_decision *d)
{
	mu_us now = mu_loop_now(x->loop);

	if (c->logged_at != 0 && now - c->logged_at < MU_US_PER_S)
		return;
	c->logged_at = now;
	mu_log(MU_LOG_WARN, "limiter", "limit_reached",
	    "{s:s,s:f,s:f,s:f,s:f,s:I,s:f,s:f,s:i}", "customer", c->name,
	    "part", mu_limit_visible(&x->map), "rate", l->rate, "burst",
	    l->burst, "available", mu_rate_available(&c->count, l, now),
	    "known_ms",
	    (json_int_t)((now - c->count.started_at) / MU_US_PER_MS),
	    "unpledged", c->count.unpledged, "requests_a_program",
	    mu_rate_program_requests(&c->count), "retry_after_ms",
	    (int)d->retry_after_ms);
}

/* Whether another daemon has decided since this count started. */
static bool
decided_elsewhere(
    struct mu_limiter *x, const struct mu_limited *c, const Mu__LimitAsk *q)
{
	mu_us at = mu_loop_now(x->loop) - q->last_root_age_ms * MU_US_PER_MS;

	return q->last_root != 0 && q->last_root != x->conf.incarnation &&
	       at > c->count.started_at;
}

/* Prepares the count that this daemon keeps. */
static struct mu_rate_limit
open_count(struct mu_limiter *x, struct mu_limited *c,
    const struct mu_customer *spec, const Mu__LimitAsk *q)
{
	struct mu_rate_limit l = count_limit(x, spec);
	mu_us now = mu_loop_now(x->loop);

	if (!c->is_root)
		mu_rate_init(&c->count, &l, x->map.unchanged_since, now);
	else if (decided_elsewhere(x, c, q) ||
		 c->count.started_at < x->map.rejoined_at)
		mu_rate_restart(&c->count, &l, now);
	c->is_root = true;
	return l;
}

void
mu_limit_decide(struct mu_limiter *x, const Mu__LimitAsk *q, Mu__LimitAnswer *a)
{
	const struct mu_customer *spec = x->conf.find(x->conf.arg, q->customer);
	struct mu_limited *c = mu_limiter_get(x, q->customer);
	enum mu_rate_kind kind = (enum mu_rate_kind)q->kind;
	mu_us now = mu_loop_now(x->loop);
	struct mu_rate_decision d = {.verdict = MU_RATE_ADMIT};
	struct mu_rate_limit l;

	if (spec == NULL) /* not in the configuration here */
		return;
	a->root = x->conf.incarnation;
	a->status = MU__LIMIT_ANSWER__STATUS__ADMITTED;
	a->ample = true;
	if (spec->rate <= 0)
		return;
	l = open_count(x, c, spec, q);
	if (q->admitted)
		mu_rate_admitted(&c->count, &l, kind, now);
	else
		d = mu_rate_take(&c->count, &l, kind, now);
	a->ample = mu_rate_ample(&c->count, &l, now);
	a->retry_after_ms = d.retry_after_ms;
	if (d.verdict == MU_RATE_ADMIT_STARTED)
		a->status = MU__LIMIT_ANSWER__STATUS__ADMITTED_STARTED;
	else if (d.verdict == MU_RATE_REFUSE)
		a->status = MU__LIMIT_ANSWER__STATUS__REFUSED;
	if (d.verdict != MU_RATE_ADMIT)
		log_refusal(x, c, &l, &d);
}

bool
mu_limit_take_share(struct mu_limiter *x, const char *name)
{
	const struct mu_customer *spec = x->conf.find(x->conf.arg, name);
	struct mu_limited *c = mu_limiter_get(x, name);
	mu_us now = mu_loop_now(x->loop);
	struct mu_rate_limit l;

	if (spec == NULL || spec->rate <= 0)
		return true;
	l = share_limit(x, spec);
	if (!c->has_share)
		mu_rate_init(&c->share, &l, now, now);
	c->has_share = true;
	return mu_rate_take(&c->share, &l, MU_RATE_IN_PROGRAM, now).verdict ==
	       MU_RATE_ADMIT;
}

void
mu_limit_apply_note(struct mu_limiter *x, const Mu__LimitNote *n)
{
	const struct mu_customer *spec = x->conf.find(x->conf.arg, n->customer);
	struct mu_limited *c = mu_limiter_get(x, n->customer);
	mu_us now = mu_loop_now(x->loop);
	struct mu_rate_limit l;
	uint32_t i;

	if (spec == NULL || spec->rate <= 0 || !c->is_root)
		return;
	l = count_limit(x, spec);
	for (i = 0; i < n->refunds; i++)
		mu_rate_refund(&c->count, &l, now);
	for (i = 0; i < n->programs; i++)
		mu_rate_program_started(&c->count, &l, now);
}
