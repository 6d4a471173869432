/*
 * fault_held.c -- engines release the cached prefixes of ended programs.
 *
 * Guards against cache memory that leaks when a program ends or its caller
 * never returns while release orders or cache events are lost or the owner
 * dies, with engines that check epochs (fencing) and engines that do not.
 * Each test queries the engines until they hold no tokens.
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

#define PROGRAMS 6
#define ANSWER_TOKENS 8 /* the shortest answer that an engine generates */
#define LONG_ANSWER_TOKENS 30
#define SLOW_TOKEN_MS 100 /* keeps calls running while programs end */
#define EVENT_LAG_MS 60000 /* longer than the test */

/* Tokens that an engine holds for a program (NULL: all programs). */
static json_int_t
held_tokens(const struct unit *engine, const char *program)
{
	json_t *j = http_get(engine->addr, "/v1/held", NULL, NULL), *h;
	json_int_t n = 0;
	const char *id;
	size_t i;

	assert_non_null(j);
	json_array_foreach (json_object_get(j, "held"), i, h) {
		id = json_string_value(json_object_get(h, "program"));
		if (program == NULL || strcmp(id, program) == 0)
			n += json_integer_value(json_object_get(h, "tokens"));
	}
	json_decref(j);
	return n;
}

static json_int_t
total_held_tokens(struct cluster *c)
{
	json_int_t n = 0;
	int i;

	for (i = 0; i < c->conf.engines; i++)
		n += held_tokens(&c->engine[i], NULL);
	return n;
}

/* Whether no call is left that would store a prefix when it completes. */
static bool
engine_is_idle(const struct unit *engine)
{
	json_t *j = http_get(engine->addr, "/v1/load", NULL, NULL);
	json_int_t n;

	assert_non_null(j);
	n = json_integer_value(json_object_get(j, "running")) +
	    json_integer_value(json_object_get(j, "queued"));
	json_decref(j);
	return n == 0;
}

static bool
nothing_held(void *cluster)
{
	struct cluster *c = cluster;
	int i;

	for (i = 0; i < c->conf.engines; i++)
		if (!engine_is_idle(&c->engine[i]))
			return false;
	return total_held_tokens(c) == 0;
}

static struct cluster *
start_cluster(bool fencing, int daemons, int engines)
{
	struct cluster_conf conf;
	struct cluster *c;
	char text[4096];

	cluster_defaults(&conf);
	conf.daemons = daemons;
	conf.engines = engines;
	conf.services = 1;
	conf.fencing = fencing;
	c = cluster_start_conf(&conf);
	cluster_text(c, text, sizeof(text));
	cluster_apply(c, 0, text);
	return c;
}

/* Creates programs and runs one call of each. */
static void
make_programs(struct cluster *c, char id[PROGRAMS][CALL_ID_LEN])
{
	struct caller k;
	int i;

	for (i = 0; i < PROGRAMS; i++) {
		call_program(c, id[i]);
		call_start_model(&k, &c->daemon[i % c->conf.daemons], id[i], 1,
		    "hold this", ANSWER_TOKENS);
		call_end(&k);
		assert_string_equal(call_outcome(&k), "done");
		http_clear(&k.res);
	}
	assert_true(total_held_tokens(c) > 0);
}

/* Ends a program, retrying until the request succeeds. */
static void
end_program(const struct unit *d, const char *id)
{
	int64_t limit = proc_now_ms() + PROC_LIMIT_MS;
	char path[128];
	int status;

	(void)snprintf(path, sizeof(path), "/v1/programs/%s", id);
	do {
		json_decref(http_send("DELETE", d->addr, path,
		    CLUSTER_CALLER_KEY, NULL, &status));
		if (proc_now_ms() > limit)
			fail_msg("%s could not be ended", id);
	} while (status != 200);
}

static void
end_programs(const struct unit *d, char id[PROGRAMS][CALL_ID_LEN])
{
	int i;

	for (i = 0; i < PROGRAMS; i++)
		end_program(d, id[i]);
}

static bool
order_received(void *cluster)
{
	struct cluster *c = cluster;
	json_int_t n = 0;
	int i;

	for (i = 0; i < c->conf.engines; i++)
		n += fault_count(c->engine[i].fault, "orders");
	return n >= 1;
}

/* Loses first the answers to release orders, then the orders themselves. */
static void
check_lost_orders(bool fencing)
{
	struct cluster *c = start_cluster(fencing, 2, 2);
	char id[PROGRAMS][CALL_ID_LEN];
	int i;

	make_programs(c, id);
	engines_set(c, "lose_answers", 2);
	end_programs(&c->daemon[1], id);
	proc_until("an order", order_received, c);
	for (i = 0; i < 2; i++)
		fault_set(c->engine[i].fault, "{s:b}", "reset", 1);
	proc_until("nothing held", nothing_held, c);
	make_programs(c, id);
	for (i = 0; i < 2; i++)
		fault_set(c->engine[i].fault, "{s:b}", "refuse", 1);
	end_programs(&c->daemon[0], id);
	for (i = 0; i < 2; i++)
		fault_set(c->engine[i].fault, "{s:b}", "reset", 1);
	proc_until("nothing held", nothing_held, c);
}

static void
test_lost_orders(void **state)
{
	(void)state;
	check_lost_orders(false);
}

static void
test_lost_orders_fencing(void **state)
{
	(void)state;
	check_lost_orders(true);
}

/* The owner dies, and the programs end at the new owner. */
static void
check_owner_dies(bool fencing)
{
	struct unit *owner, *other;
	struct cluster *c = start_cluster(fencing, 3, 2);
	char id[PROGRAMS][CALL_ID_LEN];

	make_programs(c, id);
	owner = call_owner(c, id[0], &other);
	proc_kill(owner->proc);
	end_programs(other, id);
	proc_until("nothing held", nothing_held, c);
}

