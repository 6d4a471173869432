/*
 * metric.c -- counters, gauges and histograms of the daemon.
 *
 * Counters are striped over cache lines, so that threads on the request path
 * do not contend for one line; a read sums the stripes.  Bucket i of a
 * histogram has the upper bound 2^i microseconds, the last one has none.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "metric.h"

#define STRIPES 16
#define BUCKETS 32 /* the last one starts at about 18 minutes */

struct counter_stripe {
	_Alignas(64) uint64_t value[MU_M_COUNT];
};

struct histogram {
	uint64_t bucket[BUCKETS];
	uint64_t sum;
};

static struct counter_stripe stripes[STRIPES];
static struct histogram histograms[MU_H_COUNT];
static uint64_t gauges[MU_G_COUNT];
static unsigned next_stripe;
static __thread unsigned thread_stripe;

static const struct {
	const char *name;
	const char *help;
} counters[MU_M_COUNT] =
    {
#define X(sym, name, help) {name, help},
	MU_COUNTERS(X)
#undef X
},
  gauge_names[MU_G_COUNT] =
      {
#define X(sym, name, help) {name, help},
	  MU_GAUGES(X)
#undef X
},
  histogram_names[MU_H_COUNT] = {
#define X(sym, name, help) {name, help},
      MU_HISTOGRAMS(X)
#undef X
};

/* Index of this thread's stripe; thread_stripe is 0 until one is assigned. */
static unsigned
stripe_index(void)
{
	if (thread_stripe == 0)
		thread_stripe =
		    1 + __atomic_fetch_add(&next_stripe, 1, __ATOMIC_RELAXED) %
			    STRIPES;
	return thread_stripe - 1;
}

void
mu_count(enum mu_counter c, uint64_t n)
{
	__atomic_fetch_add(
	    &stripes[stripe_index()].value[c], n, __ATOMIC_RELAXED);
}

void
mu_gauge_set(enum mu_gauge g, uint64_t value)
{
	__atomic_store_n(&gauges[g], value, __ATOMIC_RELAXED);
}

uint64_t
mu_counter_value(enum mu_counter c)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < STRIPES; i++)
		sum += __atomic_load_n(&stripes[i].value[c], __ATOMIC_RELAXED);
	return sum;
}

/* Index of the first bucket whose upper bound is at least value. */
static int
bucket_index(mu_us value)
{
	int i = 0;

	while (i < BUCKETS - 1 && value > ((mu_us)1 << i))
		i++;
	return i;
}

void
mu_observe(enum mu_histogram h, mu_us value)
{
	struct histogram *g = &histograms[h];

	if (value < 0)
		value = 0;
	__atomic_fetch_add(
	    &g->bucket[bucket_index(value)], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&g->sum, (uint64_t)value, __ATOMIC_RELAXED);
}

static void
print_gauges(FILE *f)
{
	int i;

	for (i = 0; i < MU_G_COUNT; i++)
		fprintf(f, "# HELP mu_%s %s\n# TYPE mu_%s gauge\nmu_%s %llu\n",
		    gauge_names[i].name, gauge_names[i].help,
		    gauge_names[i].name, gauge_names[i].name,
		    (unsigned long long)__atomic_load_n(
			&gauges[i], __ATOMIC_RELAXED));
}

static void
print_histogram(FILE *f, int h)
{
	const char *name = histogram_names[h].name;
	uint64_t total = 0;
	int i;

	fprintf(f, "# HELP mu_%s %s\n# TYPE mu_%s histogram\n", name,
	    histogram_names[h].help, name);
	for (i = 0; i < BUCKETS; i++) {
		total +=
		    __atomic_load_n(&histograms[h].bucket[i], __ATOMIC_RELAXED);
		if (i < BUCKETS - 1)
			fprintf(f, "mu_%s_bucket{le=\"%.6f\"} %llu\n", name,
			    (double)((mu_us)1 << i) / MU_US_PER_S,
			    (unsigned long long)total);
	}
	fprintf(f, "mu_%s_bucket{le=\"+Inf\"} %llu\n", name,
	    (unsigned long long)total);
	fprintf(f, "mu_%s_sum %.6f\nmu_%s_count %llu\n", name,
	    (double)__atomic_load_n(&histograms[h].sum, __ATOMIC_RELAXED) /
		MU_US_PER_S,
	    name, (unsigned long long)total);
}

char *
mu_metrics_text(void)
{
	char *text = NULL;
	size_t size = 0;
	FILE *f = open_memstream(&text, &size);
	int i;

	if (f == NULL)
		return NULL;
	for (i = 0; i < MU_M_COUNT; i++)
		fprintf(f,
		    "# HELP mu_%s %s\n# TYPE mu_%s counter\nmu_%s %llu\n",
		    counters[i].name, counters[i].help, counters[i].name,
		    counters[i].name, (unsigned long long)mu_counter_value(i));
	print_gauges(f);
	for (i = 0; i < MU_H_COUNT; i++)
		print_histogram(f, i);
	if (fclose(f) != 0) {
		free(text);
		return NULL;
	}
	return text;
}
