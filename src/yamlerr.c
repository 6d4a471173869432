/*
 * yamlerr.c -- loads YAML through a libcyaml schema, with typed errors.
 *
 * libcyaml reports an error as lines through its log callback: one with the
 * problem, then a backtrace from the innermost key to the outermost.  The
 * callback keeps the first line and converts the backtrace into a key path, so
 * that the message names "line 3, services[2].limits.queue" and libcyaml prints
 * nothing itself.  Sequence entries are counted from 1, as in libcyaml.
 *
 * Aliases are rejected because they let a small text expand into a large one,
 * and a second document because libcyaml would ignore it silently.
 */
#include <inttypes.h>
#include <errno.h>
#include <cyaml/cyaml.h>
#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "yamlerr.h"

#define PROBLEM_BYTES 96
#define PATH_BYTES 96
#define LINE_BYTES 192
#define NO_LINE (-1)

struct error_report {
	char problem[PROBLEM_BYTES]; /* first error line */
	char path[PATH_BYTES]; /* "services[2].limits.queue" */
	int line; /* of the innermost key */
	bool extra_document;
};

/* Prepends one backtrace element to the path. */
static void
path_prepend(struct error_report *c, const char *element)
{
	char old[PATH_BYTES];
	const char *dot = ".";

	memcpy(old, c->path, sizeof(old));
	if (old[0] == '\0' || old[0] == '[')
		dot = "";
	(void)snprintf(
	    c->path, sizeof(c->path), "%.40s%s%.50s", element, dot, old);
}

/* Parses lines such as "  in mapping field 'queue' (line: 3, column: 7)". */
static void
parse_backtrace_line(struct error_report *c, const char *line)
{
	char element[PATH_BYTES], name[MU_NAME_LEN] = "";
	const char *at = strstr(line, "(line: ");
	const char *open = strchr(line, '\'');

	if (at != NULL && c->line == NO_LINE)
		c->line = (int)strtol(at + strlen("(line: "), NULL, 10);
	if (open == NULL || sscanf(open, "'%63[^']'", name) != 1)
		return;
	/* libcyaml reports the sequence itself as entry 0. */
	if (strstr(line, "sequence entry '0'") != NULL)
		return;
	if (strstr(line, "sequence entry") != NULL)
		(void)snprintf(element, sizeof(element), "[%s]", name);
	else
		(void)snprintf(element, sizeof(element), "%s", name);
	path_prepend(c, element);
}

static void
collect_message(cyaml_log_t level, void *ctx, const char *fmt, va_list ap)
{
	struct error_report *c = ctx;
	char line[LINE_BYTES];
	const char *text = line;

	(void)vsnprintf(line, sizeof(line), fmt, ap);
	line[strcspn(line, "\n")] = '\0';
	if (level == CYAML_LOG_WARNING) {
		c->extra_document |= strstr(line, "documents after") != NULL;
		return;
	}
	if (level != CYAML_LOG_ERROR)
		return;
	if (strncmp(text, "Load: ", strlen("Load: ")) == 0)
		text += strlen("Load: ");
	if (strncmp(text, "  in ", strlen("  in ")) == 0)
		parse_backtrace_line(c, text);
	else if (strcmp(text, "Backtrace:") != 0 && c->problem[0] == '\0')
		(void)snprintf(c->problem, sizeof(c->problem), "%.90s", text);
}

static const cyaml_config_t *
init_loader(cyaml_config_t *cf, struct error_report *c)
{
	memset(cf, 0, sizeof(*cf));
	cf->log_fn = collect_message;
	cf->log_ctx = c;
	cf->log_level = CYAML_LOG_WARNING;
	cf->mem_fn = cyaml_mem;
	cf->flags = CYAML_CFG_NO_ALIAS;
	return cf;
}

