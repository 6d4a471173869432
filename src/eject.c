/*
 * eject.c -- outlier ejection.
 *
 * Consecutive failures detect an endpoint that fails fast, which would
 * otherwise attract requests because it always appears idle.  A slow endpoint
 * is detected by comparing its moving average with the median of the others,
 * which a few bad ones don't shift.  The limit of one half keeps a fault common
 * to all, such as a network partition or overload, from ejecting the whole
 * service.
 */
#include <string.h>

#include "eject.h"

#define AVERAGE_SHIFT 3 /* weight of a new sample: 1/8 */
#define DOUBLINGS_MAX 16

const struct mu_eject_conf mu_eject_conf_default = {
    .failures_to_eject = 3,
    .min_samples = 8,
    .slow_factor = 4.0,
    .slow_floor = 20 * MU_US_PER_MS,
    .first_ejection = 5 * MU_US_PER_S,
    .longest_ejection = 300 * MU_US_PER_S,
    .probe_timeout = 30 * MU_US_PER_S,
};

const char *
mu_eject_reason_name(enum mu_eject_reason reason)
{
	static const char *const names[] = {
#define X(sym, name) name,
	    MU_EJECT_REASONS(X)
#undef X
	};

	return (unsigned)reason < MU_EJECT_WHY_COUNT ? names[reason]
						     : "internal";
}

void
mu_health_init(struct mu_health *h)
{
	memset(h, 0, sizeof(*h));
}

enum mu_health_state
mu_health_state(
    const struct mu_eject_conf *c, const struct mu_health *h, mu_us now)
{
	if (!h->ejected)
		return MU_HEALTH_OK;
	if (now < h->ejected_until)
		return MU_HEALTH_EJECTED;
	if (h->probe_started_at != 0 &&
	    now - h->probe_started_at < c->probe_timeout)
		return MU_HEALTH_EJECTED;
	return MU_HEALTH_PROBE;
}

void
mu_health_probe_started(struct mu_health *h, mu_us now)
{
	h->probe_started_at = now > 0 ? now : 1;
}

static void
sample(const struct mu_eject_conf *c, struct mu_health *h, mu_us took)
{
	if (h->samples == 0)
		h->average_time = took;
	else
		h->average_time +=
		    (took - h->average_time) / (1 << AVERAGE_SHIFT);
	if (h->samples < c->min_samples)
		h->samples++;
}

/* Median of the averages of the other endpoints that are not ejected; 0 if
 * there are fewer than two with enough samples. */
static mu_us
median_of_others(const struct mu_eject_conf *c, struct mu_health *const *all,
    size_t n, size_t i)
{
	mu_us v[MU_EJECT_MAX], x;
	size_t count = 0, j, k;

	for (j = 0; j < n && count < MU_EJECT_MAX; j++) {
		if (j == i || all[j]->ejected ||
		    all[j]->samples < c->min_samples)
			continue;
		x = all[j]->average_time;
		for (k = count++; k > 0 && v[k - 1] > x; k--)
			v[k] = v[k - 1];
		v[k] = x;
	}
	return count >= 2 ? v[(count - 1) / 2] : 0;
}

static bool
is_slow(const struct mu_eject_conf *c, struct mu_health *const *all, size_t n,
    size_t i)
{
	const struct mu_health *h = all[i];
	mu_us median;

	if (h->samples < c->min_samples || h->average_time < c->slow_floor)
		return false;
	median = median_of_others(c, all, n, i);
	return median > 0 && (double)h->average_time > c->slow_factor * median;
}

/* At most half of the endpoints, rounded down, may be ejected. */
static bool
may_eject_another(struct mu_health *const *all, size_t n)
{
	size_t ejected = 0, j;

	for (j = 0; j < n; j++)
		ejected += all[j]->ejected;
	return (ejected + 1) * 2 <= n;
}

static mu_us
ejection_time(const struct mu_eject_conf *c, uint32_t ejections)
{
	uint32_t n = ejections < DOUBLINGS_MAX ? ejections : DOUBLINGS_MAX;
	mu_us t = c->first_ejection << n;

	return t < c->longest_ejection ? t : c->longest_ejection;
}

static struct mu_eject_event
eject(const struct mu_eject_conf *c, struct mu_health *const *all, size_t n,
    size_t i, enum mu_eject_reason why, mu_us now)
{
	struct mu_health *h = all[i];
	struct mu_eject_event ev;

	memset(&ev, 0, sizeof(ev));
	if (!h->ejected && !may_eject_another(all, n)) {
		ev.reason = MU_EJECT_WHY_HALF;
		return ev;
	}
	h->ejected_until = now + ejection_time(c, h->ejections);
	h->ejections++;
	h->ejected = true;
	h->failures = 0;
	h->samples = 0;
	h->probe_started_at = 0;
	ev.kind = MU_EJECT_EJECT;
	ev.reason = why;
	ev.u.eject.until = h->ejected_until;
	return ev;
}

static struct mu_eject_event
restore(struct mu_health *h, mu_us now)
{
	struct mu_eject_event ev;

	memset(&ev, 0, sizeof(ev));
	h->ejected = false;
	h->probe_started_at = 0;
	h->failures = 0;
	h->restored_at = now;
	ev.kind = MU_EJECT_RESTORE;
	ev.reason = MU_EJECT_WHY_RESTORED;
	return ev;
}

struct mu_eject_event
mu_eject_report(const struct mu_eject_conf *c, struct mu_health *const *all,
    size_t n, size_t i, enum mu_health_result result, mu_us took, mu_us now)
{
	struct mu_health *h = all[i];
	struct mu_eject_event ev;

	memset(&ev, 0, sizeof(ev));
	/* The result of a call sent before the ejection. */
	if (h->ejected && (now < h->ejected_until || h->probe_started_at == 0))
		return ev;
	switch (result) {
	case MU_HEALTH_BUSY:
		h->probe_started_at = 0;
		return ev;
	case MU_HEALTH_FAILURE:
		if (h->ejected)
			return eject(
			    c, all, n, i, MU_EJECT_WHY_PROBE_FAILED, now);
		if (++h->failures >= c->failures_to_eject)
			return eject(c, all, n, i, MU_EJECT_WHY_FAILURES, now);
		return ev;
	case MU_HEALTH_SUCCESS:
		break;
	}
	if (h->ejected)
		ev = restore(h, now);
	h->failures = 0;
	if (took > 0)
		sample(c, h, took);
	/* Resets the length after as much time without an ejection as the last
	 * one lasted. */
	if (h->ejections > 0 &&
	    now - h->restored_at >= ejection_time(c, h->ejections - 1))
		h->ejections = 0;
	if (ev.kind == MU_EJECT_NOTHING && is_slow(c, all, n, i))
		return eject(c, all, n, i, MU_EJECT_WHY_SLOW, now);
	return ev;
}
