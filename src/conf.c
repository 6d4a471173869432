/*
 * conf.c -- settings of one daemon.
 *
 * CONF_NUMBERS and CONF_STRINGS list the settings.  The structure that
 * libcyaml fills, its schema, the range checks, the defaults and the list of
 * fields for the reference page are generated from them, so that they cannot
 * diverge.  libcyaml leaves an absent optional pointer NULL, which
 * distinguishes an absent number from zero.
 */
#include <cyaml/cyaml.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "webmem.h"
#include "yamlerr.h"

#define CONF_MAX_BYTES ((size_t)256 * 1024)
#define KEYS_MAX 65536 /* callers or operators in one file */
#define STRING_MAX 255
#define SHA256_HEX 64 /* hex digits of a SHA-256 */
#define RECEIPT_KEY_HEX 64 /* hex digits of a 32-byte key */
#define MIN_RENEWALS_PER_LEASE 2 /* so that one renewal may fail */
#define MIN_HEARTBEATS_PER_SILENCE 2

#define DEFAULT_PLATFORM_TIMEOUT_MS 1000
#define DEFAULT_SLOTS 64
#define DEFAULT_LEASE_MS 6000
#define DEFAULT_RENEW_MS 2000
#define DEFAULT_HEARTBEAT_MS 500
#define DEFAULT_SILENCE_MS 2000
#define DEFAULT_HOST_POLL_MS 1000
#define DEFAULT_REPORT_POLL_MS 500
#define DEFAULT_ISOLATION_MS 10000
#define DEFAULT_ADDRESS_TTL_MS 5000
#define DEFAULT_MAX_BODY_BYTES 1048576
#define DEFAULT_BODY_MEMORY_MB 0
#define DEFAULT_ANSWER_MEMORY_MB 0
#define DEFAULT_BODY_TIMEOUT_MS 30000
#define DEFAULT_MAX_CONNECTIONS 1024
#define DEFAULT_SEQ_WAIT_MS 2000
#define DEFAULT_OUTAGE_BUFFER 256
#define DEFAULT_LOG_LEVEL "info"

/* X(field, default, minimum, maximum) */
#define CONF_NUMBERS(X) \
	X(platform_timeout_ms, DEFAULT_PLATFORM_TIMEOUT_MS, 10, 60000) \
	X(slots, DEFAULT_SLOTS, 1, 65536) \
	X(lease_ms, DEFAULT_LEASE_MS, 100, 600000) \
	X(renew_ms, DEFAULT_RENEW_MS, 10, 300000) \
	X(heartbeat_ms, DEFAULT_HEARTBEAT_MS, 10, 60000) \
	X(silence_ms, DEFAULT_SILENCE_MS, 50, 600000) \
	X(host_poll_ms, DEFAULT_HOST_POLL_MS, 10, 60000) \
	X(report_poll_ms, DEFAULT_REPORT_POLL_MS, 10, 60000) \
	X(isolation_ms, DEFAULT_ISOLATION_MS, 100, 3600000) \
	X(address_ttl_ms, DEFAULT_ADDRESS_TTL_MS, 0, 3600000) \
	X(max_body_bytes, DEFAULT_MAX_BODY_BYTES, 1024, 67108864) \
	X(body_memory_mb, DEFAULT_BODY_MEMORY_MB, 0, 1048576) \
	X(answer_memory_mb, DEFAULT_ANSWER_MEMORY_MB, 0, 1048576) \
	X(body_timeout_ms, DEFAULT_BODY_TIMEOUT_MS, 100, 3600000) \
	X(max_connections, DEFAULT_MAX_CONNECTIONS, 8, 65536) \
	X(seq_wait_ms, DEFAULT_SEQ_WAIT_MS, 0, 600000) \
	X(outage_buffer, DEFAULT_OUTAGE_BUFFER, 0, 65536)

