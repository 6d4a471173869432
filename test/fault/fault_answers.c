/*
 * fault_answers.c -- a caller gets the complete answer to its own request.
 *
 * Guards against answers that are swapped between requests, late, duplicated
 * or truncated by endpoints, against the death of owners, and against callers
 * that disconnect and come back.  An engine's text names the program and the
 * history it was generated from (proof.h), so the answer alone shows whether
 * it belongs to the request and is complete.
 */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "proc.h"
#include "proc_call.h"
#include "proc_stream.h"

#define ANSWER_TOKENS 8 /* the shortest answer that an engine generates */
#define FIRST_BYTE_TIMEOUT_MS 1000 /* of services that answer late */
#define SLOW_TOKEN_MS 150 /* keeps a stream open while faults are injected */

/* Text of the answer, or "" if it has none. */
static const char *
answer_text(const struct caller *k)
{
	const char *s =
	    json_string_value(json_object_get(k->res.json, "output"));

	return s != NULL ? s : "";
}

/* The answer is complete and generated from the program's own history. */
static void
assert_own_answer(const struct caller *k, const char *program, int messages)
{
	char want[128];
	json_t *usage = json_object_get(k->res.json, "usage");

	assert_string_equal(call_outcome(k), "done");
	(void)snprintf(
	    want, sizeof(want), "program=%s messages=%d ", program, messages);
	assert_int_equal(strncmp(answer_text(k), want, strlen(want)), 0);
	assert_int_equal(
	    json_integer_value(json_object_get(usage, "output_tokens")),
	    ANSWER_TOKENS);
}

/* Text after the engine's proof; depends on the history alone. */
static const char *
text_after_proof(const struct caller *k)
{
	const char *semicolon = strchr(answer_text(k), ';');

	return semicolon != NULL ? semicolon : "";
}

/* Runs a call while each engine has one occurrence of the fault pending. */
static void
check_engine_fault(const char *field)
{
	struct cluster *c = call_cluster(2, 2, 1);
	struct caller k, plain;
	char id[CALL_ID_LEN], other[CALL_ID_LEN];

	call_program(c, id);
	call_program(c, other);
	call_start_model(
	    &plain, &c->daemon[0], other, 1, "the same", ANSWER_TOKENS);
	call_end(&plain);
	assert_own_answer(&plain, other, 1);
	engines_set(c, field, 1);
	call_start_model(&k, &c->daemon[0], id, 1, "the same", ANSWER_TOKENS);
	call_end(&k);
	assert_own_answer(&k, id, 1);
	assert_string_equal(text_after_proof(&k), text_after_proof(&plain));
	/* Duplicated pieces need no retry. */
	if (strcmp(field, "duplicate") == 0)
		assert_int_equal(engines_run_count(c, id, 1), 1);
	else
		assert_in_range(engines_run_count(c, id, 1), 2, 4);
	http_clear(&k.res);
	http_clear(&plain.res);
}

static void
test_crossed(void **state)
{
	(void)state;
	check_engine_fault("cross");
}

static void
test_truncated(void **state)
{
	(void)state;
	check_engine_fault("truncate");
}

static void
test_duplicated(void **state)
{
	(void)state;
	check_engine_fault("duplicate");
}

/* The first engine exceeds the timeout; the other engine's answer is used. */
static void
test_late(void **state)
{
	struct cluster *c;
	struct unit *slow;
	struct caller k;
	char id[CALL_ID_LEN], line[64];
	int i;

	(void)state;
	c = call_cluster(2, 2, 1);
	(void)snprintf(line, sizeof(line), "  timeouts: {first_byte_ms: %d}\n",
	    FIRST_BYTE_TIMEOUT_MS);
	cluster_apply_with_line(c, line);
	call_program(c, id);
	engines_set(c, "slow_ms", 2 * FIRST_BYTE_TIMEOUT_MS);
	call_start_model(&k, &c->daemon[0], id, 1, "late", ANSWER_TOKENS);
	slow = engine_of(c, id, 1);
	for (i = 0; i < 2; i++)
		if (&c->engine[i] != slow)
			fault_set(c->engine[i].fault, "{s:i}", "slow_ms", 0);
	call_end(&k);
	assert_own_answer(&k, id, 1);
	assert_int_equal(fault_run_count(slow->fault, id, 1), 1);
	assert_int_equal(engines_run_count(c, id, 1), 2);
	http_clear(&k.res);
}

