/*
 * yamlerr.h -- loads YAML through a libcyaml schema, with typed errors.
 *
 * Used by conf.c, serveconf.c and text.c.  A test compares docs/settings.md and
 * docs/services-text.md with the field lists.
 */
#ifndef MU_YAMLERR_H
#define MU_YAMLERR_H

#include "musher.h"

/* One field of a schema, as its reference page documents it. */
struct mu_schema_field {
	const char *path; /* "limits.queue", "services[].name"; NULL ends */
	const char *expected; /* type and range, for messages */
	const char *default_value; /* in YAML; "": none; or "required" */
};

struct cyaml_schema_value;

/*
 * Parses len bytes against schema into *raw, which mu_yaml_free() releases.
 * Fails with MU_E_CONFIG_INVALID when the input is not YAML, does not match
 * the schema, is empty or exceeds max bytes; the message names the line, the
 * key path and the value that `fields` expects there.
 */
int mu_yaml_load(const char *yaml, size_t len, size_t max,
    const struct cyaml_schema_value *schema,
    const struct mu_schema_field *fields, void **raw, struct mu_error *e);
void mu_yaml_free(const struct cyaml_schema_value *schema, void *raw);

/* Fails with MU_E_CONFIG_INVALID: "PATH: problem". */
int mu_yaml_fail(struct mu_error *e, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Stores *raw, or def when raw is NULL, in *to if it is within lo to hi. */
int mu_yaml_number(const char *path, const uint64_t *raw, uint32_t def,
    uint32_t lo, uint32_t hi, uint32_t *to, struct mu_error *e);
int mu_yaml_addr(const char *path, const char *addr, struct mu_error *e);
int mu_yaml_name(const char *path, const char *name, struct mu_error *e);
/* Reads up to max + 1 bytes of a file, so that mu_yaml_load() rejects one that
 * is too large; *buf is malloc'd. */
int mu_yaml_read(
    const char *file, size_t max, char **buf, size_t *len, struct mu_error *e);

/* Whether s is a valid name: 1 to MU_NAME_LEN - 1 of [A-Za-z0-9._-]. */
bool mu_name_valid(const char *s);
/* Whether s is exactly n hexadecimal digits. */
bool mu_hex_valid(const char *s, size_t n);

#endif
