/*
 * text.c -- parsing of the services text.
 *
 * libcyaml fills struct raw_text, in which every optional field is a pointer
 * (NULL: absent).  textcheck.c checks the text only after conversion, as the
 * defaults have to pass the checks too.  The integers of limits, timeouts and
 * budgets are declared in one X macro each, which generates the structure,
 * schema, range check, default and reference entry.
 */
#include <cyaml/cyaml.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "text.h"
#include "textcheck.h"
#include "yamlerr.h"

#define TEXT_MAX_BYTES ((size_t)256 * 1024)
#define NAME_LIST_MAX 256 /* domains, dependencies or operations */
#define PATH_BYTES 96
#define PREFIX_BYTES 32 /* "services[N]." */

#define DEFAULT_CONCURRENCY 16
#define DEFAULT_QUEUE 256
#define DEFAULT_CALLER_CONCURRENCY 32
#define DEFAULT_CONNECT_MS 500
#define DEFAULT_FIRST_BYTE_MS 10000
#define DEFAULT_IDLE_MS 5000
#define DEFAULT_TOTAL_MS 120000
#define DEFAULT_RETAIN_IDLE_MS 300000
#define DEFAULT_RETRY_BUDGET 0.2
#define DEFAULT_WEIGHT 1
#define DEFAULT_BUDGET_TOKENS 4000000
#define DEFAULT_BUDGET_CALLS 1000
#define DEFAULT_BUDGET_SECONDS 2592000 /* 30 days */

#define WEIGHT_MAX 1000
#define RETAIN_IDLE_MAX_MS 3600000

/* X(field, default, minimum, maximum) */
#define LIMITS(X) \
	X(concurrency, DEFAULT_CONCURRENCY, 1, 65536) \
	X(queue, DEFAULT_QUEUE, 0, 65536) \
	X(caller_concurrency, DEFAULT_CALLER_CONCURRENCY, 1, 65536)
#define TIMEOUTS(X) \
	X(connect_ms, DEFAULT_CONNECT_MS, 1, 60000) \
	X(first_byte_ms, DEFAULT_FIRST_BYTE_MS, 1, 3600000) \
	X(idle_ms, DEFAULT_IDLE_MS, 1, 3600000) \
	X(total_ms, DEFAULT_TOTAL_MS, 1, 3600000)
#define BUDGETS(X) \
	X(tokens, DEFAULT_BUDGET_TOKENS, 1, 1000000000000) \
	X(calls, DEFAULT_BUDGET_CALLS, 1, 1000000000000) \
	X(seconds, DEFAULT_BUDGET_SECONDS, 1, 1000000000000)

#define NUMBER_MEMBER(f, def, lo, hi) uint64_t *f;
struct raw_limits {
	LIMITS(NUMBER_MEMBER)
};
struct raw_timeouts {
	TIMEOUTS(NUMBER_MEMBER)
};
struct raw_budget {
	BUDGETS(NUMBER_MEMBER)
};
struct raw_weights {
	double *program_latency;
	double *wasted_cache;
};

enum yaml_bool {
	YAML_FALSE,
	YAML_TRUE
};

struct raw_service {
	char *name;
	enum mu_service_kind kind;
	char *model;
	char *region;
	char **places;
	unsigned nplaces;
	char **depends_on;
	unsigned ndepends_on;
	enum mu_fencing *fencing;
	enum yaml_bool *repeatable;
	char **repeatable_operations;
	unsigned nrepeatable_operations;
	enum yaml_bool *urgent;
	struct raw_limits *limits;
	struct raw_timeouts *timeouts;
	uint64_t *retain_idle_ms;
	double *retry_budget;
};

struct raw_text {
	struct raw_service *services;
	unsigned nservices;
	struct raw_weights *weights;
	struct raw_budget *budget;
};

#define OPTIONAL (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)

