/* test_text.c -- services text: parsing, checks, errors and differences. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "text.h"

#define PANTRY_SERVICE \
	"services:\n" \
	"- name: pantry\n" \
	"  kind: plain\n" \
	"  region: lakes\n" \
	"  places: [duluth, toledo]\n"

static int
parse(const char *yaml, struct mu_text **t, struct mu_error *e)
{
	*t = NULL;
	return mu_text_parse(yaml, strlen(yaml), t, e);
}

/* Asserts that yaml is invalid and that the message contains both words. */
static void
assert_invalid(const char *yaml, const char *word, const char *word2)
{
	struct mu_error e;
	struct mu_text *t;

	assert_int_equal(parse(yaml, &t, &e), MU_E_CONFIG_INVALID);
	assert_null(t);
	if (strstr(e.message, word) == NULL || strstr(e.message, word2) == NULL)
		fail_msg("'%s' lacks '%s' or '%s'", e.message, word, word2);
}

static void
test_defaults(void **state)
{
	const struct mu_service *s;
	struct mu_error e;
	struct mu_text *t;

	(void)state;
	assert_int_equal(parse(PANTRY_SERVICE, &t, &e), 0);
	s = mu_text_find_service(t, "pantry");
	assert_non_null(s);
	assert_null(mu_text_find_service(t, "other"));
	assert_int_equal(s->kind, MU_SERVICE_PLAIN);
	assert_int_equal(s->fencing, MU_FENCING_IGNORED);
	assert_false(s->repeatable);
	assert_false(s->urgent);
	assert_int_equal(s->ndomains, 2);
	assert_string_equal(s->domains[1], "toledo");
	assert_int_not_equal(s->limits.concurrency, 0);
	assert_int_not_equal(s->timeouts.total_ms, 0);
	assert_true(t->weight_latency > 0 && t->budget_calls > 0);
	mu_text_free(t);
}

static void
test_full(void **state)
{
	static const char yaml[] = PANTRY_SERVICE
	    "  depends_on: [llm]\n"
	    "  fencing: honoured\n"
	    "  repeatable_operations: [lookup]\n"
	    "  limits: {concurrency: 3, queue: 0}\n"
	    "  timeouts: {connect_ms: 7}\n"
	    "  retry_budget: 0.5\n"
	    "- {name: llm, kind: model, region: lakes, places: [x],"
	    " urgent: true, model: m1}\n"
	    "weights: {program_latency: 3, wasted_cache: 0}\n"
	    "budget: {tokens: 5, calls: 6, seconds: 7}\n";
	const struct mu_service *s;
	struct mu_error e;
	struct mu_text *t;

	(void)state;
	assert_int_equal(parse(yaml, &t, &e), 0);
	s = mu_text_find_service(t, "pantry");
	assert_string_equal(s->depends_on[0], "llm");
	assert_int_equal(s->fencing, MU_FENCING_HONOURED);
	assert_int_equal(s->limits.concurrency, 3);
	assert_int_equal(s->limits.queue, 0);
	assert_int_equal(s->timeouts.connect_ms, 7);
	assert_true(s->retry_budget == 0.5);
	assert_true(mu_text_repeatable(s, "lookup"));
	assert_false(mu_text_repeatable(s, "ship_kit"));
	assert_false(mu_text_repeatable(s, NULL));
	s = mu_text_find_service(t, "llm");
	assert_true(s->urgent && s->repeatable);
	assert_string_equal(s->model, "m1");
	assert_true(t->weight_latency == 3 && t->weight_waste == 0);
	assert_int_equal(t->budget_tokens + t->budget_calls, 11);
	assert_int_equal(t->budget_seconds, 7);
	mu_text_free(t);
}

static void
test_schema_errors_name_line_key_and_expectation(void **state)
{
	(void)state;
	assert_invalid("", "empty", "mapping");
	assert_invalid("# nothing\n", "empty", "mapping");
	assert_invalid("[1]", "MAPPING", "top level");
	assert_invalid("services: []", "services", "list");
	assert_invalid(PANTRY_SERVICE "  limits: {queue: many}\n", "line 6",
	    "services[1].limits.queue: Invalid");
	assert_invalid(PANTRY_SERVICE "  limits: {queue: many}\n", "expected",
	    "integer 0 to 65536");
	assert_invalid(PANTRY_SERVICE "  limit: {}\n", "Unexpected key: limit",
	    "services[1]");
	assert_invalid(
	    PANTRY_SERVICE "  urgent: maybe\n", "urgent", "true or false");
	assert_invalid(
	    PANTRY_SERVICE "  kind: plain\n", "already seen", "kind");
	assert_invalid(
	    "services: [{name: a, kind: odd}]", "kind", "model or plain");
	assert_invalid("services: [{name: a, kind: plain, places: [x]}]",
	    "Missing required mapping field: region", "services[1]");
	assert_invalid(PANTRY_SERVICE "  depends_on: [[pantry]]\n",
	    "depends_on[1]", "list of services");
	assert_invalid(PANTRY_SERVICE "weights: {program_latency: 'x\n\n",
	    "line 8:", "expected YAML");
	assert_invalid(
	    PANTRY_SERVICE "\tx: y\n", "line 6:", "cannot start any token");
	assert_invalid(PANTRY_SERVICE "a: \xff\n", "line 6:", "UTF-8");
	assert_invalid(PANTRY_SERVICE "? [a]\n: b\n", "key", "plain word");
	assert_invalid(
	    PANTRY_SERVICE "---\nservices: []\n", "several documents", "one");
	assert_invalid(
	    PANTRY_SERVICE "budget: &b {calls: 1}\nweights: *b\n", "alias", "");
}