/* A late non-idempotent call: its result is unknown, and it runs once. */
static void
test_late_once(void **state)
{
	struct cluster *c;
	struct caller k, again;
	char id[CALL_ID_LEN], line[64];

	(void)state;
	c = call_cluster(2, 1, 2);
	(void)snprintf(line, sizeof(line), "  timeouts: {first_byte_ms: %d}\n",
	    FIRST_BYTE_TIMEOUT_MS);
	cluster_apply_with_line(c, line);
	call_program(c, id);
	call_services_slow(c, 2 * FIRST_BYTE_TIMEOUT_MS);
	call_start(&k, &c->daemon[0], id, 1);
	call_end(&k);
	assert_string_equal(call_error(&k), "result_unknown");
	call_services_slow(c, 0);
	call_until_final(&again, &c->daemon[1], id, 1);
	assert_string_equal(again.res.body, k.res.body);
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
	http_clear(&again.res);
}

/* A plain service's answer that carries another request's id is discarded. */
static void
test_crossed_plain(void **state)
{
	static const char lookup[] =
	    "{\"seq\":1,\"service\":\"pantry\",\"input\":{\"operation\":"
	    "\"lookup\"}}";
	struct cluster *c;
	struct caller k;
	char id[CALL_ID_LEN];
	int i;

	(void)state;
	c = call_cluster(2, 1, 2);
	call_program(c, id);
	for (i = 0; i < 2; i++)
		fault_set(c->service[i].fault, "{s:i}", "cross", 1);
	call_start_body(&k, &c->daemon[0], id, lookup);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	assert_in_range(call_run_count(c, id, 1), 2, 3);
	http_clear(&k.res);
	for (i = 0; i < 2; i++)
		fault_set(c->service[i].fault, "{s:i}", "cross", 1);
	call_start(&k, &c->daemon[0], id, 2);
	call_end(&k);
	assert_string_equal(call_error(&k), "result_unknown");
	assert_int_equal(call_run_count(c, id, 2), 1);
	http_clear(&k.res);
}

/* Requests with a chosen key */

struct pending_request {
	pthread_t thread;
	struct http_req q;
	char path[160];
	char body[512];
	struct http_res res;
};

static void *
request_main(void *arg)
{
	struct pending_request *a = arg;

	http_run(&a->q, &a->res);
	return NULL;
}

static void
request_start(struct pending_request *a, const char *method,
    const struct unit *d, const char *key, const char *path, const char *body)
{
	memset(a, 0, sizeof(*a));
	(void)snprintf(a->path, sizeof(a->path), "%s", path);
	(void)snprintf(a->body, sizeof(a->body), "%s", body);
	a->q.method = method;
	a->q.addr = d->addr;
	a->q.bearer = key;
	a->q.path = a->path;
	a->q.body = body[0] != '\0' ? a->body : NULL;
	a->q.len = strlen(body);
	assert_int_equal(pthread_create(&a->thread, NULL, request_main, a), 0);
}

static void
request_run(struct pending_request *a, const char *method, const struct unit *d,
    const char *key, const char *path, const char *body)
{
	request_start(a, method, d, key, path, body);
	pthread_join(a->thread, NULL);
}

#define MODEL_BODY \
	"{\"seq\":1,\"service\":\"smokehouse\",\"input\":{\"messages\":[{" \
	"\"role\":\"user\",\"content\":\"%s\"}],\"max_tokens\":%d}}"

/* Creates a program for the customer with this key. */
static void
create_program_of(struct cluster *c, const char *key, char id[CALL_ID_LEN])
{
	json_t *j;
	int status;

	j = http_post(
	    c->daemon[0].addr, "/v1/programs", key, json_object(), &status);
	assert_int_equal(status, 201);
	(void)snprintf(id, CALL_ID_LEN, "%s",
	    json_string_value(json_object_get(j, "program")));
	json_decref(j);
}

