/*
 * hist.h -- latency histogram with logarithmic buckets.
 */
#ifndef MU_LOAD_HIST_H
#define MU_LOAD_HIST_H

#include <stdio.h>

#include "musher.h"

#define HIST_SUB_BITS 4 /* 16 buckets per octave: 1/16 relative error */
#define HIST_OCTAVES 40 /* up to 2^40 us, 12 days */
#define HIST_BUCKETS (HIST_OCTAVES << HIST_SUB_BITS)

struct hist {
	uint64_t count[HIST_BUCKETS];
	uint64_t n;
	mu_us sum;
	mu_us max;
};

void hist_add(struct hist *h, mu_us us);
/* Upper bound of the bucket that holds quantile q, 0 to 1. */
mu_us hist_quantile(const struct hist *h, double q);
mu_us hist_mean(const struct hist *h);
/* Writes the CDF for a plot: lines "milliseconds fraction-at-or-below". */
void hist_write(const struct hist *h, FILE *f);

#endif
