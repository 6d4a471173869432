/*
 * pace.c -- estimates how much slower an endpoint is than its service.
 *
 * Some endpoints run at a fifth of the others' speed for seconds while a burst
 * fills all of them.  They answer, so their health is good, and their load is
 * no higher; only the time between the chunks of their answers shows it.  Each
 * chunk is a sample, so one or two answers are enough.
 *
 * The service's average covers all samples, so a slow endpoint weighs less as
 * it gets less work.  An endpoint without work yields no samples, so its
 * slowdown decays, and after some seconds it is tried again.
 */
#include <math.h>

#include "pace.h"

/* Averages cover about this many chunks. */
#define ENDPOINT_WEIGHT 32 /* one or two answers */
#define SERVICE_WEIGHT 512 /* answers of some tens of endpoints */
#define SAMPLES_MIN 8 /* before an endpoint's average is used */
/* Load and chance keep healthy endpoints below this ratio. */
#define SLOWDOWN_MIN 1.5
#define SLOWDOWN_MAX 8.0
#define SLOWDOWN_DECAY_US 2e6 /* duration of a few typical answers */

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
