/*
 * pace.c -- how much slower an endpoint is than its service.
 *
 * Load that this answers: some endpoints work at a fifth of the others' pace
 * for seconds while a burst fills all of them.  They answer, so their health is
 * good, and their load is no higher than others'; only the time between the
 * pieces of their answers tells.  Each piece is a sample, so one or two answers
 * show it.
 *
 * The service's own pace is the mean over all samples: as a slow endpoint gets
 * less work it weighs less there.  What is believed of an endpoint fades, since
 * one that gets no work brings no samples: after some seconds it is tried
 * again.
 */
#include <math.h>

#include "pace.h"

#define ENDPOINT_WEIGHT 32 /* pieces: one or two answers */
#define SERVICE_WEIGHT 512 /* pieces: answers of some tens of endpoints */
#define SAMPLES_MIN 8 /* before a pace counts */
/* What load and chance do to sound endpoints stays below this. */
#define SLOW_FROM 1.5
#define SLOW_MAX 8.0
#define FADE_US 2e6 /* some usual answers' time */

static void
add(struct mu_pace *p, mu_us took, mu_us now, uint32_t weight)
{
	if (p->samples < weight)
		p->samples++;
	p->piece += (took - p->piece) / (mu_us)p->samples;
	p->at = now;
}

void
mu_pace_sample(
    struct mu_pace *endpoint, struct mu_pace *service, mu_us took, mu_us now)
{
	add(endpoint, took, now, ENDPOINT_WEIGHT);
	add(service, took, now, SERVICE_WEIGHT);
}

double
mu_pace_slow(
    const struct mu_pace *endpoint, const struct mu_pace *service, mu_us now)
{
	double ratio, age;

	if (endpoint->samples < SAMPLES_MIN || service->piece <= 0)
		return 1;
	ratio = (double)endpoint->piece / (double)service->piece;
	if (ratio < SLOW_FROM)
		return 1;
	if (ratio > SLOW_MAX)
		ratio = SLOW_MAX;
	age = (double)(now - endpoint->at);
	return 1 + (ratio - 1) * exp(-age / FADE_US);
}