/* One engine swaps the ids of the answers of two customers' calls. */
static void
test_two_callers_crossed(void **state)
{
	static const char *const keys[2] = {
	    CLUSTER_CALLER_KEY, CLUSTER_OTHER_KEY};
	struct cluster *c;
	struct pending_request a[2];
	char id[2][CALL_ID_LEN], path[160], body[256], want[160];
	const char *text;
	int i;

	(void)state;
	c = call_cluster(2, 1, 1);
	for (i = 0; i < 2; i++)
		create_program_of(c, keys[i], id[i]);
	engines_set(c, "cross", 3);
	for (i = 0; i < 2; i++) {
		(void)snprintf(
		    path, sizeof(path), "/v1/programs/%s/calls", id[i]);
		(void)snprintf(
		    body, sizeof(body), MODEL_BODY, keys[i], ANSWER_TOKENS);
		request_start(
		    &a[i], "POST", &c->daemon[i], keys[i], path, body);
	}
	for (i = 0; i < 2; i++) {
		pthread_join(a[i].thread, NULL);
		assert_int_equal(a[i].res.status, 200);
		text =
		    json_string_value(json_object_get(a[i].res.json, "output"));
		(void)snprintf(
		    want, sizeof(want), "program=%s messages=1 ", id[i]);
		assert_int_equal(strncmp(text, want, strlen(want)), 0);
		(void)snprintf(want, sizeof(want), "last=%s;", keys[i]);
		assert_non_null(strstr(text, want));
		http_clear(&a[i].res);
	}
	assert_in_range(
	    engines_run_count(c, id[0], 1) + engines_run_count(c, id[1], 1), 3,
	    5);
}

/* GETs a call through a daemon until it has ended; returns the body. */
static char *
fetch_call(const struct unit *d, const char *program, int seq)
{
	struct pending_request a;
	char path[128], *body;
	int64_t limit = proc_now_ms() + PROC_LIMIT_MS;

	(void)snprintf(
	    path, sizeof(path), "/v1/programs/%s/calls/%d", program, seq);
	for (;;) {
		request_run(&a, "GET", d, CLUSTER_CALLER_KEY, path, "");
		if (a.res.status == 200 || a.res.status == 409)
			break;
		http_clear(&a.res);
		if (proc_now_ms() > limit)
			fail_msg("no answer at %s", path);
		proc_sleep_ms(PROC_POLL_MS);
	}
	body = strdup(a.res.body);
	http_clear(&a.res);
	return body;
}

static void
test_stored_answers_stay(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k[3];
	char id[CALL_ID_LEN], *body;
	int i, d;

	(void)state;
	c = call_cluster(3, 1, 2);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	call_start_model(&k[0], other, id, 1, "first", ANSWER_TOKENS);
	call_end(&k[0]);
	call_start(&k[1], owner, id, 2);
	call_end(&k[1]);
	for (i = 0; i < c->conf.services; i++)
		fault_set(c->service[i].fault, "{s:i}", "lose_answers", 1);
	call_start(&k[2], other, id, 3);
	call_end(&k[2]);
	assert_string_equal(call_error(&k[2]), "result_unknown");
	for (d = 0; d < 3; d++)
		for (i = 0; i < 3; i++) {
			body = fetch_call(&c->daemon[d], id, i + 1);
			assert_string_equal(body, k[i].res.body);
			free(body);
		}
	proc_kill(owner->proc);
	for (d = 0; d < 3; d++)
		for (i = 0; i < 3 && &c->daemon[d] != owner; i++) {
			body = fetch_call(&c->daemon[d], id, i + 1);
			assert_string_equal(body, k[i].res.body);
			free(body);
		}
	for (i = 0; i < 3; i++)
		http_clear(&k[i].res);
}

/* Copies body, replacing its %s, if any, with the program's id. */
static void
insert_id(char *out, size_t size, const char *body, const char *program)
{
	const char *at = strstr(body, "%s");

	if (at == NULL)
		(void)snprintf(out, size, "%s", body);
	else
		(void)snprintf(out, size, "%.*s%s%s", (int)(at - body), body,
		    program, at + 2);
}