/* Whether path matches pattern, in which "[]" matches any "[N]". */
static bool
path_matches(const char *pattern, const char *path)
{
	while (*pattern != '\0' && *path != '\0') {
		if (*pattern != *path)
			return false;
		if (*path == '[')
			path += strcspn(path, "]");
		if (*pattern == '[')
			pattern++;
		pattern++;
		path++;
	}
	return *pattern == *path;
}

/* Removes the last key: "services[2].limits" becomes "services[2]". */
static void
path_parent(char *path)
{
	char *dot = strrchr(path, '.');

	if (dot != NULL)
		*dot = '\0';
	else
		path[0] = '\0';
}

static const char *
expected_value(const struct mu_schema_field *f, const char *path)
{
	char list[PATH_BYTES];

	for (; f->path != NULL; f++) {
		/* The elements of a list of scalars have no field of their
		 * own: the entry of the list describes them. */
		(void)snprintf(list, sizeof(list), "%s[]", f->path);
		if (path_matches(f->path, path) || path_matches(list, path))
			return f->expected;
	}
	return NULL;
}

static size_t
line_of_offset(const char *yaml, size_t len, size_t offset)
{
	size_t i, line = 1;

	for (i = 0; i < offset && i < len; i++)
		line += yaml[i] == '\n';
	return line;
}

/*
 * Reports a syntax error with its line.  libcyaml gives only the last key that
 * it read, so libyaml parses the same bytes again to get the exact position.
 */
static int
fail_syntax(const char *yaml, size_t len, struct mu_error *e)
{
	const char *problem = "not YAML";
	yaml_parser_t parser;
	yaml_event_t event;
	bool end = false;
	size_t line;
	int rc;

	if (!yaml_parser_initialize(&parser))
		return mu_fail(
		    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "out of memory");
	yaml_parser_set_input_string(&parser, (const unsigned char *)yaml, len);
	while (!end && yaml_parser_parse(&parser, &event)) {
		end = event.type == YAML_STREAM_END_EVENT;
		yaml_event_delete(&event);
	}
	line = parser.problem_mark.line + 1;
	/* Invalid UTF-8 is reported by its offset, without a mark. */
	if (parser.error == YAML_READER_ERROR)
		line = line_of_offset(yaml, len, parser.problem_offset);
	if (parser.problem != NULL)
		problem = parser.problem;
	rc = mu_fail(e, MU_E_CONFIG_INVALID, MU_OUTCOME_NOT_RUN, 0,
	    "line %zu: %s; expected YAML", line, problem);
	yaml_parser_delete(&parser);
	return rc;
}

/* Converts libcyaml's report into an error. */
static int
fail_load(struct error_report *c, cyaml_err_t err,
    const struct mu_schema_field *fields, struct mu_error *e)
{
	const char *problem = c->problem, *expected = NULL;
	char where[PATH_BYTES + 16] = "";

	/* The backtrace names the last key read, not the missing one. */
	if (err == CYAML_ERR_MAPPING_FIELD_MISSING)
		path_parent(c->path);
	else
		expected = expected_value(fields, c->path);
	/* libcyaml reports a key that is not a scalar as an internal error. */
	if (err == CYAML_ERR_INTERNAL_ERROR)
		problem = "a key is not a plain word";
	if (problem[0] == '\0')
		problem = cyaml_strerror(err);
	if (c->line > 0)
		(void)snprintf(where, sizeof(where), "line %d, ", c->line);
	return mu_fail(e, MU_E_CONFIG_INVALID, MU_OUTCOME_NOT_RUN, 0,
	    "%s%s: %s%s%s", where, c->path[0] != '\0' ? c->path : "top level",
	    problem, expected != NULL ? "; expected " : "",
	    expected != NULL ? expected : "");
}

