/*
 * loadest.c -- estimates the requests of other daemons at an endpoint.
 *
 * Designed for fleets in which each daemon sends few requests: it hears from an
 * endpoint every second or two, while a burst fills all endpoints within one.
 * A report loses its weight with age.  If an old report counts for nothing, the
 * endpoints that a daemon has not heard from appear idle: it moves programs
 * away from their cached prompts to them, as all daemons do at once, and admits
 * new programs while every endpoint is full.  An old report therefore gives way
 * to the mean of what the service's endpoints reported lately.  The mean fades
 * while none reports.
 */
#include <math.h>

#include "loadest.h"

#define REPORT_DECAY_US 1e6 /* duration of a few typical calls */
/* Short enough to follow a burst, long enough for some ten reports. */
#define MEAN_DECAY_US 5e5
/* A daemon that takes its endpoints for full sends nothing and hears nothing;
 * the mean must not outlast a burst. */
#define SILENCE_DECAY_US 2e6
/* Of a report in the mean: one odd report must not close the service. */
#define PER_SLOT_MAX 4.0

void
mu_loadest_add(
    struct mu_loadest_mean *m, double others, uint32_t slots, mu_us now)
{
	double weight = 1, per_slot = others / slots;

	if (per_slot > PER_SLOT_MAX)
		per_slot = PER_SLOT_MAX;
	if (m->updated_at != 0)
		weight =
		    1 - exp(-(double)(now - m->updated_at) / MEAN_DECAY_US);
	m->per_slot += (per_slot - m->per_slot) * weight;
	m->updated_at = now;
}

double
mu_loadest_others(enum mu_loadest_kind kind, const struct mu_loadest_report *r,
    const struct mu_loadest_mean *m, uint32_t slots, mu_us now)
{
	double weight = 0, mean = 0;

	if (r->at != 0)
		weight = exp(-(double)(now - r->at) / REPORT_DECAY_US);
	switch (kind) {
	case MU_LOADEST_REPORT:
		break;
	case MU_LOADEST_MEAN:
		mean = m->per_slot * slots *
		       exp(-(double)(now - m->updated_at) / SILENCE_DECAY_US);
		break;
	}
	return weight * r->others + (1 - weight) * mean;
}
