/*
 * callreq.c -- parsing and validation of callers' request bodies.
 *
 * Every field is checked for type and range before it is used.  An unknown
 * field is an error, so that a misspelt one is not ignored.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "callreq.h"
#include "quarantine.h"

#define MAX_SEQ ((json_int_t)1000000)
#define MAX_DEADLINE_MS ((json_int_t)3600 * 1000)
#define MAX_MESSAGES 4096
#define MAX_TOKENS ((json_int_t)1000000)
#define MAX_BUDGET ((json_int_t)1 << 53)

static int
fail_bad_field(struct mu_error *e, const char *field, const char *expected)
{
	return mu_fail(e, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN, 0,
	    "%s: expected %s", field, expected);
}

static int
parse_object(json_t **out, const char *body, size_t len, struct mu_error *e)
{
	json_error_t je;

	*out = json_loadb(body, len, JSON_REJECT_DUPLICATES, &je);
	if (*out == NULL)
		return mu_fail(e, MU_E_NOT_JSON, MU_OUTCOME_NOT_RUN, 0,
		    "line %d column %d: %s", je.line, je.column, je.text);
	if (!json_is_object(*out)) {
		json_decref(*out);
		*out = NULL;
		return fail_bad_field(e, "body", "an object");
	}
	return 0;
}

static int
check_known_fields(
    const json_t *j, const char *const *names, struct mu_error *e)
{
	const char *key;
	json_t *value;
	size_t i;

	json_object_foreach ((json_t *)j, key, value) {
		for (i = 0; names[i] != NULL; i++)
			if (strcmp(names[i], key) == 0)
				break;
		if (names[i] == NULL)
			return mu_fail(e, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN,
			    0, "%.60s: no such field", key);
	}
	return 0;
}

/* Reads an integer in [min, max]; leaves *out alone if it is absent. */
static int
get_int(const json_t *j, const char *field, json_int_t min, json_int_t max,
    json_int_t *out, struct mu_error *e)
{
	const json_t *v = json_object_get(j, field);

	if (v == NULL)
		return 0;
	if (!json_is_integer(v) || json_integer_value(v) < min ||
	    json_integer_value(v) > max)
		return mu_fail(e, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN, 0,
		    "%s: expected an integer from %lld to %lld", field,
		    (long long)min, (long long)max);
	*out = json_integer_value(v);
	return 0;
}

static int
get_bool(const json_t *j, const char *field, enum mu_tristate *out,
    struct mu_error *e)
{
	const json_t *v = json_object_get(j, field);

	if (v == NULL)
		return 0;
	if (!json_is_boolean(v))
		return fail_bad_field(e, field, "true or false");
	*out = json_is_true(v) ? MU_YES : MU_NO;
	return 0;
}

static int
check_messages(const json_t *messages, struct mu_error *e)
{
	const json_t *m;
	size_t i;

	if (!json_is_array(messages) || json_array_size(messages) == 0 ||
	    json_array_size(messages) > MAX_MESSAGES)
		return fail_bad_field(
		    e, "input.messages", "a list of 1 to 4096");
	for (i = 0; i < json_array_size(messages); i++) {
		m = json_array_get(messages, i);
		if (!json_is_string(json_object_get(m, "role")) ||
		    !json_is_string(json_object_get(m, "content")))
			return fail_bad_field(e, "input.messages",
			    "objects with strings role and content");
	}
	return 0;
}

static int
check_input(const json_t *input, struct mu_error *e)
{
	const json_t *messages = json_object_get(input, "messages");
	const json_t *operation = json_object_get(input, "operation");
	json_int_t tokens = 0;
	int rc;

	if (!json_is_object(input))
		return fail_bad_field(e, "input", "an object");
	if (messages != NULL) {
		rc = check_messages(messages, e);
		if (rc != 0)
			return rc;
		return get_int(input, "max_tokens", 1, MAX_TOKENS, &tokens, e);
	}
	if (!json_is_string(operation) || json_string_length(operation) == 0 ||
	    json_string_length(operation) >= MU_NAME_LEN)
		return fail_bad_field(
		    e, "input", "messages (model) or operation (plain)");
	return 0;
}

static void
hash_call(struct mu_callreq *c)
{
	XXH128_hash_t h;
	json_t *j;
	char *text;

	j = json_pack("{s:s,s:O,s:i}", "service", c->service, "input", c->input,
	    "repeatable", (int)c->repeatable);
	text = json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(j);
	if (text == NULL)
		return;
	h = XXH3_128bits(text, strlen(text));
	(void)snprintf(c->hash, sizeof(c->hash), "%016llx%016llx",
	    (unsigned long long)h.high64, (unsigned long long)h.low64);
	free(text);
}