int
mu_yaml_load(const char *yaml, size_t len, size_t max,
    const struct cyaml_schema_value *schema,
    const struct mu_schema_field *fields, void **raw, struct mu_error *e)
{
	struct error_report c = {.line = NO_LINE};
	cyaml_config_t cf;
	cyaml_data_t *data = NULL;
	cyaml_err_t err;

	*raw = NULL;
	if (len > max)
		return mu_yaml_fail(e, "top level",
		    "%zu bytes; expected at most %zu", len, max);
	err = cyaml_load_data((const uint8_t *)yaml, len, init_loader(&cf, &c),
	    schema, &data, NULL);
	if (err == CYAML_ERR_LIBYAML_PARSER)
		return fail_syntax(yaml, len, e);
	if (err != CYAML_OK)
		return fail_load(&c, err, fields, e);
	if (data == NULL)
		return mu_yaml_fail(
		    e, "top level", "empty; expected a mapping of fields");
	if (c.extra_document) {
		mu_yaml_free(schema, data);
		return mu_yaml_fail(
		    e, "top level", "several documents; expected one");
	}
	*raw = data;
	return 0;
}

void
mu_yaml_free(const struct cyaml_schema_value *schema, void *raw)
{
	struct error_report c = {.line = NO_LINE};
	cyaml_config_t cf;

	if (raw != NULL)
		(void)cyaml_free(init_loader(&cf, &c), schema, raw, 0);
}

int
mu_yaml_fail(struct mu_error *e, const char *path, const char *fmt, ...)
{
	char problem[MU_MESSAGE_LEN];
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(problem, sizeof(problem), fmt, ap);
	va_end(ap);
	return mu_fail(e, MU_E_CONFIG_INVALID, MU_OUTCOME_NOT_RUN, 0, "%s: %s",
	    path, problem);
}

bool
mu_name_valid(const char *s)
{
	size_t i;

	for (i = 0; s[i] != '\0'; i++) {
		if (!isalnum((unsigned char)s[i]) &&
		    strchr("._-", s[i]) == NULL)
			return false;
	}
	return i > 0 && i < MU_NAME_LEN;
}

bool
mu_hex_valid(const char *s, size_t n)
{
	size_t i;

	for (i = 0; s[i] != '\0'; i++)
		if (!isxdigit((unsigned char)s[i]))
			return false;
	return i == n;
}

int
mu_yaml_number(const char *path, const uint64_t *raw, uint32_t def, uint32_t lo,
    uint32_t hi, uint32_t *to, struct mu_error *e)
{
	uint64_t n = raw != NULL ? *raw : def;

	if (n < lo || n > hi)
		return mu_yaml_fail(e, path,
		    "%" PRIu64 "; expected an integer %u to %u", n, lo, hi);
	*to = (uint32_t)n;
	return 0;
}

int
mu_yaml_addr(const char *path, const char *addr, struct mu_error *e)
{
	char ip[MU_ADDR_LEN];
	uint16_t port;

	if (mu_addr_parse(addr, ip, &port) != 0)
		return mu_yaml_fail(e, path, "'%.60s'; expected IP:PORT", addr);
	return 0;
}

int
mu_yaml_name(const char *path, const char *name, struct mu_error *e)
{
	if (!mu_name_valid(name))
		return mu_yaml_fail(e, path,
		    "'%.40s'; expected 1 to %d letters, digits and ._-", name,
		    MU_NAME_LEN - 1);
	return 0;
}

int
mu_yaml_read(
    const char *file, size_t max, char **buf, size_t *len, struct mu_error *e)
{
	int rc = 0;
	FILE *f;

	if ((f = fopen(file, "re")) == NULL)
		return mu_yaml_fail(e, file, "%s", strerror(errno));
	*buf = malloc(max + 1);
	if (*buf == NULL) {
		rc = mu_fail(
		    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "out of memory");
		goto out;
	}
	*len = fread(*buf, 1, max + 1, f);
	if (ferror(f)) {
		rc = mu_yaml_fail(e, file, "%s", strerror(errno));
		free(*buf);
	}
out:
	(void)fclose(f);
	return rc;
}
