/*
 * check.h -- result tables of many runs and checks against the targets.
 */
#ifndef BENCH_CHECK_H
#define BENCH_CHECK_H

#include <stdbool.h>

enum measure {
	MEASURE_EXCESS,
	MEASURE_EXCESS_P95,
	MEASURE_MEAN,
	MEASURE_P95,
	MEASURE_URGENT_P95,
	MEASURE_WASTED,
	MEASURE_RECOMPUTED,
	MEASURE_HELD,
	MEASURE_FAIRNESS,
	MEASURE_OTHERS,
	MEASURE_REFUSALS,
	MEASURE_GIVEN_UP,
	MEASURE_ENDED,
	MEASURE_ARRIVED,
	MEASURE_NORMAL_ENDED,
	MEASURE_NORMAL_ARRIVED,
	MEASURE_SPREAD,
	MEASURE_COUNT
};

/* Results of one workload, load, fault and policy. */
struct cell {
	char name[64];
	char fault[32];
	char policy[32];
	double load;
	unsigned seeds;
	double mean[MEASURE_COUNT]; /* over the seeds, like low and high */
	double low[MEASURE_COUNT];
	double high[MEASURE_COUNT];
};

struct results {
	struct cell *cells;
	unsigned ncells;
};

struct tally {
	const char *known_failures_path; /* may be NULL */
	unsigned passed;
	unsigned failed;
	unsigned known_failures;
};

/* Reads JSON lines; prints a message and returns NULL on error. */
struct results *results_read(const char *path);
void results_free(struct results *r);
/* Returns NULL when no cell matches. */
struct cell *cell_find(struct results *r, const char *name, double load,
    const char *fault, const char *policy);
/* Checks the default policy against the targets; returns 1 if one failed. */
int results_check(struct results *r, struct tally *t);
/* Prints all cells as a Markdown table. */
void results_table(const struct results *r);

#endif
