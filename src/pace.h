/*
 * pace.h -- estimates how much slower an endpoint is than its service.
 *
 * Pure: the input is the time of each chunk of an answer, the output a ratio.
 * A chunk is an event of a stream, or a whole answer that is not streamed.
 */
#ifndef MU_PACE_H
#define MU_PACE_H

#include "musher.h"

/* Chunk time of one endpoint, or of all endpoints of a service. */
struct mu_pace {
	mu_us chunk_time; /* smoothed average */
	uint32_t samples; /* saturates at the weight, see pace.c */
	mu_us sampled_at; /* time of the last sample */
};

/* Records that the endpoint took this long for a chunk. */
void mu_pace_sample(
    struct mu_pace *endpoint, struct mu_pace *service, mu_us took, mu_us now);
/* Ratio of the endpoint's chunk time to the service's; 1 if it is within the
 * normal spread or not known. */
double mu_pace_slowdown(
    const struct mu_pace *endpoint, const struct mu_pace *service, mu_us now);

#endif
