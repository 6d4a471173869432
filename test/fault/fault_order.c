/*
 * fault_order.c -- a program's calls run in seq order, within its budget.
 *
 * Calls arrive in any order through any daemon and must run in the order of
 * their seq.  Budgets must stay exact over retries, child programs and
 * takeovers.  A program that loops must get a typed error, and ending a
 * program must stop its calls.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "proc.h"
#include "proc_call.h"
#include "proc_stream.h"

#define CALL_COUNT 5
#define ANSWER_TOKENS 8 /* the shortest answer that an engine generates */
#define SLOW_CALL_MS 1300 /* two of these exceed the timeout for a seq gap */
#define SLOW_TOKEN_MS 1500 /* keeps a call running until it is stopped */
#define MAX_LOOPS 100

/* Creates a program with this budget (a JSON object) and parent; "": none. */
static void
create_program_with(const struct unit *d, const char *budget,
    const char *parent, char id[CALL_ID_LEN])
{
	json_t *body = json_object(), *j;
	int status;

	if (budget[0] != '\0')
		json_object_set_new(body, "budget", json_quoted(budget));
	if (parent[0] != '\0')
		json_object_set_new(body, "parent", json_string(parent));
	j = http_post(
	    d->addr, "/v1/programs", CLUSTER_CALLER_KEY, body, &status);
	assert_int_equal(status, 201);
	(void)snprintf(id, CALL_ID_LEN, "%s",
	    json_string_value(json_object_get(j, "program")));
	json_decref(j);
}

static json_t *
program_get(const struct unit *d, const char *id)
{
	char path[160];
	json_t *j;
	int status;

	(void)snprintf(path, sizeof(path), "/v1/programs/%s", id);
	j = http_get(d->addr, path, CLUSTER_CALLER_KEY, &status);
	assert_int_equal(status, 200);
	return j;
}

/* Remaining budget of a program in one unit. */
static json_int_t
budget_left(const struct unit *d, const char *id, const char *unit)
{
	json_t *j = program_get(d, id);
	json_int_t n;

	n = json_integer_value(
	    json_object_get(json_object_get(j, "budget_left"), unit));
	json_decref(j);
	return n;
}

/* The endpoint ran the program's calls with the seqs 1 to n, in order. */
static void
assert_in_order(const struct unit *endpoint, const char *id, int n)
{
	json_t *j = fault_executed(endpoint->fault), *e;
	json_int_t next = 1;
	const char *program;
	size_t i;

	json_array_foreach (j, i, e) {
		program = json_string_value(json_object_get(e, "program"));
		if (strcmp(program, id) != 0)
			continue;
		assert_int_equal(
		    json_integer_value(json_object_get(e, "seq")), next);
		next++;
	}
	assert_int_equal(next, n + 1);
	json_decref(j);
}

static void
test_model_calls_in_order(void **state)
{
	struct cluster *c;
	struct caller k[CALL_COUNT];
	char id[CALL_ID_LEN], want[64];
	int i;

	(void)state;
	c = call_cluster(3, 1, 1);
	call_program(c, id);
	for (i = CALL_COUNT - 1; i >= 0; i--)
		call_start_model(&k[i], &c->daemon[i % 3], id, i + 1,
		    "in order", ANSWER_TOKENS);
	for (i = 0; i < CALL_COUNT; i++) {
		call_end(&k[i]);
		assert_string_equal(call_outcome(&k[i]), "done");
		(void)snprintf(want, sizeof(want), " messages=%d ", 2 * i + 1);
		assert_non_null(strstr(k[i].res.body, want));
		http_clear(&k[i].res);
	}
	assert_in_order(&c->engine[0], id, CALL_COUNT);
}

/* The timeout bounds the wait for a missing seq, not for slow earlier calls. */
static void
test_slow_calls_in_order(void **state)
{
	struct cluster *c;
	struct caller k[CALL_COUNT];
	char id[CALL_ID_LEN];
	int i;

	(void)state;
	c = call_cluster(3, 1, 1);
	fault_set(c->service[0].fault, "{s:i}", "work_ms", SLOW_CALL_MS);
	call_program(c, id);
	call_start(&k[0], &c->daemon[0], id, 1);
	call_until_run(c, id, 1);
	for (i = CALL_COUNT - 1; i > 0; i--)
		call_start(&k[i], &c->daemon[i % 3], id, i + 1);
	for (i = 0; i < CALL_COUNT; i++) {
		call_end(&k[i]);
		assert_string_equal(call_error(&k[i]), "");
		assert_string_equal(call_outcome(&k[i]), "done");
		http_clear(&k[i].res);
	}
	assert_in_order(&c->service[0], id, CALL_COUNT);
}