/* Requests the program and one that does not exist; both get the same 404. */
static void
assert_same_404(const struct unit *d, const char *method, const char *program,
    const char *tail, const char *body)
{
	struct pending_request a, b;
	char path[128], none[CALL_ID_LEN], text[2][512];
	size_t last;

	(void)snprintf(none, sizeof(none), "%s", program);
	last = strlen(none) - 1;
	none[last] = none[last] == '0' ? '1' : '0';
	(void)snprintf(path, sizeof(path), "/v1/programs/%s%s", program, tail);
	insert_id(text[0], sizeof(text[0]), body, program);
	request_run(&a, method, d, CLUSTER_OTHER_KEY,
	    tail[0] == '-' ? "/v1/programs" : path, text[0]);
	(void)snprintf(path, sizeof(path), "/v1/programs/%s%s", none, tail);
	insert_id(text[1], sizeof(text[1]), body, none);
	request_run(&b, method, d, CLUSTER_OTHER_KEY,
	    tail[0] == '-' ? "/v1/programs" : path, text[1]);
	assert_int_equal(a.res.status, 404);
	assert_int_equal(b.res.status, 404);
	assert_string_equal(a.res.body, b.res.body);
	http_clear(&a.res);
	http_clear(&b.res);
}

static void
test_foreign_program_is_not_found(void **state)
{
	static const char call[] =
	    "{\"seq\":%d,\"service\":\"pantry\",\"input\":{\"operation\":"
	    "\"reprint\"}}";
	struct cluster *c;
	struct caller k;
	struct pending_request a;
	char id[CALL_ID_LEN], body[256];
	int d, seq;

	(void)state;
	c = call_cluster(2, 1, 1);
	call_program(c, id);
	call_start(&k, &c->daemon[0], id, 1);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
	for (d = 0; d < 2; d++) {
		assert_same_404(&c->daemon[d], "GET", id, "", "");
		assert_same_404(&c->daemon[d], "GET", id, "/calls/1", "");
		assert_same_404(&c->daemon[d], "GET", id, "/calls/2", "");
		assert_same_404(&c->daemon[d], "DELETE", id, "", "");
		assert_same_404(
		    &c->daemon[d], "POST", id, "-", "{\"parent\":\"%s\"}");
		for (seq = 1; seq <= 3; seq++) {
			(void)snprintf(body, sizeof(body), call, seq);
			assert_same_404(
			    &c->daemon[d], "POST", id, "/calls", body);
		}
	}
	/* None of these requests changed anything. */
	assert_int_equal(call_run_count(c, id, 2), 0);
	(void)snprintf(body, sizeof(body), "/v1/programs/%s", id);
	request_run(&a, "GET", &c->daemon[0], CLUSTER_CALLER_KEY, body, "");
	assert_string_equal(
	    json_string_value(json_object_get(a.res.json, "state")), "active");
	assert_int_equal(
	    json_integer_value(json_object_get(a.res.json, "next_seq")), 2);
	http_clear(&a.res);
}

static void
test_caller_gave_up(void **state)
{
	struct cluster *c;
	struct stream s;
	char id[CALL_ID_LEN], want[160], *body;
	int d;

	(void)state;
	c = call_cluster(2, 1, 1);
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	for (d = 0; d < 2; d++) {
		call_program(c, id);
		stream_open(&s, c->daemon[d].addr, id, 1, "bye", ANSWER_TOKENS);
		engines_until(c, id, 1, 1);
		stream_close(&s);
		(void)snprintf(want, sizeof(want),
		    "\"output\":\"program=%s messages=1 ", id);
		body = fetch_call(&c->daemon[1 - d], id, 1);
		assert_non_null(strstr(body, want));
		free(body);
		assert_int_equal(engines_run_count(c, id, 1), 1);
	}
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_crossed),
	    T(test_truncated),
	    T(test_duplicated),
	    T(test_late),
	    T(test_late_once),
	    T(test_crossed_plain),
	    T(test_two_callers_crossed),
	    T(test_stored_answers_stay),
	    T(test_foreign_program_is_not_found),
	    T(test_caller_gave_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
