/*
 * fault_once.c -- a non-idempotent call runs at most once.
 *
 * Guards against a second execution when the owner is killed or paused, the
 * platform is unavailable or its answers are lost, at each stage of a call,
 * alone and combined, and the caller retries through another daemon.  The
 * plain service counts its executions, which must match the reported outcome.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <pthread.h>
#include <cmocka.h>

#include "proc.h"
#include "proc_call.h"

#define SLOW_SERVICE_MS 1500

static void
test_kill_owner_while_it_runs(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k, again;
	char id[64];

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	call_services_slow(c, SLOW_SERVICE_MS);
	call_start(&k, owner, id, 1);
	call_until_run(c, id, 1);
	proc_kill(owner->proc);
	call_until_final(&again, other, id, 1);
	call_end(&k);
	assert_string_equal(call_outcome(&again), "unknown");
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
	http_clear(&again.res);
	/* The program continues with the next call. */
	call_services_slow(c, 0);
	call_until_final(&again, other, id, 2);
	assert_string_equal(call_outcome(&again), "done");
	assert_int_equal(call_run_count(c, id, 2), 1);
	http_clear(&again.res);
}

static void
test_kill_owner_after_its_answer(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k, again;
	char id[64];

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	call_start(&k, owner, id, 1);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	proc_kill(owner->proc);
	call_until_final(&again, other, id, 1);
	assert_string_equal(again.res.body, k.res.body);
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
	http_clear(&again.res);
}

static void
test_platform_down_refuses_at_once(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k;
	char id[64];

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	fault_set(c->platform.fault, "{s:b}", "refuse", 1);
	proc_until("the owner's notice of the outage",
	    call_platform_unavailable, owner);
	call_start(&k, owner, id, 1);
	call_end(&k);
	assert_int_equal(k.res.status, 503);
	assert_string_equal(call_outcome(&k), "not_run");
	assert_true(
	    json_integer_value(json_object_get(
		json_object_get(k.res.json, "error"), "retry_after_ms")) > 0);
	assert_int_equal(call_run_count(c, id, 1), 0);
	http_clear(&k.res);
	fault_set(c->platform.fault, "{s:b}", "reset", 1);
	call_until_final(&k, other, id, 1);
	assert_string_equal(call_outcome(&k), "done");
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
}

static void
test_platform_loses_the_intents_answer(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k;
	char id[64];

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	fault_set(c->platform.fault, "{s:i}", "lose_answers", 5);
	call_start(&k, owner, id, 1);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
}

/* The platform's answers are lost, so the owner dies without knowing whether
 * its intent is durable and before it sends the call. */
static void
test_kill_owner_between_intent_and_send(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k, again;
	char id[64];

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	fault_set(c->platform.fault, "{s:i}", "lose_answers", 100000);
	call_start(&k, owner, id, 1);
	proc_until("the owner's notice of the outage",
	    call_platform_unavailable, owner);
	assert_int_equal(call_run_count(c, id, 1), 0);
	proc_kill(owner->proc);
	fault_set(c->platform.fault, "{s:b}", "reset", 1);
	call_end(&k);
	http_clear(&k.res);
	call_until_final(&again, other, id, 1);
	/* If the intent is durable, the result is unknown and the call does not
	 * run; if not, it runs once. */
	if (strcmp(call_outcome(&again), "unknown") == 0)
		assert_int_equal(call_run_count(c, id, 1), 0);
	else
		assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&again.res);
}

/* The call ran, and the owner dies before it can commit the outcome. */
static void
test_kill_owner_before_outcome_commit(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k, again;
	char id[64];

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	call_services_slow(c, SLOW_SERVICE_MS);
	call_start(&k, owner, id, 1);
	call_until_run(c, id, 1);
	fault_set(c->platform.fault, "{s:b}", "refuse", 1);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	assert_true(json_is_false(json_object_get(k.res.json, "committed")));
	proc_kill(owner->proc);
	fault_set(c->platform.fault, "{s:b}", "reset", 1);
	call_until_final(&again, other, id, 1);
	assert_string_equal(call_outcome(&again), "unknown");
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
	http_clear(&again.res);
}

static void
test_owner_frozen_past_its_lease(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k, again;
	char id[64];

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	call_services_slow(c, SLOW_SERVICE_MS);
	call_start(&k, owner, id, 1);
	call_until_run(c, id, 1);
	proc_pause(owner->proc);
	call_until_final(&again, other, id, 1);
	assert_string_equal(call_outcome(&again), "unknown");
	proc_resume(owner->proc);
	call_end(&k);
	/* It resumes with the answer but no longer owns the program, so both
	 * callers must get the same outcome. */
	assert_string_equal(call_outcome(&k), "unknown");
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
	http_clear(&again.res);
}

static void
test_sent_to_all_daemons_at_once(void **state)
{
	struct cluster *c;
	struct caller k[3];
	char id[64];
	int i;

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	call_services_slow(c, 200);
	for (i = 0; i < 3; i++)
		call_start(&k[i], &c->daemon[i], id, 1);
	for (i = 0; i < 3; i++) {
		call_end(&k[i]);
		assert_string_equal(call_outcome(&k[i]), "done");
		assert_string_equal(k[i].res.body, k[0].res.body);
	}
	assert_int_equal(call_run_count(c, id, 1), 1);
	for (i = 0; i < 3; i++)
		http_clear(&k[i].res);
}

/* The owner dies, and answers to the takeover's writes are lost as well. */
static void
test_kill_owner_and_lose_the_takeovers_answer(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k, again;
	char id[64];

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	call_services_slow(c, SLOW_SERVICE_MS);
	call_start(&k, owner, id, 1);
	call_until_run(c, id, 1);
	fault_set(c->platform.fault, "{s:i}", "lose_answers", 20);
	proc_kill(owner->proc);
	call_until_final(&again, other, id, 1);
	assert_string_equal(call_outcome(&again), "unknown");
	assert_int_equal(call_run_count(c, id, 1), 1);
	call_end(&k);
	http_clear(&k.res);
	http_clear(&again.res);
}

/* The service's answer is lost; the call may have run, so it is not retried. */
static void
test_service_loses_its_answer(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k, again;
	char id[64];
	int i;

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	for (i = 0; i < c->conf.services; i++)
		fault_set(c->service[i].fault, "{s:i}", "lose_answers", 1);
	call_start(&k, owner, id, 1);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "unknown");
	call_until_final(&again, other, id, 1);
	assert_string_equal(again.res.body, k.res.body);
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
	http_clear(&again.res);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_kill_owner_while_it_runs),
	    T(test_kill_owner_after_its_answer),
	    T(test_platform_down_refuses_at_once),
	    T(test_platform_loses_the_intents_answer),
	    T(test_kill_owner_between_intent_and_send),
	    T(test_kill_owner_before_outcome_commit),
	    T(test_owner_frozen_past_its_lease),
	    T(test_sent_to_all_daemons_at_once),
	    T(test_kill_owner_and_lose_the_takeovers_answer),
	    T(test_service_loses_its_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