static void
test_gap(void **state)
{
	struct cluster *c;
	struct caller k;
	char id[CALL_ID_LEN];
	json_t *error;
	int d;

	(void)state;
	c = call_cluster(2, 1, 1);
	call_program(c, id);
	for (d = 0; d < 2; d++) {
		call_start(&k, &c->daemon[d], id, 2);
		call_end(&k);
		error = json_object_get(k.res.json, "error");
		assert_string_equal(call_error(&k), "seq_gap");
		assert_string_equal(call_outcome(&k), "not_run");
		assert_true(json_integer_value(
				json_object_get(error, "retry_after_ms")) > 0);
		http_clear(&k.res);
	}
	assert_int_equal(call_run_count(c, id, 2), 0);
	for (d = 0; d < 2; d++) {
		call_start(&k, &c->daemon[d], id, d + 1);
		call_end(&k);
		assert_string_equal(call_outcome(&k), "done");
		http_clear(&k.res);
	}
	assert_in_order(&c->service[0], id, 2);
}

/* The next call is refused with budget_exhausted and does not run. */
static void
assert_budget_exhausted(
    struct cluster *c, const struct unit *d, const char *id, int seq)
{
	struct caller k;

	call_start_model(&k, d, id, seq, "one more", ANSWER_TOKENS);
	call_end(&k);
	assert_string_equal(call_error(&k), "budget_exhausted");
	assert_string_equal(call_outcome(&k), "not_run");
	assert_int_equal(k.res.status, 402);
	http_clear(&k.res);
	assert_int_equal(engines_run_count(c, id, seq), 0);
}

static void
assert_call_done(const struct unit *d, const char *id, int seq)
{
	struct caller k;

	call_start_model(&k, d, id, seq, "one more", ANSWER_TOKENS);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
}

/* A budget of calls, shared with a child, over a retry and a takeover. */
static void
test_budget_of_calls(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	char id[CALL_ID_LEN], child[CALL_ID_LEN];

	(void)state;
	c = call_cluster(3, 2, 1);
	create_program_with(&c->daemon[0], "{'calls':5}", "", id);
	create_program_with(&c->daemon[1], "", id, child);
	owner = call_owner(c, id, &other);
	engines_set(c, "truncate", 1);
	assert_call_done(owner, id, 1);
	assert_in_range(engines_run_count(c, id, 1), 2, 3);
	assert_int_equal(budget_left(other, id, "calls"), 4);
	engines_set(c, "truncate", 0);
	assert_call_done(other, child, 1);
	assert_call_done(owner, child, 2);
	assert_int_equal(budget_left(owner, child, "calls"), 2);
	proc_kill(owner->proc);
	assert_call_done(other, id, 2);
	assert_int_equal(budget_left(other, id, "calls"), 1);
	assert_call_done(other, child, 3);
	assert_budget_exhausted(c, other, id, 3);
	assert_budget_exhausted(c, other, child, 4);
	assert_int_equal(budget_left(other, id, "calls"), 0);
}

/* Tokens of one call, as reported in its answer. */
static json_int_t
tokens_used_by(const struct caller *k)
{
	json_t *u = json_object_get(k->res.json, "usage");

	return json_integer_value(json_object_get(u, "prompt_tokens")) +
	       json_integer_value(json_object_get(u, "output_tokens"));
}

