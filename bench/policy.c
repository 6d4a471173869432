/*
 * policy.c -- runs simulations and prints or checks their results.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "replay.h"
#include "sim.h"

#define WARM_S 1800.0
#define RUN_S 3600.0

const char *argp_program_version = "policy " MU_VERSION;

struct args {
	const char *workload;
	const char *name;
	const char *policy;
	const char *fault;
	double load;
	uint64_t seed;
	double warmup_s;
	double run_s;
	double lag_s;
	double transfer;
	const char *check_path;
	const char *table_path;
	const char *known_failures_path;
	const char *replay_path;
	double step_ms;
	unsigned batch;
	bool json;
};

enum {
	KEY_WARM = 256,
	KEY_RUN,
	KEY_LAG,
	KEY_TRANSFER,
	KEY_CHECK,
	KEY_TABLE,
	KEY_KNOWN,
	KEY_REPLAY,
	KEY_STEP,
	KEY_BATCH
};

static const struct argp_option options[] = {
    {"workload", 'w', "FILE", 0, "workload file", 0},
    {"name", 'n', "N", 0, "workload in the file (default: the first)", 0},
    {"load", 'l', "X", 0, "load; 1 keeps all batches full (default: 0.8)", 0},
    {"fault", 'f', "F", 0,
	"none, engine-lost, domain-lost, engine-slow, reports-frozen, flood",
	0},
    {"policy", 'p', "P", 0,
	"comma-separated: musher, rr, least, sticky, fcfs, bound, ...", 0},
    {"seed", 's', "S", 0, "seed (default: the workload's)", 0},
    {"warm", KEY_WARM, "SECONDS", 0, "simulated time before measuring", 0},
    {"run", KEY_RUN, "SECONDS", 0, "simulated time measured", 0},
    {"lag", KEY_LAG, "SECONDS", 0, "lag of load reports (default: the file's)",
	0},
    {"transfer", KEY_TRANSFER, "TOKENS", 0,
	"export and import rate, tokens/s (default: the file's)", 0},
    {"check", KEY_CHECK, "RESULTS", 0,
	"check results (JSON lines) against the targets", 0},
    {"table", KEY_TABLE, "RESULTS", 0, "print results as a table", 0},
    {"known", KEY_KNOWN, "FILE", 0, "list of checks that are known to fail", 0},
    {"replay", KEY_REPLAY, "FILE", 0, "replay calls recorded by calibrate", 0},
    {"step", KEY_STEP, "MS", 0, "step time of the recorded engine", 0},
    {"batch", KEY_BATCH, "N", 0, "batch size of the recorded engine", 0},
    {"json", 'j', NULL, 0, "print one line of JSON per policy", 0}, {0}};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case 'w':
		a->workload = arg;
		break;
	case 'n':
		a->name = arg;
		break;
	case 'l':
		a->load = strtod(arg, NULL);
		break;
	case 'f':
		a->fault = arg;
		break;
	case 'p':
		a->policy = arg;
		break;
	case 's':
		a->seed = strtoull(arg, NULL, 10);
		break;
	case KEY_WARM:
		a->warmup_s = strtod(arg, NULL);
		break;
	case KEY_RUN:
		a->run_s = strtod(arg, NULL);
		break;
	case KEY_LAG:
		a->lag_s = strtod(arg, NULL);
		break;
	case KEY_TRANSFER:
		a->transfer = strtod(arg, NULL);
		break;
	case KEY_CHECK:
		a->check_path = arg;
		break;
	case KEY_TABLE:
		a->table_path = arg;
		break;
	case KEY_KNOWN:
		a->known_failures_path = arg;
		break;
	case KEY_REPLAY:
		a->replay_path = arg;
		break;
	case KEY_STEP:
		a->step_ms = strtod(arg, NULL);
		break;
	case KEY_BATCH:
		a->batch = (unsigned)strtoul(arg, NULL, 10);
		break;
	case 'j':
		a->json = true;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = {.options = options,
    .parser = parse,
    .doc = "Simulates scheduling policies and prints the results."};

/* Fills *c from the arguments; prints a message and returns false on error. */
static bool
configure(const struct args *a, struct workload *w, const char *policy,
    struct sim_conf *c)
{
	int fault = fault_find(a->fault);

	c->workload = w;
	c->shape = workload_shape(w, a->name);
	c->policy = policy_find(policy);
	if (c->shape == NULL || c->policy == NULL || fault < 0 ||
	    a->load <= 0 || w->engine.count > ENGINES_MAX) {
		fputs(
		    "unknown workload, policy or fault, load not positive, or "
		    "too many engines\n",
		    stderr);
		return false;
	}
	c->fault = (enum fault)fault;
	c->load = a->load;
	c->seed = a->seed != 0 ? a->seed : c->shape->seed;
	c->warmup_s = a->warmup_s;
	c->run_s = a->run_s;
	if (a->lag_s >= 0)
		w->engine.report_lag_s = a->lag_s;
	if (a->transfer > 0)
		w->engine.transfer_tokens_per_s = a->transfer;
	return true;
}

/* Runs each policy of the comma-separated list and compares it with bound. */
static int
run_all(const struct args *a, struct workload *w)
{
	struct sim_conf conf, bound_conf;
	struct sim bound, sim;
	char *names = strdup(a->policy);
	char *save = NULL;
	int status = 0;

	if (names == NULL || !configure(a, w, "bound", &bound_conf)) {
		free(names);
		return 1;
	}
	sim_init(&bound, &bound_conf);
	sim_run(&bound);
	for (char *name = strtok_r(names, ",", &save); name != NULL;
	     name = strtok_r(NULL, ",", &save)) {
		if (!configure(a, w, name, &conf)) {
			status = 1;
			break;
		}
		sim_init(&sim, &conf);
		sim_run(&sim);
		stat_compare(&sim, &bound.stat);
		stat_print(&sim, a->json);
		sim_free(&sim);
	}
	sim_free(&bound);
	free(names);
	return status;
}

static int
report_results(const struct args *a)
{
	struct tally t = {.known_failures_path = a->known_failures_path};
	struct results *r =
	    results_read(a->check_path ? a->check_path : a->table_path);
	int status = 0;

	if (r == NULL)
		return 1;
	if (a->table_path != NULL)
		results_table(r);
	if (a->check_path != NULL) {
		status = results_check(r, &t);
		printf("policy: %u passed, %u failed, %u known red\n", t.passed,
		    t.failed, t.known_failures);
	}
	results_free(r);
	return status;
}

int
main(int argc, char **argv)
{
	struct args a = {.workload = "bench/workloads.yaml",
	    .policy = "musher",
	    .fault = "none",
	    .load = 0.8,
	    .warmup_s = WARM_S,
	    .run_s = RUN_S,
	    .lag_s = -1};
	struct workload *w;
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (a.check_path != NULL || a.table_path != NULL)
		return report_results(&a);
	w = workload_read(a.workload);
	if (w == NULL)
		return 1;
	if (a.replay_path != NULL)
		status = replay(w, a.replay_path, a.step_ms / 1e3, a.batch);
	else
		status = run_all(&a, w);
	workload_free(w);
	return status;
}
