/*
 * text.h -- the services text, the YAML configuration that operators submit.
 *
 * The text is parsed against a schema (libcyaml); every error names the line
 * or key path and the expected value.  A parsed text is immutable.
 * docs/services-text.md is the reference of its fields.
 */
#ifndef MU_TEXT_H
#define MU_TEXT_H

#include "musher.h"

enum mu_service_kind {
	MU_SERVICE_MODEL,
	MU_SERVICE_PLAIN
};
enum mu_fencing {
	MU_FENCING_IGNORED,
	MU_FENCING_HONOURED
};

struct mu_limits {
	uint32_t concurrency; /* concurrent calls per endpoint */
	uint32_t queue; /* queued calls per daemon */
	uint32_t caller_concurrency; /* calls per caller and daemon */
};

struct mu_timeouts {
	uint32_t connect_ms;
	uint32_t first_byte_ms;
	uint32_t idle_ms;
	uint32_t total_ms;
};

struct mu_service {
	char *name;
	enum mu_service_kind kind;
	char *model; /* only for kind model; may be NULL */
	char *region;
	char **domains; /* failure domains ("places") */
	unsigned ndomains;
	char **depends_on; /* names of services in the same text */
	unsigned ndepends_on;
	/* Whether endpoints reject orders of an old epoch; default: ignored. */
	enum mu_fencing fencing;
	/* Whether calls are idempotent; default: model true, plain false. */
	bool repeatable;
	char **repeatable_operations; /* idempotent; only for kind plain */
	unsigned nrepeatable_operations;
	bool urgent; /* scheduled before services that are not urgent */
	struct mu_limits limits;
	struct mu_timeouts timeouts;
	uint32_t retain_idle_ms; /* idle prefixes are released after this */
	double retry_budget; /* retries as a share of calls, 0..1 */
};

struct mu_text {
	struct mu_service *services;
	unsigned nservices;
	double weight_latency; /* weights.program_latency */
	double weight_waste; /* weights.wasted_cache */
	uint64_t budget_tokens; /* default budget per program */
	uint64_t budget_calls;
	uint64_t budget_seconds;
};

/*
 * Parses and validates a text; *t is set only on success.  An invalid text
 * fails with MU_E_CONFIG_INVALID.
 */
int mu_text_parse(
    const char *yaml, size_t len, struct mu_text **t, struct mu_error *e);
void mu_text_free(struct mu_text *t);
/* Finds a service by name; NULL when the text has none of that name. */
const struct mu_service *
mu_text_find_service(const struct mu_text *t, const char *name);
/* Whether the text declares a call to this operation idempotent. */
bool mu_text_repeatable(const struct mu_service *s, const char *operation);
/* Line difference of two texts in unified format; the caller frees it. */
char *mu_text_diff(const char *old_text, const char *new_text);

/* All fields of the schema, terminated by an entry with path NULL. */
struct mu_schema_field;
const struct mu_schema_field *mu_text_fields(void);

#endif
