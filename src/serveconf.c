/*
 * serveconf.c -- settings of a serving daemon.
 *
 * One list makes the schema, the checks and the list of fields for messages,
 * as in conf.c.
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

/* X(field, flag, what is expected, default) */
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
/* X(field, default, least, greatest) */
#define NUMBERS(X) \
	X(stop_ms, DEFAULT_STOP_MS, 100, 600000) \
	X(address_ttl_ms, DEFAULT_ADDRESS_TTL_MS, 100, 3600000)

struct raw {
#define X(f, def, lo, hi) uint64_t *f;
	NUMBERS(X)
#undef X
#define X(f, flag, expected, def) char *f;
	NAMES(X)
	ADDRS(X)
	OTHERS(X)
#undef X
};

static const cyaml_schema_field_t raw_fields[] = {
#define X(f, def, lo, hi) \
	CYAML_FIELD_UINT_PTR( \
	    #f, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, struct raw, f),
    NUMBERS(X)
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

static const struct mu_field fields[] = {
#define X(f, flag, expected, def) {#f, expected, def},
    NAMES(X) ADDRS(X) OTHERS(X)
#undef X
#define X(f, def, lo, hi) {#f, "an integer " #lo " to " #hi, STR(def)},
	NUMBERS(X)
#undef X
	    {NULL, NULL, NULL}};

static int
number(const char *path, const uint64_t *raw, uint32_t def, uint32_t lo,
    uint32_t hi, uint32_t *to, struct mu_error *e)
{
	uint64_t n = raw != NULL ? *raw : def;

	if (n < lo || n > hi)
		return mu_yaml_fail(e, path,
		    "%" PRIu64 "; expected an integer %u to %u", n, lo, hi);
	*to = (uint32_t)n;
	return 0;
}

static int
check_name(const char *path, const char *s, struct mu_error *e)
{
	if (!mu_name_valid(s))
		return mu_yaml_fail(e, path,
		    "'%.40s'; expected 1 to %d letters, digits and ._-", s,
		    MU_NAME_LEN - 1);
	return 0;
}

static int
check_addr(const char *path, const char *s, struct mu_error *e)
{
	char ip[MU_ADDR_LEN];
	uint16_t port;

	if (mu_addr_parse(s, ip, &port) != 0)
		return mu_yaml_fail(e, path, "'%.60s'; expected IP:PORT", s);
	return 0;
}

static int
check(const struct mu_serveconf *c, struct mu_error *e)
{
	int rc = 0;

#define X(f, flag, expected, def) \
	if (rc == 0) \
		rc = check_name(#f, c->f, e);
	NAMES(X)
#undef X
#define X(f, flag, expected, def) \
	if (rc == 0) \
		rc = check_addr(#f, c->f, e);
	ADDRS(X)
#undef X
	return rc;
}

static int
take(struct raw *r, struct mu_serveconf *c, struct mu_error *e)
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
		rc = number(#f, r->f, def, lo, hi, &c->f, e);
	NUMBERS(X)
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
	else if ((rc = take(raw, n, e)) == 0 && (rc = check(n, e)) == 0) {
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
	FILE *f;
	size_t n;
	int rc;

	if ((f = fopen(file, "re")) == NULL)
		return mu_yaml_fail(e, file, "%s", strerror(errno));
	buf = malloc(MAX_BYTES + 1);
	if (buf == NULL) {
		(void)fclose(f);
		return mu_fail(
		    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "out of memory");
	}
	/* One byte more than allowed, so that the parser refuses it. */
	n = fread(buf, 1, MAX_BYTES + 1, f);
	rc = ferror(f) ? mu_yaml_fail(e, file, "%s", strerror(errno))
		       : mu_serveconf_parse(buf, n, c, e);
	free(buf);
	(void)fclose(f);
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
