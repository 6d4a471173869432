/*
 * workload.h -- reads the workload file of the bench.
 */
#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

/* Log-normal distribution, limited to max; 0: no limit. */
struct dist {
	double median;
	double sigma;
	double max;
};

struct returns {
	double probability; /* of another visit after each one */
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
	double vanishes; /* share of visits abandoned by the program */
	double sub_agents; /* probability of starting one after a turn */
	unsigned non_repeatable_calls; /* tool calls; take no engine time */
};

/* A named mix of program classes. */
struct shape {
	char *name;
	uint64_t seed;
	char *weigh; /* weighs more: "wasted_cache" or "program_latency" */
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

/* How long a caller waits for a call to start. */
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

/* Prints a message and returns NULL on error. */
struct workload *workload_read(const char *path);
void workload_free(struct workload *w);
/* Finds a shape by name, or the first for NULL; NULL if there is none. */
const struct shape *workload_shape(const struct workload *w, const char *name);

#endif