#define LIMIT_FIELD(f, def, lo, hi) \
	CYAML_FIELD_UINT_PTR(#f, OPTIONAL, struct raw_limits, f),
static const cyaml_schema_field_t limits_fields[] = {
    LIMITS(LIMIT_FIELD) CYAML_FIELD_END};

#define TIMEOUT_FIELD(f, def, lo, hi) \
	CYAML_FIELD_UINT_PTR(#f, OPTIONAL, struct raw_timeouts, f),
static const cyaml_schema_field_t timeouts_fields[] = {
    TIMEOUTS(TIMEOUT_FIELD) CYAML_FIELD_END};

#define BUDGET_FIELD(f, def, lo, hi) \
	CYAML_FIELD_UINT_PTR(#f, OPTIONAL, struct raw_budget, f),
static const cyaml_schema_field_t budget_fields[] = {
    BUDGETS(BUDGET_FIELD) CYAML_FIELD_END};

static const cyaml_schema_field_t weights_fields[] = {
    CYAML_FIELD_FLOAT_PTR(
	"program_latency", OPTIONAL, struct raw_weights, program_latency),
    CYAML_FIELD_FLOAT_PTR(
	"wasted_cache", OPTIONAL, struct raw_weights, wasted_cache),
    CYAML_FIELD_END};

static const cyaml_strval_t kinds[] = {
    {"model", MU_SERVICE_MODEL}, {"plain", MU_SERVICE_PLAIN}};
static const cyaml_strval_t fencings[] = {
    {"ignored", MU_FENCING_IGNORED}, {"honoured", MU_FENCING_HONOURED}};
/* libcyaml accepts any word as a boolean; only YAML's two are allowed here. */
static const cyaml_strval_t yaml_bools[] = {
    {"false", YAML_FALSE}, {"true", YAML_TRUE}};

static const cyaml_schema_value_t name_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char *, 1, MU_NAME_LEN - 1)};

#define NAMES_FIELD(f, flags, min_count) \
	CYAML_FIELD_SEQUENCE_COUNT(#f, CYAML_FLAG_POINTER | (flags), \
	    struct raw_service, f, n##f, &name_schema, min_count, \
	    NAME_LIST_MAX)

static const cyaml_schema_field_t service_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct raw_service, name,
	1, MU_NAME_LEN - 1),
    CYAML_FIELD_ENUM(
	"kind", CYAML_FLAG_STRICT, struct raw_service, kind, kinds, 2),
    CYAML_FIELD_STRING_PTR(
	"model", OPTIONAL, struct raw_service, model, 1, MU_NAME_LEN - 1),
    CYAML_FIELD_STRING_PTR("region", CYAML_FLAG_POINTER, struct raw_service,
	region, 1, MU_NAME_LEN - 1),
    NAMES_FIELD(places, 0, 1), NAMES_FIELD(depends_on, CYAML_FLAG_OPTIONAL, 0),
    CYAML_FIELD_ENUM_PTR("fencing", OPTIONAL | CYAML_FLAG_STRICT,
	struct raw_service, fencing, fencings, 2),
    CYAML_FIELD_ENUM_PTR("repeatable", OPTIONAL | CYAML_FLAG_STRICT,
	struct raw_service, repeatable, yaml_bools, 2),
    NAMES_FIELD(repeatable_operations, CYAML_FLAG_OPTIONAL, 0),
    CYAML_FIELD_ENUM_PTR("urgent", OPTIONAL | CYAML_FLAG_STRICT,
	struct raw_service, urgent, yaml_bools, 2),
    CYAML_FIELD_MAPPING_PTR(
	"limits", OPTIONAL, struct raw_service, limits, limits_fields),
    CYAML_FIELD_MAPPING_PTR(
	"timeouts", OPTIONAL, struct raw_service, timeouts, timeouts_fields),
    CYAML_FIELD_UINT_PTR(
	"retain_idle_ms", OPTIONAL, struct raw_service, retain_idle_ms),
    CYAML_FIELD_FLOAT_PTR(
	"retry_budget", OPTIONAL, struct raw_service, retry_budget),
    CYAML_FIELD_END};

static const cyaml_schema_value_t service_schema = {CYAML_VALUE_MAPPING(
    CYAML_FLAG_DEFAULT, struct raw_service, service_fields)};

static const cyaml_schema_field_t raw_fields[] = {
    CYAML_FIELD_SEQUENCE_COUNT("services", CYAML_FLAG_POINTER, struct raw_text,
	services, nservices, &service_schema, 1, MU_SERVICES_MAX),
    CYAML_FIELD_MAPPING_PTR(
	"weights", OPTIONAL, struct raw_text, weights, weights_fields),
    CYAML_FIELD_MAPPING_PTR(
	"budget", OPTIONAL, struct raw_text, budget, budget_fields),
    CYAML_FIELD_END};

static const cyaml_schema_value_t raw_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct raw_text, raw_fields)};

#define STR_(x) #x
#define STR(x) STR_(x)