static void
test_range_and_reference_errors(void **state)
{
	(void)state;
	assert_invalid(PANTRY_SERVICE "  limits: {concurrency: 0}\n",
	    "services[1].limits.concurrency", "1 to 65536");
	assert_invalid(
	    PANTRY_SERVICE "  retry_budget: nan\n", "retry_budget", "0 to 1");
	assert_invalid(
	    PANTRY_SERVICE "  retry_budget: 1.5\n", "retry_budget", "0 to 1");
	assert_invalid(PANTRY_SERVICE
	    "weights: {program_latency: 0, wasted_cache: 0}\n",
	    "weights", "above 0");
	assert_invalid(PANTRY_SERVICE "weights: {program_latency: inf}\n",
	    "weights.program_latency", "0 to 1000");
	assert_invalid(
	    PANTRY_SERVICE "budget: {calls: 0}\n", "budget.calls", "integer");
	assert_invalid(PANTRY_SERVICE "  depends_on: [smoke]\n", "pantry",
	    "'smoke' is no");
	assert_invalid(
	    PANTRY_SERVICE "  depends_on: [pantry]\n", "depends_on", "cycle");
	assert_invalid(
	    PANTRY_SERVICE "  repeatable_operations: [a, a]\n", "'a'", "twice");
	assert_invalid(PANTRY_SERVICE
	    "  repeatable: true\n  repeatable_operations: [a]\n",
	    "repeatable_operations", "no effect");
	assert_invalid(PANTRY_SERVICE "  model: m\n", "model", "kind model");
	assert_invalid(PANTRY_SERVICE "  timeouts: {total_ms: 10}\n",
	    "total_ms", "longest");
	assert_invalid(PANTRY_SERVICE
	    "- {name: pantry, kind: plain, region: r, places: [x]}\n",
	    "services[2].name", "two services");
	assert_invalid(PANTRY_SERVICE
	    "- {name: 'a b', kind: plain, region: r, places: [x]}\n",
	    "services[2].name", "letters");
}

static void
test_cycle_of_three(void **state)
{
	(void)state;
	assert_invalid("services:\n"
		       "- {name: a, kind: plain, region: r, places: [x],"
		       " depends_on: [b]}\n"
		       "- {name: b, kind: plain, region: r, places: [x],"
		       " depends_on: [c]}\n"
		       "- {name: c, kind: plain, region: r, places: [x],"
		       " depends_on: [a]}\n",
	    "depends_on", "cycle");
}

/*
 * Truncates and corrupts a valid text at every byte; *t must stay NULL on
 * failure.
 */
static void
test_damaged_bytes(void **state)
{
	char yaml[] =
	    PANTRY_SERVICE "  limits: {queue: 7}\nbudget: {calls: 9}\n";
	static const char damage_bytes[] = {
	    '\0', '\xff', '&', '*', '[', '"', '\n'};
	struct mu_error e;
	struct mu_text *t;
	size_t i, j;
	char old;

	(void)state;
	for (i = 0; i < sizeof(yaml) - 1; i++) {
		t = NULL;
		if (mu_text_parse(yaml, i, &t, &e) == 0)
			mu_text_free(t);
		for (j = 0; j < sizeof(damage_bytes); j++) {
			old = yaml[i];
			yaml[i] = damage_bytes[j];
			t = NULL;
			if (mu_text_parse(yaml, sizeof(yaml) - 1, &t, &e) == 0)
				mu_text_free(t);
			else
				assert_null(t);
			yaml[i] = old;
		}
	}
}

static void
assert_diff(const char *a, const char *b, const char *expected)
{
	char *d = mu_text_diff(a, b);

	assert_non_null(d);
	assert_string_equal(d, expected);
	free(d);
}

static void
test_diff(void **state)
{
	(void)state;
	assert_diff("a\nb\n", "a\nb\n", "");
	assert_diff("", "a\n", "@@ -0,0 +1,1 @@\n+a\n");
	assert_diff("a\n", "", "@@ -1,1 +0,0 @@\n-a\n");
	assert_diff(
	    "a\nb\nc\n", "a\nx\nc\n", "@@ -1,3 +1,3 @@\n a\n-b\n+x\n c\n");
	assert_diff("1\n2\n3\n4\n5\n6\n7\n8\n9\n",
	    "0\n2\n3\n4\n5\n6\n7\n8\n9\n",
	    "@@ -1,4 +1,4 @@\n-1\n+0\n 2\n 3\n 4\n");
	assert_diff("a\n1\n2\n3\n4\n5\n6\n7\nb\n",
	    "A\n1\n2\n3\n4\n5\n6\n7\nB\n",
	    "@@ -1,4 +1,4 @@\n-a\n+A\n 1\n 2\n 3\n"
	    "@@ -6,4 +6,4 @@\n 5\n 6\n 7\n-b\n+B\n");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_defaults),
	    cmocka_unit_test(test_full),
	    cmocka_unit_test(test_schema_errors_name_line_key_and_expectation),
	    cmocka_unit_test(test_range_and_reference_errors),
	    cmocka_unit_test(test_cycle_of_three),
	    cmocka_unit_test(test_damaged_bytes),
	    cmocka_unit_test(test_diff),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
