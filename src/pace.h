/*
 * pace.h -- how much slower an endpoint is than its service.
 *
 * Pure: times of pieces of answers go in, a ratio comes out.
 */
#ifndef MU_PACE_H
#define MU_PACE_H

#include "musher.h"

/* Of one endpoint, or of all of a service. */
struct mu_pace {
	mu_us chunk_time; /* smoothed time of a piece of an answer */
	uint32_t samples; /* saturating */
	mu_us sampled_at; /* of the last sample */
};

/* An endpoint took so long for a piece. */
void mu_pace_sample(
    struct mu_pace *endpoint, struct mu_pace *service, mu_us took, mu_us now);
/* Time a piece over the service's; 1: as others, or not known. */
double mu_pace_slowdown(
    const struct mu_pace *endpoint, const struct mu_pace *service, mu_us now);

#endif