/* A looping program: every token is accounted for until the budget is used. */
static void
test_budget_of_tokens(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k;
	char id[CALL_ID_LEN];
	json_int_t budget = 400, used = 0;
	int seq;

	(void)state;
	c = call_cluster(3, 1, 1);
	create_program_with(&c->daemon[0], "{'tokens':400}", "", id);
	owner = call_owner(c, id, &other);
	for (seq = 1; seq <= MAX_LOOPS; seq++) {
		call_start_model(&k, other, id, seq, "again", ANSWER_TOKENS);
		call_end(&k);
		if (strcmp(call_outcome(&k), "done") != 0)
			break;
		used += tokens_used_by(&k);
		http_clear(&k.res);
		assert_int_equal(
		    budget_left(other, id, "tokens"), budget - used);
		if (seq == 2)
			proc_kill(owner->proc);
	}
	assert_string_equal(call_error(&k), "budget_exhausted");
	assert_string_equal(call_outcome(&k), "not_run");
	http_clear(&k.res);
	assert_true(seq > 2 && used <= budget);
	assert_budget_exhausted(c, other, id, seq);
	assert_int_equal(budget_left(other, id, "tokens"), budget - used);
}

static void
test_budget_of_seconds(void **state)
{
	struct cluster *c;
	struct caller k;
	char id[CALL_ID_LEN];
	int seq = 1, i;

	(void)state;
	c = call_cluster(2, 1, 1);
	create_program_with(&c->daemon[0], "{'seconds':2}", "", id);
	engines_set(c, "token_ms", 100);
	for (i = 0; i < MAX_LOOPS; i++) {
		call_start_model(
		    &k, &c->daemon[i % 2], id, seq, "tick", ANSWER_TOKENS);
		call_end(&k);
		if (strcmp(call_error(&k), "budget_exhausted") == 0)
			break;
		if (strcmp(call_outcome(&k), "done") == 0)
			seq++;
		http_clear(&k.res);
	}
	assert_string_equal(call_error(&k), "budget_exhausted");
	http_clear(&k.res);
	assert_true(seq > 1);
	assert_int_equal(budget_left(&c->daemon[0], id, "seconds"), 0);
	call_start_model(&k, &c->daemon[1], id, seq, "tick", ANSWER_TOKENS);
	call_end(&k);
	assert_string_equal(call_error(&k), "budget_exhausted");
	http_clear(&k.res);
}

static bool
engine_is_idle(void *engine)
{
	const struct unit *u = engine;
	json_t *j = http_get(u->addr, "/v1/load", NULL, NULL);
	json_int_t n = json_integer_value(json_object_get(j, "running"));

	json_decref(j);
	return n == 0;
}

/* Ending a program stops its running calls and those of its children. */
static void
test_end_stops_child_programs(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k[2];
	char id[2][CALL_ID_LEN], path[160];
	json_t *j;
	int i, status;

	(void)state;
	c = call_cluster(2, 1, 1);
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	create_program_with(&c->daemon[0], "", "", id[0]);
	create_program_with(&c->daemon[1], "", id[0], id[1]);
	owner = call_owner(c, id[0], &other);
	for (i = 0; i < 2; i++) {
		call_start_model(&k[i], i == 0 ? owner : other, id[i], 1,
		    "goes on", ANSWER_TOKENS);
		engines_until(c, id[i], 1, 1);
	}
	(void)snprintf(path, sizeof(path), "/v1/programs/%s", id[0]);
	json_decref(http_send(
	    "DELETE", other->addr, path, CLUSTER_CALLER_KEY, NULL, &status));
	assert_int_equal(status, 200);
	for (i = 0; i < 2; i++) {
		call_end(&k[i]);
		assert_string_not_equal(call_error(&k[i]), "");
		http_clear(&k[i].res);
	}
	proc_until("an idle engine", engine_is_idle, &c->engine[0]);
	for (i = 0; i < 2; i++) {
		j = program_get(owner, id[i]);
		assert_string_equal(
		    json_string_value(json_object_get(j, "state")), "ended");
		json_decref(j);
		call_start_model(
		    &k[0], other, id[i], 1, "no more", ANSWER_TOKENS);
		call_end(&k[0]);
		assert_string_equal(call_error(&k[0]), "program_ended");
		assert_string_equal(call_outcome(&k[0]), "not_run");
		http_clear(&k[0].res);
	}
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_model_calls_in_order),
	    T(test_slow_calls_in_order),
	    T(test_gap),
	    T(test_budget_of_calls),
	    T(test_budget_of_tokens),
	    T(test_budget_of_seconds),
	    T(test_end_stops_child_programs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