/* X(field, flag, expected, default) */
#define CONF_STRINGS(X) \
	X(host, 0, "a name of letters, digits and ._-", "required") \
	X(domain, 0, "a name of letters, digits and ._-", "required") \
	X(region, 0, "a name of letters, digits and ._-", "required") \
	X(caller_addr, 0, "IP:PORT", "required") \
	X(operator_addr, 0, "IP:PORT", "required") \
	X(peer_addr, 0, "IP:PORT", "required") \
	X(platform_addr, 0, "IP:PORT", "required") \
	X(peer_key, CYAML_FLAG_OPTIONAL, "1 to 255 bytes", "") \
	X(receipt_key, 0, "64 hexadecimal digits", "required") \
	X(log_level, CYAML_FLAG_OPTIONAL, "debug, info, warn or error", \
	    DEFAULT_LOG_LEVEL)

struct raw_conf {
#define X(f, def, lo, hi) uint64_t *f;
	CONF_NUMBERS(X)
#undef X
#define X(f, flag, expected, def) char *f;
	CONF_STRINGS(X)
#undef X
	struct mu_caller_key *callers;
	unsigned ncallers;
	struct mu_caller_key *operators;
	unsigned noperators;
};

static const cyaml_schema_field_t key_fields[] = {
    CYAML_FIELD_STRING_PTR("caller", CYAML_FLAG_POINTER, struct mu_caller_key,
	caller, 1, STRING_MAX),
    CYAML_FIELD_STRING_PTR("sha256", CYAML_FLAG_POINTER, struct mu_caller_key,
	sha256, SHA256_HEX, SHA256_HEX),
    CYAML_FIELD_END};

static const cyaml_schema_value_t key_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct mu_caller_key, key_fields)};

static const cyaml_schema_field_t raw_fields[] = {
#define X(f, def, lo, hi) \
	CYAML_FIELD_UINT_PTR( \
	    #f, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, struct raw_conf, f),
    CONF_NUMBERS(X)
#undef X
#define X(f, flag, expected, def) \
	CYAML_FIELD_STRING_PTR(#f, CYAML_FLAG_POINTER | (flag), \
	    struct raw_conf, f, 1, STRING_MAX),
	CONF_STRINGS(X)
#undef X
	    CYAML_FIELD_SEQUENCE_COUNT("callers",
		CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, struct raw_conf,
		callers, ncallers, &key_schema, 0, KEYS_MAX),
    CYAML_FIELD_SEQUENCE_COUNT("operators",
	CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, struct raw_conf, operators,
	noperators, &key_schema, 0, KEYS_MAX),
    CYAML_FIELD_END};

static const cyaml_schema_value_t raw_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct raw_conf, raw_fields)};

#define STR_(x) #x
#define STR(x) STR_(x)

static const struct mu_schema_field fields[] = {
#define X(f, flag, expected, def) {#f, expected, def},
    CONF_STRINGS(X)
#undef X
#define X(f, def, lo, hi) {#f, "an integer " #lo " to " #hi, STR(def)},
	CONF_NUMBERS(X)
#undef X
	    {"callers", "a list", "[]"},
    {"callers[].caller", "a name of letters, digits and ._-", "required"},
    {"callers[].sha256", "64 hexadecimal digits", "required"},
    {"operators", "a list", "[]"},
    {"operators[].caller", "a name of letters, digits and ._-", "required"},
    {"operators[].sha256", "64 hexadecimal digits", "required"},
    {NULL, NULL, NULL}};

const struct mu_schema_field *
mu_conf_fields(void)
{
	return fields;
}

