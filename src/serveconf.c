/*
 * serveconf.c -- settings of a serving daemon.
 *
 * The X macros below generate the schema, the checks and the list of fields
 * for error messages, as in conf.c.  The platform may render any number with a
 * decimal fraction ("2000.0", "4.5"), so all numbers accept one.
 */
#include <cyaml/cyaml.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serveconf.h"
#include "yamlerr.h"

#define MAX_BYTES ((size_t)64 * 1024)
#define STRING_MAX 255
#define DEFAULT_STOP_MS 8000
#define DEFAULT_ADDRESS_TTL_MS 1000
#define DEFAULT_LOG_LEVEL "info"
#define DEFAULT_CONFIG_FRESH_MS 3000
#define DEFAULT_KEY_TRUST_MS 0
#define DEFAULT_LIMIT_WINDOW_MS 5000
#define DEFAULT_LIMIT_OVERAGE 0
#define DEFAULT_LIMIT_SLACK 0
#define DEFAULT_SHED_PRIORITY 0
#define LIMIT_OVERAGE_MAX 10.0
#define MS_PER_S 1000
#define DEFAULT_BODY_MAX_BYTES 4194304 /* the platform's own limit */
#define DEFAULT_BODY_TIMEOUT_MS 30000
/* A body with the copies made of it on its way takes up to three times its
 * length, and a quarter of the account is kept for small ones. */
#define BODY_MEMORY_FACTOR 4
#define BYTES_PER_MB ((uint64_t)1 << 20)

/* X(field, flag, expected value, default) */
#define NAMES(X) \
	X(host, 0, "a name of letters, digits and ._-", "required") \
	X(domain, 0, "a name of letters, digits and ._-", "required") \
	X(region, 0, "a name of letters, digits and ._-", "required")
#define ADDRS(X) \
	X(caller_addr, 0, "IP:PORT", "required") \
	X(ready_addr, 0, "IP:PORT", "required") \
	X(directory_addr, 0, "IP:PORT", "required") \
	X(mesh_addr, 0, "IP:PORT", "required") \
	X(metrics_addr, 0, "IP:PORT", "required") \
	X(store_addr, 0, "IP:PORT", "required")
#define OTHERS(X) \
	X(log_level, CYAML_FLAG_OPTIONAL, "debug, info, warn or error", \
	    DEFAULT_LOG_LEVEL)
/* X(field, default): 0 to LIMIT_OVERAGE_MAX */
#define FRACTIONS(X) X(limit_overage, DEFAULT_LIMIT_OVERAGE)
/* X(field, default, minimum, maximum) */
#define NUMBERS(X) \
	X(stop_ms, DEFAULT_STOP_MS, 100, 600000) \
	X(address_ttl_ms, DEFAULT_ADDRESS_TTL_MS, 100, 3600000) \
	X(config_fresh_ms, DEFAULT_CONFIG_FRESH_MS, 1, 3600000) \
	X(key_trust_ms, DEFAULT_KEY_TRUST_MS, 0, 3600000) \
	X(limit_window_ms, DEFAULT_LIMIT_WINDOW_MS, 100, 3600000) \
	X(limit_slack, DEFAULT_LIMIT_SLACK, 0, 1000000) \
	X(shed_priority, DEFAULT_SHED_PRIORITY, 0, 1000000) \
	X(body_max_bytes, DEFAULT_BODY_MAX_BYTES, 1024, 268435456) \
	X(body_timeout_ms, DEFAULT_BODY_TIMEOUT_MS, 100, 600000)
/* X(field, default, minimum, maximum): 0 if absent, for a default that follows
 * from the host. */
#define HOST_NUMBERS(X) \
	X(body_memory_mb, "a quarter of the host's memory, at least 24", 4, \
	    1048576) \
	X(max_connections, \
	    "256 to 4096, by the host's memory and descriptors", 16, 1000000)
