/*
 * hist.c -- latency histogram with logarithmic buckets.
 *
 * Each value below 16 us has its own bucket; above, each octave has 16.  The
 * bucket index consists of the exponent and the four bits after the leading
 * one, so insertion needs no search and the relative error is uniform.
 */
#include "hist.h"

#define SUB_BUCKETS ((uint64_t)1 << HIST_SUB_BITS)

static unsigned
bucket_index(mu_us us)
{
	uint64_t v = us > 0 ? (uint64_t)us : 0;
	unsigned exponent, index;

	if (v < SUB_BUCKETS)
		return (unsigned)v;
	exponent = 63 - (unsigned)__builtin_clzll(v) - HIST_SUB_BITS;
	index = (unsigned)((exponent + 1) << HIST_SUB_BITS) +
		(unsigned)((v >> exponent) & (SUB_BUCKETS - 1));
	return index < HIST_BUCKETS ? index : HIST_BUCKETS - 1;
}

/* Largest value of bucket i. */
static mu_us
bucket_max(unsigned i)
{
	unsigned exponent = i >> HIST_SUB_BITS;
	uint64_t sub = i & (SUB_BUCKETS - 1);

	if (exponent == 0)
		return (mu_us)sub;
	return (mu_us)(((SUB_BUCKETS + sub + 1) << (exponent - 1)) - 1);
}

void
hist_add(struct hist *h, mu_us us)
{
	h->count[bucket_index(us)]++;
	h->n++;
	h->sum += us;
	if (us > h->max)
		h->max = us;
}

mu_us
hist_quantile(const struct hist *h, double q)
{
	uint64_t cumulative = 0;
	mu_us upper;
	unsigned i;

	for (i = 0; i < HIST_BUCKETS; i++) {
		cumulative += h->count[i];
		if (h->n > 0 && (double)cumulative >= q * (double)h->n) {
			upper = bucket_max(i);
			return upper < h->max ? upper : h->max;
		}
	}
	return 0;
}

mu_us
hist_mean(const struct hist *h)
{
	return h->n > 0 ? h->sum / (mu_us)h->n : 0;
}

void
hist_write(const struct hist *h, FILE *f)
{
	uint64_t cumulative = 0;
	unsigned i;

	for (i = 0; i < HIST_BUCKETS; i++) {
		if (h->count[i] == 0)
			continue;
		cumulative += h->count[i];
		(void)fprintf(f, "%.3f %.6f\n",
		    (double)bucket_max(i) / (double)MU_US_PER_MS,
		    (double)cumulative / (double)h->n);
	}
}