#define LIMIT_DOC(f, def, lo, hi) \
	{"services[].limits." #f, "an integer " #lo " to " #hi, STR(def)},
#define TIMEOUT_DOC(f, def, lo, hi) \
	{"services[].timeouts." #f, "an integer " #lo " to " #hi, STR(def)},
#define BUDGET_DOC(f, def, lo, hi) \
	{"budget." #f, "an integer " #lo " to " #hi, STR(def)},

static const struct mu_schema_field fields[] = {
    {"services", "a list of 1 to " STR(MU_SERVICES_MAX), "required"},
    {"services[].name", MU_NAME_EXPECTED, "required"},
    {"services[].kind", "model or plain", "required"},
    {"services[].model", MU_NAME_EXPECTED "; kind model only", ""},
    {"services[].region", MU_NAME_EXPECTED, "required"},
    {"services[].places", "a list of names, at least 1", "required"},
    {"services[].depends_on", "a list of services of this text", "[]"},
    {"services[].fencing", "ignored or honoured", "ignored"},
    {"services[].repeatable", "true or false", "model: true, plain: false"},
    {"services[].repeatable_operations",
	"a list of operations; kind plain only", "[]"},
    {"services[].urgent", "true or false", "false"},
    {"services[].limits", "a mapping", ""},
    LIMITS(LIMIT_DOC){"services[].timeouts", "a mapping", ""},
    TIMEOUTS(TIMEOUT_DOC){"services[].retain_idle_ms",
	"an integer 0 to " STR(RETAIN_IDLE_MAX_MS),
	STR(DEFAULT_RETAIN_IDLE_MS)},
    {"services[].retry_budget", "a number 0 to 1", STR(DEFAULT_RETRY_BUDGET)},
    {"weights", "a mapping", ""},
    {"weights.program_latency", "a number 0 to " STR(WEIGHT_MAX),
	STR(DEFAULT_WEIGHT)},
    {"weights.wasted_cache", "a number 0 to " STR(WEIGHT_MAX),
	STR(DEFAULT_WEIGHT)},
    {"budget", "a mapping", ""}, BUDGETS(BUDGET_DOC){NULL, NULL, NULL}};

const struct mu_schema_field *
mu_text_fields(void)
{
	return fields;
}

static int
out_of_memory(struct mu_error *e)
{
	return mu_fail(e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "out of memory");
}

/* Stores a number or its default in *to and checks its range. */
static int
convert_integer(const char *prefix, const char *field, const uint64_t *raw,
    uint64_t def, uint64_t lo, uint64_t hi, uint64_t *to, struct mu_error *e)
{
	char path[PATH_BYTES];
	uint64_t n = raw != NULL ? *raw : def;

	*to = n;
	if (n >= lo && n <= hi)
		return 0;
	(void)snprintf(path, sizeof(path), "%s%s", prefix, field);
	return mu_yaml_fail(e, path,
	    "%" PRIu64 "; expected an integer %" PRIu64 " to %" PRIu64, n, lo,
	    hi);
}

/* As convert_integer(), from 0 to hi; NaN fails both comparisons. */
static int
convert_fraction(const char *prefix, const char *field, const double *raw,
    double def, double hi, double *to, struct mu_error *e)
{
	char path[PATH_BYTES];

	*to = raw != NULL ? *raw : def;
	if (*to >= 0 && *to <= hi)
		return 0;
	(void)snprintf(path, sizeof(path), "%s%s", prefix, field);
	return mu_yaml_fail(e, path, "%g; expected a number 0 to %g", *to, hi);
}

static int
convert_limits(const char *prefix, const struct raw_limits *r,
    struct mu_limits *l, struct mu_error *e)
{
	static const struct raw_limits none;
	uint64_t n;
	int rc = 0;

	if (r == NULL)
		r = &none;
#define X(f, def, lo, hi) \
	if (rc == 0) { \
		rc = convert_integer( \
		    prefix, "limits." #f, r->f, def, lo, hi, &n, e); \
		l->f = (uint32_t)n; \
	}
	LIMITS(X)
#undef X
	return rc;
}

static int
convert_timeouts(const char *prefix, const struct raw_timeouts *r,
    struct mu_timeouts *t, struct mu_error *e)
{
	static const struct raw_timeouts none;
	uint64_t n;
	int rc = 0;

	if (r == NULL)
		r = &none;
#define X(f, def, lo, hi) \
	if (rc == 0) { \
		rc = convert_integer( \
		    prefix, "timeouts." #f, r->f, def, lo, hi, &n, e); \
		t->f = (uint32_t)n; \
	}
	TIMEOUTS(X)
#undef X
	return rc;
}

static int
convert_budget(
    const struct raw_budget *r, struct mu_text *t, struct mu_error *e)
{
	static const struct raw_budget none;
	int rc = 0;

	if (r == NULL)
		r = &none;
#define X(f, def, lo, hi) \
	if (rc == 0) \
		rc = convert_integer( \
		    "budget.", #f, r->f, def, lo, hi, &t->budget_##f, e);
	BUDGETS(X)
#undef X
	return rc;
}

static int
convert_weights(
    const struct raw_weights *r, struct mu_text *t, struct mu_error *e)
{
	static const struct raw_weights none;
	int rc;

	if (r == NULL)
		r = &none;
	rc = convert_fraction("weights.", "program_latency", r->program_latency,
	    DEFAULT_WEIGHT, WEIGHT_MAX, &t->weight_latency, e);
	if (rc != 0)
		return rc;
	rc = convert_fraction("weights.", "wasted_cache", r->wasted_cache,
	    DEFAULT_WEIGHT, WEIGHT_MAX, &t->weight_waste, e);
	if (rc != 0)
		return rc;
	if (t->weight_latency + t->weight_waste <= 0)
		return mu_yaml_fail(
		    e, "weights", "both are 0; expected one above 0");
	return 0;
}

/* Moves the strings and lists from r to s, which then owns them. */
static void
move_strings_and_lists(struct raw_service *r, struct mu_service *s)
{
	s->name = r->name;
	s->model = r->model;
	s->region = r->region;
	s->domains = r->places;
	s->ndomains = r->nplaces;
	s->depends_on = r->depends_on;
	s->ndepends_on = r->ndepends_on;
	s->repeatable_operations = r->repeatable_operations;
	s->nrepeatable_operations = r->nrepeatable_operations;
	r->name = r->model = r->region = NULL;
	r->places = r->depends_on = r->repeatable_operations = NULL;
	r->nplaces = r->ndepends_on = r->nrepeatable_operations = 0;
}

static int
convert_service(
    struct raw_service *r, unsigned i, struct mu_service *s, struct mu_error *e)
{
	char prefix[PREFIX_BYTES];
	uint64_t n;
	int rc;

	move_strings_and_lists(r, s);
	s->kind = r->kind;
	s->fencing = r->fencing != NULL ? *r->fencing : MU_FENCING_IGNORED;
	s->repeatable = r->repeatable != NULL ? *r->repeatable == YAML_TRUE
					      : r->kind == MU_SERVICE_MODEL;
	s->urgent = r->urgent != NULL && *r->urgent == YAML_TRUE;
	(void)snprintf(prefix, sizeof(prefix), "services[%u].", i + 1);
	if ((rc = convert_limits(prefix, r->limits, &s->limits, e)) != 0 ||
	    (rc = convert_timeouts(prefix, r->timeouts, &s->timeouts, e)) != 0)
		return rc;
	rc = convert_integer(prefix, "retain_idle_ms", r->retain_idle_ms,
	    DEFAULT_RETAIN_IDLE_MS, 0, RETAIN_IDLE_MAX_MS, &n, e);
	s->retain_idle_ms = (uint32_t)n;
	if (rc != 0)
		return rc;
	return convert_fraction(prefix, "retry_budget", r->retry_budget,
	    DEFAULT_RETRY_BUDGET, 1, &s->retry_budget, e);
}

static int
convert(struct raw_text *r, struct mu_text *t, struct mu_error *e)
{
	unsigned i;
	int rc;

	t->services = calloc(r->nservices, sizeof(*t->services));
	if (t->services == NULL)
		return out_of_memory(e);
	t->nservices = r->nservices;
	for (i = 0; i < t->nservices; i++) {
		rc = convert_service(&r->services[i], i, &t->services[i], e);
		if (rc != 0)
			return rc;
	}
	if ((rc = convert_weights(r->weights, t, e)) != 0)
		return rc;
	return convert_budget(r->budget, t, e);
}

int
mu_text_parse(
    const char *yaml, size_t len, struct mu_text **t, struct mu_error *e)
{
	struct mu_text *n;
	void *raw;
	int rc;

	rc = mu_yaml_load(
	    yaml, len, TEXT_MAX_BYTES, &raw_schema, fields, &raw, e);
	if (rc != 0)
		return rc;
	n = calloc(1, sizeof(*n));
	if (n == NULL)
		rc = out_of_memory(e);
	else if ((rc = convert(raw, n, e)) == 0 &&
		 (rc = mu_text_check(n, e)) == 0) {
		*t = n;
		n = NULL;
	}
	mu_text_free(n);
	mu_yaml_free(&raw_schema, raw);
	return rc;
}

static void
names_free(char **names, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		free(names[i]);
	free(names);
}

void
mu_text_free(struct mu_text *t)
{
	struct mu_service *s;
	unsigned i;

	if (t == NULL)
		return;
	for (i = 0; i < t->nservices; i++) {
		s = &t->services[i];
		free(s->name);
		free(s->model);
		free(s->region);
		names_free(s->domains, s->ndomains);
		names_free(s->depends_on, s->ndepends_on);
		names_free(s->repeatable_operations, s->nrepeatable_operations);
	}
	free(t->services);
	free(t);
}

const struct mu_service *
mu_text_find_service(const struct mu_text *t, const char *name)
{
	unsigned i;

	for (i = 0; i < t->nservices; i++)
		if (strcmp(t->services[i].name, name) == 0)
			return &t->services[i];
	return NULL;
}

bool
mu_text_repeatable(const struct mu_service *s, const char *operation)
{
	unsigned i;

	if (s->repeatable)
		return true;
	for (i = 0; operation != NULL && i < s->nrepeatable_operations; i++)
		if (strcmp(s->repeatable_operations[i], operation) == 0)
			return true;
	return false;
}