static void
test_owner_dies(void **state)
{
	(void)state;
	check_owner_dies(false);
}

static void
test_owner_dies_fencing(void **state)
{
	(void)state;
	check_owner_dies(true);
}

/* The owner dies after recording the end and before an order succeeds. */
static void
test_owner_dies_after_end(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	char id[PROGRAMS][CALL_ID_LEN];
	int i;

	(void)state;
	c = start_cluster(true, 3, 2);
	make_programs(c, id);
	owner = call_owner(c, id[0], &other);
	for (i = 0; i < 2; i++)
		fault_set(c->engine[i].fault, "{s:b}", "refuse", 1);
	end_programs(other, id);
	proc_kill(owner->proc);
	for (i = 0; i < 2; i++)
		fault_set(c->engine[i].fault, "{s:b}", "reset", 1);
	proc_until("nothing held", nothing_held, c);
}

static void
test_events_lost(void **state)
{
	struct cluster *c;
	char id[PROGRAMS][CALL_ID_LEN];
	int i;

	(void)state;
	c = start_cluster(false, 2, 2);
	for (i = 0; i < 2; i++)
		fault_set(c->engine[i].fault, "{s:f,s:i}", "event_loss", 1.0,
		    "event_lag_ms", EVENT_LAG_MS);
	make_programs(c, id);
	end_programs(&c->daemon[0], id);
	proc_until("nothing held", nothing_held, c);
}

/* Idle programs lose their prefixes but can still continue. */
static void
test_callers_never_return(void **state)
{
	struct cluster *c;
	struct caller k;
	char id[PROGRAMS][CALL_ID_LEN];

	(void)state;
	c = start_cluster(false, 2, 2);
	make_programs(c, id);
	cluster_apply_with_line(c, "  retain_idle_ms: 500\n");
	proc_until("nothing held", nothing_held, c);
	call_start_model(&k, &c->daemon[1], id[0], 2, "back", ANSWER_TOKENS);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	assert_non_null(
	    strstr(json_string_value(json_object_get(k.res.json, "output")),
		" messages=3 "));
	http_clear(&k.res);
	proc_until("nothing held", nothing_held, c);
}

struct cache_location {
	struct unit *engine;
	const char *program;
};

static bool
is_released(void *arg)
{
	const struct cache_location *p = arg;

	return held_tokens(p->engine, p->program) == 0;
}

/* A program that moved is released by its old engine, not by the new one. */
static void
test_moved(void **state)
{
	struct cluster *c;
	struct caller k;
	struct cache_location previous;
	struct unit *current;
	char id[CALL_ID_LEN];

	(void)state;
	c = start_cluster(true, 2, 2);
	call_program(c, id);
	call_start_model(&k, &c->daemon[0], id, 1, "here", ANSWER_TOKENS);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
	previous.engine = engine_of(c, id, 1);
	previous.program = id;
	current =
	    previous.engine == &c->engine[0] ? &c->engine[1] : &c->engine[0];
	assert_true(held_tokens(previous.engine, id) > 0);
	fault_set(
	    previous.engine->fault, "{s:i,s:s}", "truncate", 1, "match", id);
	call_start_model(&k, &c->daemon[1], id, 2, "there", ANSWER_TOKENS);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
	assert_int_equal(fault_run_count(current->fault, id, 2), 1);
	proc_until(
	    "the release at the previous engine", is_released, &previous);
	assert_true(held_tokens(current, id) > 0);
	end_program(&c->daemon[0], id);
	proc_until("nothing held", nothing_held, c);
}

/* A call that outlives its program stores the prefix again at its end. */
static void
test_ended_while_running(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k[PROGRAMS];
	char id[PROGRAMS][CALL_ID_LEN];
	int i;

	(void)state;
	c = start_cluster(false, 2, 2);
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	for (i = 0; i < PROGRAMS; i++) {
		call_program(c, id[i]);
		call_start_model(&k[i], &c->daemon[i % 2], id[i], 1, "running",
		    LONG_ANSWER_TOKENS);
		engines_until(c, id[i], 1, 1);
	}
	/* The owner of the first program dies before the programs end. */
	owner = call_owner(c, id[0], &other);
	proc_kill(owner->proc);
	end_programs(other, id);
	for (i = 0; i < PROGRAMS; i++) {
		call_end(&k[i]);
		http_clear(&k[i].res);
	}
	engines_set(c, "token_ms", 1);
	proc_until("nothing held", nothing_held, c);
}

/* A paused owner resumes after the programs ended at the new owner. */
static void
test_owner_wakes(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k;
	char id[PROGRAMS][CALL_ID_LEN];

	(void)state;
	c = start_cluster(true, 2, 2);
	make_programs(c, id);
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	owner = call_owner(c, id[0], &other);
	call_start_model(&k, owner, id[0], 2, "paused", LONG_ANSWER_TOKENS);
	engines_until(c, id[0], 2, 1);
	proc_pause(owner->proc);
	end_programs(other, id);
	proc_resume(owner->proc);
	call_end(&k);
	http_clear(&k.res);
	engines_set(c, "token_ms", 1);
	proc_until("nothing held", nothing_held, c);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_lost_orders),
	    T(test_lost_orders_fencing),
	    T(test_owner_dies),
	    T(test_owner_dies_fencing),
	    T(test_owner_dies_after_end),
	    T(test_events_lost),
	    T(test_callers_never_return),
	    T(test_moved),
	    T(test_ended_while_running),
	    T(test_owner_wakes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