static void
fingerprint_call(struct mu_callreq *c)
{
	const json_t *content = json_object_get(c->input, "messages");
	char *text;

	if (content == NULL)
		content = c->input;
	text = json_dumps(content, JSON_COMPACT | JSON_SORT_KEYS);
	if (text == NULL)
		return;
	c->fingerprint = mu_quar_fingerprint(c->service, text, strlen(text));
	free(text);
}

static int
read_call(struct mu_callreq *c, struct mu_error *e)
{
	static const char *const names[] = {"seq", "service", "input",
	    "repeatable", "deadline_ms", "stream", "receipt", NULL};
	enum mu_tristate stream = MU_UNSET;
	json_int_t seq = 0, deadline = 0;
	json_t *v;
	int rc;

	if ((rc = check_known_fields(c->json, names, e)) != 0 ||
	    (rc = get_int(c->json, "seq", 1, MAX_SEQ, &seq, e)) != 0 ||
	    (rc = get_int(c->json, "deadline_ms", 1, MAX_DEADLINE_MS, &deadline,
		 e)) != 0 ||
	    (rc = get_bool(c->json, "repeatable", &c->repeatable, e)) != 0 ||
	    (rc = get_bool(c->json, "stream", &stream, e)) != 0)
		return rc;
	if (seq == 0)
		return fail_bad_field(e, "seq", "an integer from 1");
	v = json_object_get(c->json, "service");
	if (!json_is_string(v) || json_string_length(v) >= MU_NAME_LEN)
		return fail_bad_field(e, "service", "a service's name");
	c->service = json_string_value(v);
	v = json_object_get(c->json, "receipt");
	if (v != NULL && !json_is_string(v))
		return fail_bad_field(e, "receipt", "a string");
	c->receipt = json_string_value(v);
	c->input = json_object_get(c->json, "input");
	c->seq = (uint64_t)seq;
	c->deadline_ms = (uint32_t)deadline;
	c->stream = stream == MU_YES;
	return check_input(c->input, e);
}

int
mu_callreq_parse(
    struct mu_callreq *c, const char *body, size_t len, struct mu_error *e)
{
	int rc;

	memset(c, 0, sizeof(*c));
	rc = parse_object(&c->json, body, len, e);
	if (rc != 0)
		return rc;
	rc = read_call(c, e);
	if (rc != 0) {
		mu_callreq_clear(c);
		return rc;
	}
	hash_call(c);
	fingerprint_call(c);
	return 0;
}

void
mu_callreq_clear(struct mu_callreq *c)
{
	json_decref(c->json);
	memset(c, 0, sizeof(*c));
}

json_t *
mu_callreq_messages(const struct mu_callreq *c)
{
	return json_object_get(c->input, "messages");
}

const char *
mu_callreq_operation(const struct mu_callreq *c)
{
	return json_string_value(json_object_get(c->input, "operation"));
}

static int
read_budget(struct mu_createreq *c, const json_t *j, struct mu_error *e)
{
	static const char *const names[] = {"tokens", "calls", "seconds", NULL};
	const json_t *b = json_object_get(j, "budget");
	json_int_t tokens = 0, calls = 0, seconds = 0;
	int rc;

	if (b == NULL)
		return 0;
	if (!json_is_object(b))
		return fail_bad_field(e, "budget", "an object");
	if ((rc = check_known_fields(b, names, e)) != 0 ||
	    (rc = get_int(b, "tokens", 1, MAX_BUDGET, &tokens, e)) != 0 ||
	    (rc = get_int(b, "calls", 1, MAX_BUDGET, &calls, e)) != 0 ||
	    (rc = get_int(b, "seconds", 1, MAX_BUDGET, &seconds, e)) != 0)
		return rc;
	c->tokens = (uint64_t)tokens;
	c->calls = (uint64_t)calls;
	c->seconds = (uint64_t)seconds;
	return 0;
}

int
mu_createreq_parse(
    struct mu_createreq *c, const char *body, size_t len, struct mu_error *e)
{
	static const char *const names[] = {"budget", "parent", NULL};
	const json_t *parent;
	json_t *j;
	int rc;

	memset(c, 0, sizeof(*c));
	if (len == 0)
		return 0;
	rc = parse_object(&j, body, len, e);
	if (rc != 0)
		return rc;
	rc = check_known_fields(j, names, e);
	if (rc == 0)
		rc = read_budget(c, j, e);
	parent = json_object_get(j, "parent");
	if (rc == 0 && parent != NULL) {
		if (!json_is_string(parent) ||
		    json_string_length(parent) > MU_ID_LEN)
			rc = fail_bad_field(e, "parent", "a program's id");
		else
			memcpy(c->parent, json_string_value(parent),
			    json_string_length(parent) + 1);
	}
	json_decref(j);
	return rc;
}
