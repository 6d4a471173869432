/*
 * workload.c -- reads the workload file with libcyaml and its schema.
 *
 * Unknown keys are ignored, so that files written for other tools load.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cyaml/cyaml.h>

#include "workload.h"

#define CALLERS_DEFAULT 12
#define DOMAINS_DEFAULT 3
#define URGENT_PATIENCE_S 30
#define NORMAL_PATIENCE_S 120

#define OPTIONAL CYAML_FLAG_OPTIONAL
#define REQUIRED CYAML_FLAG_DEFAULT

static const cyaml_schema_field_t dist_fields[] = {
    CYAML_FIELD_FLOAT("median", REQUIRED, struct dist, median),
    CYAML_FIELD_FLOAT("sigma", REQUIRED, struct dist, sigma),
    CYAML_FIELD_FLOAT("max", OPTIONAL, struct dist, max),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t returns_fields[] = {
    CYAML_FIELD_FLOAT("probability", REQUIRED, struct returns, probability),
    CYAML_FIELD_MAPPING("after", REQUIRED, struct returns, after, dist_fields),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t prog_class_fields[] = {
    CYAML_FIELD_STRING_PTR(
	"name", CYAML_FLAG_POINTER, struct prog_class, name, 1, 64),
    CYAML_FIELD_FLOAT("share", REQUIRED, struct prog_class, share),
    CYAML_FIELD_BOOL("urgent", OPTIONAL, struct prog_class, urgent),
    CYAML_FIELD_MAPPING(
	"turns", REQUIRED, struct prog_class, turns, dist_fields),
    CYAML_FIELD_MAPPING(
	"prompt", REQUIRED, struct prog_class, prompt, dist_fields),
    CYAML_FIELD_MAPPING(
	"added", REQUIRED, struct prog_class, added, dist_fields),
    CYAML_FIELD_MAPPING(
	"output", REQUIRED, struct prog_class, output, dist_fields),
    CYAML_FIELD_MAPPING(
	"pause", REQUIRED, struct prog_class, pause, dist_fields),
    CYAML_FIELD_MAPPING(
	"returns", OPTIONAL, struct prog_class, returns, returns_fields),
    CYAML_FIELD_FLOAT("vanishes", OPTIONAL, struct prog_class, vanishes),
    CYAML_FIELD_FLOAT("sub_agents", OPTIONAL, struct prog_class, sub_agents),
    CYAML_FIELD_UINT("non_repeatable_calls", OPTIONAL, struct prog_class,
	non_repeatable_calls),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t prog_class_value = {
    CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct prog_class, prog_class_fields),
};

static const cyaml_schema_field_t shape_fields[] = {
    CYAML_FIELD_STRING_PTR(
	"name", CYAML_FLAG_POINTER, struct shape, name, 1, 64),
    CYAML_FIELD_UINT("seed", REQUIRED, struct shape, seed),
    CYAML_FIELD_STRING_PTR("weigh", CYAML_FLAG_POINTER_NULL | OPTIONAL,
	struct shape, weigh, 0, 64),
    CYAML_FIELD_SEQUENCE_COUNT("classes", CYAML_FLAG_POINTER, struct shape,
	classes, nclasses, &prog_class_value, 1, 64),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t shape_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct shape, shape_fields),
};

static const cyaml_schema_field_t engine_fields[] = {
    CYAML_FIELD_UINT("count", REQUIRED, struct engine_conf, count),
    CYAML_FIELD_FLOAT("prefill_tokens_per_s", REQUIRED, struct engine_conf,
	prefill_tokens_per_s),
    CYAML_FIELD_FLOAT("step_s", REQUIRED, struct engine_conf, step_s),
    CYAML_FIELD_FLOAT("step_per_sequence_s", REQUIRED, struct engine_conf,
	step_per_sequence_s),
    CYAML_FIELD_UINT(
	"prefill_chunk", REQUIRED, struct engine_conf, prefill_chunk),
    CYAML_FIELD_UINT("max_batch", REQUIRED, struct engine_conf, max_batch),
    CYAML_FIELD_UINT(
	"cache_tokens", REQUIRED, struct engine_conf, cache_tokens),
    CYAML_FIELD_FLOAT(
	"report_lag_s", REQUIRED, struct engine_conf, report_lag_s),
    CYAML_FIELD_FLOAT("event_lag_s", OPTIONAL, struct engine_conf, event_lag_s),
    CYAML_FIELD_FLOAT("event_loss", OPTIONAL, struct engine_conf, event_loss),
    CYAML_FIELD_FLOAT("transfer_tokens_per_s", OPTIONAL, struct engine_conf,
	transfer_tokens_per_s),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t patience_fields[] = {
    CYAML_FIELD_FLOAT("urgent", REQUIRED, struct patience, urgent),
    CYAML_FIELD_FLOAT("normal", REQUIRED, struct patience, normal),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t budget_fields[] = {
    CYAML_FIELD_UINT("tokens", REQUIRED, struct budget, tokens),
    CYAML_FIELD_UINT("calls", REQUIRED, struct budget, calls),
    CYAML_FIELD_FLOAT("seconds", REQUIRED, struct budget, seconds),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t load_value = {
    CYAML_VALUE_FLOAT(CYAML_FLAG_DEFAULT, double),
};

static const cyaml_schema_field_t workload_fields[] = {
    CYAML_FIELD_MAPPING(
	"engine", REQUIRED, struct workload, engine, engine_fields),
    CYAML_FIELD_UINT("daemons", REQUIRED, struct workload, daemons),
    CYAML_FIELD_UINT("callers", OPTIONAL, struct workload, callers),
    CYAML_FIELD_UINT("domains", OPTIONAL, struct workload, domains),
    CYAML_FIELD_MAPPING(
	"patience", OPTIONAL, struct workload, patience, patience_fields),
    CYAML_FIELD_SEQUENCE_COUNT("workloads", CYAML_FLAG_POINTER, struct workload,
	workloads, nworkloads, &shape_value, 1, 64),
    CYAML_FIELD_SEQUENCE_COUNT("loads", CYAML_FLAG_POINTER | OPTIONAL,
	struct workload, loads, nloads, &load_value, 0, 64),
    CYAML_FIELD_MAPPING(
	"budget", OPTIONAL, struct workload, budget, budget_fields),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t workload_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct workload, workload_fields),
};

static const cyaml_config_t config = {
    .log_fn = cyaml_log,
    .mem_fn = cyaml_mem,
    .log_level = CYAML_LOG_ERROR,
    .flags = CYAML_CFG_IGNORE_UNKNOWN_KEYS,
};

static void
set_defaults(struct workload *w)
{
	if (w->callers == 0)
		w->callers = CALLERS_DEFAULT;
	if (w->domains == 0)
		w->domains = DOMAINS_DEFAULT;
	if (w->patience.urgent <= 0)
		w->patience.urgent = URGENT_PATIENCE_S;
	if (w->patience.normal <= 0)
		w->patience.normal = NORMAL_PATIENCE_S;
}

struct workload *
workload_read(const char *path)
{
	struct workload *w = NULL;
	cyaml_err_t err;

	err = cyaml_load_file(
	    path, &config, &workload_value, (cyaml_data_t **)&w, NULL);
	if (err != CYAML_OK) {
		fprintf(stderr, "%s: %s\n", path, cyaml_strerror(err));
		return NULL;
	}
	set_defaults(w);
	return w;
}

void
workload_free(struct workload *w)
{
	cyaml_free(&config, &workload_value, w, 0);
}

const struct shape *
workload_shape(const struct workload *w, const char *name)
{
	for (unsigned i = 0; i < w->nworkloads; i++)
		if (name == NULL || strcmp(w->workloads[i].name, name) == 0)
			return &w->workloads[i];
	return NULL;
}
