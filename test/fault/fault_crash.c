/*
 * fault_crash.c -- a request that crashes every endpoint that runs it.
 *
 * Endpoints exit on a marked ("poison") request.  Guards against retries that
 * take down one endpoint after another: however the caller resends it, and
 * through whichever daemons, at most two endpoints are lost.  Other requests
 * on those endpoints still complete, and a non-idempotent call is not rerun.
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

#define POISON "poison"
#define MAX_LOST_ENDPOINTS 2
#define ANSWER_TOKENS 8 /* the shortest answer that an engine generates */
#define LONG_ANSWER_TOKENS 20
#define SLOW_TOKEN_MS 100 /* keeps calls running while an engine dies */
#define BYSTANDERS 8
#define SENDS_PER_DAEMON 4

static struct cluster *
start_cluster(int daemons, int engines, int services)
{
	struct cluster *c = call_cluster(daemons, engines, services);
	int i;

	for (i = 0; i < engines; i++)
		fault_set(c->engine[i].fault, "{s:s}", "crash_on", POISON);
	for (i = 0; i < services; i++)
		fault_set(c->service[i].fault, "{s:s}", "crash_on", POISON);
	return c;
}

/* Number of endpoints that have exited. */
static int
lost_endpoints(struct cluster *c)
{
	int i, n = 0;

	for (i = 0; i < c->conf.engines; i++)
		n += !proc_alive(c->engine[i].proc);
	for (i = 0; i < c->conf.services; i++)
		n += !proc_alive(c->service[i].proc);
	return n;
}

/* Creates a program through this daemon, which then owns it. */
static void
create_program_at(const struct unit *d, char id[CALL_ID_LEN])
{
	json_t *j;
	int status;

	j = http_post(d->addr, "/v1/programs", CLUSTER_CALLER_KEY,
	    json_object(), &status);
	assert_int_equal(status, 201);
	(void)snprintf(id, CALL_ID_LEN, "%s",
	    json_string_value(json_object_get(j, "program")));
	json_decref(j);
}

/* Sends the poison request once; it must not succeed. */
static void
send_poison(const struct unit *d, const char *id, int seq)
{
	struct caller k;

	call_start_model(&k, d, id, seq, POISON, ANSWER_TOKENS);
	call_end(&k);
	assert_string_not_equal(call_outcome(&k), "done");
	http_clear(&k.res);
}

/* The remaining endpoints serve a normal call through each daemon. */
static void
assert_still_serves(struct cluster *c)
{
	struct caller k;
	char id[CALL_ID_LEN];
	int d;

	for (d = 0; d < c->conf.daemons; d++) {
		call_program(c, id);
		call_start_model(
		    &k, &c->daemon[d], id, 1, "well", ANSWER_TOKENS);
		call_end(&k);
		assert_string_equal(call_outcome(&k), "done");
		http_clear(&k.res);
	}
}

/* Resends one at a time: same seq, other daemons, other programs. */
static void
test_sent_again(void **state)
{
	struct cluster *c;
	struct caller k;
	char id[CALL_ID_LEN];
	int d, i;

	(void)state;
	c = start_cluster(3, 5, 1);
	call_program(c, id);
	for (i = 0; i < SENDS_PER_DAEMON; i++)
		for (d = 0; d < 3; d++)
			send_poison(&c->daemon[d], id, 1);
	for (i = 0; i < SENDS_PER_DAEMON; i++)
		for (d = 0; d < 3; d++) {
			create_program_at(&c->daemon[d], id);
			send_poison(&c->daemon[(d + i) % 3], id, 1);
		}
	assert_in_range(lost_endpoints(c), 1, MAX_LOST_ENDPOINTS);
	call_start_model(&k, &c->daemon[0], id, 1, POISON, ANSWER_TOKENS);
	call_end(&k);
	assert_string_equal(call_error(&k), "quarantined");
	assert_string_equal(call_outcome(&k), "not_run");
	http_clear(&k.res);
	/* The program continues with another call under the same seq. */
	call_until_final(&k, &c->daemon[1], id, 1);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
	/* The poison request under another seq. */
	send_poison(&c->daemon[1], id, 2);
	assert_in_range(lost_endpoints(c), 1, MAX_LOST_ENDPOINTS);
	assert_still_serves(c);
}

/* Optional fields do not make it a different request. */
static void
test_sent_again_marked(void **state)
{
	static const char *const extra[] = {"", ",\"repeatable\":true",
	    ",\"repeatable\":false", ",\"deadline_ms\":30000",
	    ",\"stream\":true"};
	struct cluster *c;
	struct caller k;
	char id[CALL_ID_LEN], body[512];
	size_t i;

	(void)state;
	c = start_cluster(2, 6, 1);
	call_program(c, id);
	for (i = 0; i < sizeof(extra) / sizeof(extra[0]); i++) {
		(void)snprintf(body, sizeof(body),
		    "{\"seq\":%zu,\"service\":\"smokehouse\",\"input\":{"
		    "\"messages\":[{\"role\":\"user\",\"content\":\"" POISON
		    "\"}],\"max_tokens\":8}%s}",
		    i > 2 ? i - 1 : 1, extra[i]);
		call_start_body(&k, &c->daemon[0], id, body);
		call_end(&k);
		assert_string_not_equal(call_outcome(&k), "done");
		http_clear(&k.res);
	}
	assert_in_range(lost_endpoints(c), 1, MAX_LOST_ENDPOINTS);
	assert_still_serves(c);
}

