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
#define SLOWDOWN_MIN 1.5
#define SLOWDOWN_MAX 8.0
#define SLOWDOWN_DECAY_US 2e6 /* some usual answers' time */

static void
add_sample(struct mu_pace *p, mu_us took, mu_us now, uint32_t weight)
{
	if (p->samples < weight)
		p->samples++;
	p->chunk_time += (took - p->chunk_time) / (mu_us)p->samples;
	p->sampled_at = now;
}

void
mu_pace_sample(
    struct mu_pace *endpoint, struct mu_pace *service, mu_us took, mu_us now)
{
	add_sample(endpoint, took, now, ENDPOINT_WEIGHT);
	add_sample(service, took, now, SERVICE_WEIGHT);
}

double
mu_pace_slowdown(
    const struct mu_pace *endpoint, const struct mu_pace *service, mu_us now)
{
	double ratio, age;

	if (endpoint->samples < SAMPLES_MIN || service->chunk_time <= 0)
		return 1;
	ratio = (double)endpoint->chunk_time / (double)service->chunk_time;
	if (ratio < SLOWDOWN_MIN)
		return 1;
	if (ratio > SLOWDOWN_MAX)
		ratio = SLOWDOWN_MAX;
	age = (double)(now - endpoint->sampled_at);
	return 1 + (ratio - 1) * exp(-age / SLOWDOWN_DECAY_US);
}
