/*
 * workload.h -- the workload file of the bench, read with libcyaml.
 */
#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

/* Log-normal distribution; max cuts it off, 0: no cut. */
struct dist {
	double median;
	double sigma;
	double max;
};

struct returns {
	double probability; /* of another visit after the end of one */
	struct dist after; /* seconds */
};

struct prog_class {
	char *name;
	double share; /* of the arriving programs */
	bool urgent;
	struct dist turns;
	struct dist prompt;
	struct dist added;
	struct dist output;
	struct dist pause; /* seconds */
	struct returns returns;
	double vanishes; /* share that stops in the middle */
	double sub_agents; /* chance for each turn */
	unsigned non_repeatable_calls; /* calls of tools; no engine time */
};

struct shape {
	char *name;
	uint64_t seed;
	char *weigh; /* "wasted_cache" or "program_latency" */
	struct prog_class *classes;
	unsigned nclasses;
};

struct engine_conf {
	unsigned count;
	double prefill_tokens_per_s;
	double step_s;
	double step_per_sequence_s;
	unsigned prefill_chunk;
	unsigned max_batch;
	uint64_t cache_tokens;
	double report_lag_s;
	double event_lag_s;
	double event_loss;
	double transfer_tokens_per_s;
};

struct patience {
	double urgent; /* seconds */
	double normal;
};

struct budget {
	uint64_t tokens;
	unsigned calls;
	double seconds;
};

struct workload {
	struct engine_conf engine;
	unsigned daemons;
	unsigned callers;
	unsigned domains;
	struct patience patience;
	struct shape *workloads;
	unsigned nworkloads;
	double *loads;
	unsigned nloads;
	struct budget budget;
};

/* NULL, with a message on stderr, when the file can't be read. */
struct workload *workload_read(const char *path);
void workload_free(struct workload *w);
/* The shape of that name, the first for NULL; NULL when there is none. */
const struct shape *workload_shape(const struct workload *w, const char *name);

#endif