/* Concurrent copies of one call share one execution. */
static void
test_at_once(void **state)
{
	struct cluster *c;
	struct caller k[3 * SENDS_PER_DAEMON];
	char id[CALL_ID_LEN];
	int i;

	(void)state;
	c = start_cluster(3, 5, 1);
	call_program(c, id);
	for (i = 0; i < 3 * SENDS_PER_DAEMON; i++)
		call_start_model(
		    &k[i], &c->daemon[i % 3], id, 1, POISON, ANSWER_TOKENS);
	for (i = 0; i < 3 * SENDS_PER_DAEMON; i++) {
		call_end(&k[i]);
		assert_string_not_equal(call_outcome(&k[i]), "done");
		http_clear(&k[i].res);
	}
	assert_in_range(lost_endpoints(c), 1, MAX_LOST_ENDPOINTS);
	assert_still_serves(c);
}

/* Other requests on an engine that crashed still complete. */
static void
test_bystanders(void **state)
{
	struct cluster *c;
	struct caller k[BYSTANDERS], p;
	char id[BYSTANDERS][CALL_ID_LEN], bad[CALL_ID_LEN], text[32];
	int i;

	(void)state;
	c = start_cluster(2, 4, 1);
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	for (i = 0; i < BYSTANDERS; i++) {
		call_program(c, id[i]);
		(void)snprintf(text, sizeof(text), "by %d", i);
		call_start_model(&k[i], &c->daemon[i % 2], id[i], 1, text,
		    LONG_ANSWER_TOKENS);
	}
	for (i = 0; i < BYSTANDERS; i++)
		engines_until(c, id[i], 1, 1);
	call_program(c, bad);
	call_start_model(&p, &c->daemon[0], bad, 1, POISON, ANSWER_TOKENS);
	call_end(&p);
	assert_string_not_equal(call_outcome(&p), "done");
	http_clear(&p.res);
	assert_in_range(lost_endpoints(c), 1, MAX_LOST_ENDPOINTS);
	for (i = 0; i < BYSTANDERS; i++) {
		call_end(&k[i]);
		assert_string_equal(call_outcome(&k[i]), "done");
		http_clear(&k[i].res);
	}
	assert_still_serves(c);
}

/* A harmless request on an engine that dies completes and is cleared. */
static void
test_false_accusation(void **state)
{
	struct cluster *c;
	struct caller k;
	struct unit *e;
	char id[CALL_ID_LEN];
	int d;

	(void)state;
	c = start_cluster(2, 3, 1);
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	call_program(c, id);
	call_start_model(
	    &k, &c->daemon[0], id, 1, "innocent", LONG_ANSWER_TOKENS);
	e = engine_of(c, id, 1);
	proc_kill(e->proc);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
	engines_set(c, "token_ms", 1);
	/* Served by each daemon once notified that the request is cleared. */
	for (d = 0; d < 2; d++) {
		call_program(c, id);
		for (;;) {
			call_start_model(&k, &c->daemon[d], id, 1, "innocent",
			    LONG_ANSWER_TOKENS);
			call_end(&k);
			if (strcmp(call_error(&k), "quarantined") != 0)
				break;
			http_clear(&k.res);
			proc_sleep_ms(PROC_POLL_MS);
		}
		assert_string_equal(call_outcome(&k), "done");
		http_clear(&k.res);
	}
}

/* A non-idempotent poison call has an unknown result and is not rerun. */
static void
test_not_repeatable(void **state)
{
	static const char body[] =
	    "{\"seq\":%d,\"service\":\"pantry\",\"input\":{\"operation\":"
	    "\"reprint\",\"item\":\"" POISON "\"}}";
	struct cluster *c;
	struct caller k, again;
	char id[CALL_ID_LEN], text[256];
	int d;

	(void)state;
	c = start_cluster(3, 1, 4);
	call_program(c, id);
	(void)snprintf(text, sizeof(text), body, 1);
	call_start_body(&k, &c->daemon[0], id, text);
	call_end(&k);
	assert_string_equal(call_error(&k), "result_unknown");
	assert_int_equal(lost_endpoints(c), 1);
	for (d = 0; d < 3; d++) {
		call_start_body(&again, &c->daemon[d], id, text);
		call_end(&again);
		assert_string_equal(again.res.body, k.res.body);
		http_clear(&again.res);
	}
	assert_int_equal(lost_endpoints(c), 1);
	http_clear(&k.res);
	for (d = 0; d < 3 * SENDS_PER_DAEMON; d++) {
		create_program_at(&c->daemon[d % 3], id);
		call_start_body(&k, &c->daemon[d % 3], id, text);
		call_end(&k);
		assert_string_not_equal(call_outcome(&k), "done");
		http_clear(&k.res);
	}
	assert_in_range(lost_endpoints(c), 1, MAX_LOST_ENDPOINTS);
	call_program(c, id);
	call_until_final(&k, &c->daemon[0], id, 1);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_sent_again),
	    T(test_sent_again_marked),
	    T(test_at_once),
	    T(test_bystanders),
	    T(test_false_accusation),
	    T(test_not_repeatable),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