/* X(field, field in ms that it replaces, minimum, maximum) */
#define SECONDS(X) \
	X(stop_s, stop_ms, 0.1, 600) \
	X(limit_window_s, limit_window_ms, 0.1, 3600)

struct raw {
#define X(f, def, lo, hi) double *f;
	NUMBERS(X)
	HOST_NUMBERS(X)
#undef X
#define X(f, ms, lo, hi) double *f;
	SECONDS(X)
#undef X
#define X(f, def) double *f;
	FRACTIONS(X)
#undef X
#define X(f, flag, expected, def) char *f;
	NAMES(X)
	ADDRS(X)
	OTHERS(X)
#undef X
};

static const cyaml_schema_field_t raw_fields[] = {
#define X(f, def, lo, hi) \
	CYAML_FIELD_FLOAT_PTR( \
	    #f, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, struct raw, f),
    NUMBERS(X) HOST_NUMBERS(X) SECONDS(X)
#undef X
#define X(f, def) \
	CYAML_FIELD_FLOAT_PTR( \
	    #f, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, struct raw, f),
	FRACTIONS(X)
#undef X
#define X(f, flag, expected, def) \
	CYAML_FIELD_STRING_PTR( \
	    #f, CYAML_FLAG_POINTER | (flag), struct raw, f, 1, STRING_MAX),
	    NAMES(X) ADDRS(X) OTHERS(X)
#undef X
		CYAML_FIELD_END};

static const cyaml_schema_value_t raw_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct raw, raw_fields)};

#define STR_(x) #x
#define STR(x) STR_(x)

static const struct mu_schema_field fields[] = {
#define X(f, flag, expected, def) {#f, expected, def},
    NAMES(X) ADDRS(X) OTHERS(X)
#undef X
#define X(f, def, lo, hi) {#f, "a number " #lo " to " #hi, STR(def)},
	NUMBERS(X)
#undef X
#define X(f, def, lo, hi) {#f, "a number " #lo " to " #hi, def},
	    HOST_NUMBERS(X)
#undef X
#define X(f, ms, lo, hi) {#f, "a number " #lo " to " #hi, ""},
		SECONDS(X)
#undef X
#define X(f, def) {#f, "a number 0 to " STR(LIMIT_OVERAGE_MAX), STR(def)},
		    FRACTIONS(X)
#undef X
			{NULL, NULL, NULL}};

uint64_t
mu_serveconf_least_body_memory(const struct mu_serveconf *c)
{
	return (uint64_t)c->body_max_bytes * BODY_MEMORY_FACTOR;
}

static int
check_body_memory(const struct mu_serveconf *c, struct mu_error *e)
{
	uint64_t least = mu_serveconf_least_body_memory(c);

	if (c->body_memory_mb == 0 || c->body_memory_mb * BYTES_PER_MB >= least)
		return 0;
	return mu_yaml_fail(e, "body_memory_mb",
	    "%" PRIu32 "; expected at least %" PRIu64
	    " (%d times body_max_bytes)",
	    c->body_memory_mb, (least + BYTES_PER_MB - 1) / BYTES_PER_MB,
	    BODY_MEMORY_FACTOR);
}

static int
check(const struct mu_serveconf *c, struct mu_error *e)
{
	int rc = 0;

#define X(f, flag, expected, def) \
	if (rc == 0) \
		rc = mu_yaml_name(#f, c->f, e);
	NAMES(X)
#undef X
#define X(f, flag, expected, def) \
	if (rc == 0) \
		rc = mu_yaml_addr(#f, c->f, e);
	ADDRS(X)
#undef X
	return rc != 0 ? rc : check_body_memory(c, e);
}

/* NaN is out of range, too. */
static int
check_range(
    const char *field, double n, double lo, double hi, struct mu_error *e)
{
	if (n >= lo && n <= hi)
		return 0;
	return mu_yaml_fail(
	    e, field, "%.12g; expected a number %.12g to %.12g", n, lo, hi);
}

/* Reads an optional fraction. */
static int
read_fraction(const char *field, const double *raw, double def, double *to,
    struct mu_error *e)
{
	*to = raw != NULL ? *raw : def;
	return check_range(field, *to, 0, LIMIT_OVERAGE_MAX, e);
}

/* Reads an optional number and drops its fraction; but one above 0 stays so,
 * as 0 may mean something else. */
static int
read_number(const char *field, const double *raw, double def, double lo,
    double hi, uint32_t *to, struct mu_error *e)
{
	double n = raw != NULL ? *raw : def;
	int rc = check_range(field, n, lo, hi, e);

	if (rc == 0)
		*to = n > 0 && n < 1 ? 1 : (uint32_t)n;
	return rc;
}

/* Reads a time in seconds, if it is given, in place of the one in ms. */
static int
read_seconds(const char *field, const double *raw, const double *raw_ms,
    double lo, double hi, uint32_t *to_ms, struct mu_error *e)
{
	int rc;

	if (raw == NULL)
		return 0;
	if (raw_ms != NULL)
		return mu_yaml_fail(
		    e, field, "is set in seconds and in ms; expected one");
	rc = check_range(field, *raw, lo, hi, e);
	if (rc == 0)
		*to_ms = (uint32_t)(*raw * MS_PER_S);
	return rc;
}

static int
convert_raw(struct raw *r, struct mu_serveconf *c, struct mu_error *e)
{
	int rc = 0;

#define X(f, flag, expected, def) \
	c->f = r->f; \
	r->f = NULL;
	NAMES(X)
	ADDRS(X)
	OTHERS(X)
#undef X
	if (c->log_level == NULL)
		c->log_level = strdup(DEFAULT_LOG_LEVEL);
#define X(f, def, lo, hi) \
	if (rc == 0) \
		rc = read_number(#f, r->f, def, lo, hi, &c->f, e);
	NUMBERS(X)
#undef X
#define X(f, def, lo, hi) \
	if (rc == 0 && r->f != NULL) \
		rc = read_number(#f, r->f, 0, lo, hi, &c->f, e);
	HOST_NUMBERS(X)
#undef X
#define X(f, ms, lo, hi) \
	if (rc == 0) \
		rc = read_seconds(#f, r->f, r->ms, lo, hi, &c->ms, e);
	SECONDS(X)
#undef X
#define X(f, def) \
	if (rc == 0) \
		rc = read_fraction(#f, r->f, def, &c->f, e);
	FRACTIONS(X)
#undef X
	return rc;
}

int
mu_serveconf_parse(
    const char *yaml, size_t len, struct mu_serveconf **c, struct mu_error *e)
{
	struct mu_serveconf *n;
	void *raw;
	int rc;

	rc = mu_yaml_load(yaml, len, MAX_BYTES, &raw_schema, fields, &raw, e);
	if (rc != 0)
		return rc;
	n = calloc(1, sizeof(*n));
	if (n == NULL)
		rc = mu_fail(
		    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "out of memory");
	else if ((rc = convert_raw(raw, n, e)) == 0 &&
		 (rc = check(n, e)) == 0) {
		*c = n;
		n = NULL;
	}
	mu_serveconf_free(n);
	mu_yaml_free(&raw_schema, raw);
	return rc;
}

int
mu_serveconf_load(const char *file, struct mu_serveconf **c, struct mu_error *e)
{
	char *buf;
	size_t n;
	int rc;

	rc = mu_yaml_read(file, MAX_BYTES, &buf, &n, e);
	if (rc != 0)
		return rc;
	rc = mu_serveconf_parse(buf, n, c, e);
	free(buf);
	return rc;
}

void
mu_serveconf_free(struct mu_serveconf *c)
{
	if (c == NULL)
		return;
#define X(f, flag, expected, def) free(c->f);
	NAMES(X)
	ADDRS(X)
	OTHERS(X)
#undef X
	free(c);
}