static int
set_numbers(const struct raw_conf *r, struct mu_conf *c, struct mu_error *e)
{
	int rc = 0;

#define X(f, def, lo, hi) \
	if (rc == 0) \
		rc = mu_yaml_number(#f, r->f, def, lo, hi, &c->f, e);
	CONF_NUMBERS(X)
#undef X
	return rc;
}

/* Moves the strings and lists from r to c. */
static void
move_strings(struct raw_conf *r, struct mu_conf *c)
{
#define X(f, flag, expected, def) \
	c->f = r->f; \
	r->f = NULL;
	CONF_STRINGS(X)
#undef X
	c->callers = r->callers;
	c->ncallers = r->ncallers;
	c->operators = r->operators;
	c->noperators = r->noperators;
	r->callers = NULL;
	r->ncallers = 0;
	r->operators = NULL;
	r->noperators = 0;
}

static int
check_addrs(const struct mu_conf *c, struct mu_error *e)
{
	int rc;

	if ((rc = mu_yaml_addr("caller_addr", c->caller_addr, e)) != 0 ||
	    (rc = mu_yaml_addr("operator_addr", c->operator_addr, e)) != 0 ||
	    (rc = mu_yaml_addr("peer_addr", c->peer_addr, e)) != 0 ||
	    (rc = mu_yaml_addr("platform_addr", c->platform_addr, e)) != 0)
		return rc;
	if (strcmp(c->caller_addr, c->operator_addr) == 0 ||
	    strcmp(c->caller_addr, c->peer_addr) == 0)
		return mu_yaml_fail(e, "caller_addr",
		    "used twice; expected an address of its own");
	if (strcmp(c->operator_addr, c->peer_addr) == 0)
		return mu_yaml_fail(e, "operator_addr",
		    "used twice; expected an address of its own");
	return 0;
}

static int
compare_sha256(const void *a, const void *b)
{
	const struct mu_caller_key *const *x = a, *const *y = b;

	return strcasecmp((*x)->sha256, (*y)->sha256);
}

/* Rejects equal keys: a request is attributed by its key alone. */
static int
check_keys_distinct(const char *list, const struct mu_caller_key *keys,
    unsigned n, struct mu_error *e)
{
	const struct mu_caller_key **sorted;
	unsigned i;
	int rc = 0;

	if (n < 2)
		return 0;
	sorted = calloc(n, sizeof(const struct mu_caller_key *));
	if (sorted == NULL)
		return mu_fail(
		    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "out of memory");
	for (i = 0; i < n; i++)
		sorted[i] = &keys[i];
	qsort(sorted, n, sizeof(const struct mu_caller_key *), compare_sha256);
	for (i = 1; i < n && rc == 0; i++)
		if (compare_sha256(&sorted[i - 1], &sorted[i]) == 0)
			rc = mu_yaml_fail(e, list,
			    "'%.40s' and '%.40s' have the same key; expected "
			    "a key each",
			    sorted[i - 1]->caller, sorted[i]->caller);
	free(sorted);
	return rc;
}

static int
check_keys(const char *list, const struct mu_caller_key *keys, unsigned n,
    struct mu_error *e)
{
	char path[MU_NAME_LEN];
	unsigned i;
	int rc;

	for (i = 0; i < n; i++) {
		(void)snprintf(
		    path, sizeof(path), "%s[%u].caller", list, i + 1);
		if ((rc = mu_yaml_name(path, keys[i].caller, e)) != 0)
			return rc;
		(void)snprintf(
		    path, sizeof(path), "%s[%u].sha256", list, i + 1);
		if (!mu_hex_valid(keys[i].sha256, SHA256_HEX))
			return mu_yaml_fail(
			    e, path, "expected %d hex digits", SHA256_HEX);
	}
	return check_keys_distinct(list, keys, n, e);
}

static int
check_times(const struct mu_conf *c, struct mu_error *e)
{
	if (c->renew_ms > c->lease_ms / MIN_RENEWALS_PER_LEASE)
		return mu_yaml_fail(e, "renew_ms",
		    "%u; expected at most lease_ms / %d", c->renew_ms,
		    MIN_RENEWALS_PER_LEASE);
	if (c->heartbeat_ms > c->silence_ms / MIN_HEARTBEATS_PER_SILENCE)
		return mu_yaml_fail(e, "heartbeat_ms",
		    "%u; expected at most silence_ms / %d", c->heartbeat_ms,
		    MIN_HEARTBEATS_PER_SILENCE);
	if (c->isolation_ms < c->heartbeat_ms)
		return mu_yaml_fail(e, "isolation_ms",
		    "%u; expected at least heartbeat_ms", c->isolation_ms);
	return 0;
}

/* A body of the largest size must fit, see webmem.h. */
static int
check_body_memory(const struct mu_conf *c, struct mu_error *e)
{
	uint64_t least = (uint64_t)c->max_body_bytes * MU_WEBMEM_MIN_BODIES;

	if (c->body_memory_mb == 0 ||
	    (uint64_t)c->body_memory_mb << 20 >= least)
		return 0;
	return mu_yaml_fail(e, "body_memory_mb",
	    "%u; expected at least %d times max_body_bytes, or 0",
	    c->body_memory_mb, MU_WEBMEM_MIN_BODIES);
}

static int
check_log_level(const char *level, struct mu_error *e)
{
	static const char *const levels[] = {"debug", "info", "warn", "error"};
	size_t i;

	for (i = 0; i < sizeof(levels) / sizeof(levels[0]); i++)
		if (strcmp(level, levels[i]) == 0)
			return 0;
	return mu_yaml_fail(e, "log_level",
	    "'%.40s'; expected debug, info, warn or error", level);
}

static int
check_conf(const struct mu_conf *c, struct mu_error *e)
{
	int rc;

	if ((rc = mu_yaml_name("host", c->host, e)) != 0 ||
	    (rc = mu_yaml_name("domain", c->domain, e)) != 0 ||
	    (rc = mu_yaml_name("region", c->region, e)) != 0 ||
	    (rc = check_addrs(c, e)) != 0 || (rc = check_times(c, e)) != 0 ||
	    (rc = check_body_memory(c, e)) != 0 ||
	    (rc = check_log_level(c->log_level, e)) != 0)
		return rc;
	if (!mu_hex_valid(c->receipt_key, RECEIPT_KEY_HEX))
		return mu_yaml_fail(e, "receipt_key", "expected %d hex digits",
		    RECEIPT_KEY_HEX);
	if ((rc = check_keys("callers", c->callers, c->ncallers, e)) != 0)
		return rc;
	return check_keys("operators", c->operators, c->noperators, e);
}

int
mu_conf_parse(
    const char *yaml, size_t len, struct mu_conf **c, struct mu_error *e)
{
	struct mu_conf *n = NULL;
	void *raw_conf;
	int rc;

	rc = mu_yaml_load(
	    yaml, len, CONF_MAX_BYTES, &raw_schema, fields, &raw_conf, e);
	if (rc != 0)
		return rc;
	rc = mu_fail(e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "out of memory");
	if ((n = calloc(1, sizeof(*n))) == NULL)
		goto out;
	move_strings(raw_conf, n);
	if (n->log_level == NULL)
		n->log_level = strdup(DEFAULT_LOG_LEVEL);
	if (n->log_level == NULL)
		goto out;
	if ((rc = set_numbers(raw_conf, n, e)) != 0 ||
	    (rc = check_conf(n, e)) != 0)
		goto out;
	*c = n;
	n = NULL;
out:
	mu_conf_free(n);
	mu_yaml_free(&raw_schema, raw_conf);
	return rc;
}

int
mu_conf_load(const char *file, struct mu_conf **c, struct mu_error *e)
{
	char *buf;
	size_t n;
	int rc;

	rc = mu_yaml_read(file, CONF_MAX_BYTES, &buf, &n, e);
	if (rc != 0)
		return rc;
	rc = mu_conf_parse(buf, n, c, e);
	free(buf);
	return rc;
}

static void
free_keys(struct mu_caller_key *keys, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		free(keys[i].caller);
		free(keys[i].sha256);
	}
	free(keys);
}

void
mu_conf_free(struct mu_conf *c)
{
	if (c == NULL)
		return;
#define X(f, flag, expected, def) free(c->f);
	CONF_STRINGS(X)
#undef X
	free_keys(c->callers, c->ncallers);
	free_keys(c->operators, c->noperators);
	free(c);
}
