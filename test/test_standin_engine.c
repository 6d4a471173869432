/*
 * test_standin_engine.c -- the engine stand-in.
 *
 * Checks streams, cache, priorities and control requests against
 * docs/design/contracts.md.
 */
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "proc.h"
#include "proof.h"

#define CONNECTION_COUNT 300
#define NEVER_MS 3600000 /* longer than any test */
#define TEXT_MAX 4096

static char addr[PROC_ADDR_LEN], fault[PROC_ADDR_LEN];

/* Starts a stand-in with one option, or with none if opt is NULL. */
static struct proc *
start_standin(const char *prog, const char *opt, const char *value)
{
	return proc_standin(
	    prog, addr, fault, (const char *[]){opt, value, NULL});
}

/* Posts JSON text with single quotes; returns the status.  out may be NULL. */
static int
post(const char *path, const char *text, json_t **out)
{
	json_t *r, *body = json_quoted(text);
	int status;

	assert_non_null(body);
	r = http_post(addr, path, NULL, body, &status);
	if (out != NULL)
		*out = r;
	else
		json_decref(r);
	return status;
}

static json_int_t
get_int(const char *path, const char *key)
{
	json_t *r = http_get(addr, path, NULL, NULL);
	json_int_t n = json_integer_value(json_object_get(r, key));

	json_decref(r);
	return n;
}

static void
append(char *buf, size_t size, const char *text)
{
	size_t n = strlen(buf);

	snprintf(buf + n, size - n, "%s", text);
}

struct answer {
	char text[TEXT_MAX]; /* of all chunks */
	size_t chunks;
	json_t *last_event; /* the event without text; NULL: none */
	int status;
	bool whole;
	char id[64]; /* request id in the first chunk */
};

static void
answer_add_event(struct answer *a, const char *data)
{
	json_t *e = json_loads(data, JSON_DISABLE_EOF_CHECK, NULL);
	const char *text = json_string_value(json_object_get(e, "text"));

	assert_non_null(e);
	if (text == NULL) {
		a->last_event = e;
		return;
	}
	if (a->chunks++ == 0)
		snprintf(a->id, sizeof(a->id), "%s",
		    json_string_value(json_object_get(e, "request_id")));
	append(a->text, sizeof(a->text), text);
	json_decref(e);
}

/* Returns the body of a generate request with one user message. */
static char *
generate_body(const char *id, const char *program, int priority,
    const char *content, int max_tokens)
{
	json_t *o = json_pack("{s:s,s:s,s:i,s:i,s:i,s:[{s:s,s:s}],s:i}",
	    "request_id", id, "program", program, "seq", 1, "epoch", 1,
	    "priority", priority, "messages", "role", "user", "content",
	    content, "max_tokens", max_tokens);
	char *text = json_dumps(o, 0);

	assert_non_null(text);
	json_decref(o);
	return text;
}

static struct answer
generate(const char *id, const char *program, const char *content, int max)
{
	char *body = generate_body(id, program, 0, content, max);
	struct http_req q = {.method = "POST",
	    .addr = addr,
	    .path = "/v1/generate",
	    .body = body,
	    .len = strlen(body)};
	struct answer a = {.status = 0};
	struct http_res r;
	const char *p;

	http_run(&q, &r);
	a.status = r.status;
	a.whole = r.whole;
	for (p = r.body; p != NULL && (p = strstr(p, "data: ")) != NULL;) {
		p += strlen("data: ");
		answer_add_event(&a, p);
	}
	http_clear(&r);
	free(body);
	return a;
}

/* Sends a generate request without reading the response; returns the socket. */
static int
send_generate(const char *id, int priority)
{
	char *body = generate_body(id, id, priority, "x", 8);
	char text[TEXT_MAX];
	int fd;

	snprintf(text, sizeof(text),
	    "POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: "
	    "%zu\r\n\r\n%s",
	    strlen(body), body);
	free(body);
	fd = http_open(addr, text);
	assert_int_not_equal(fd, -1);
	return fd;
}

static json_int_t
usage_value(const struct answer *a, const char *key)
{
	return json_integer_value(
	    json_object_get(json_object_get(a->last_event, "usage"), key));
}

static void
test_answer_proves_its_history(void **state)
{
	json_t *messages = json_pack(
	    "[{s:s,s:s}]", "role", "user", "content", "salt for 5 lb?");
	char want[TEXT_MAX];
	struct answer a;

	(void)state;
	start_standin("standin-engine", "--token-ms", "0");
	a = generate("r1", "prog", "salt for 5 lb?", 3);
	snprintf(want, sizeof(want), PROOF_FORMAT " w1 w2", "prog", (size_t)1,
	    (unsigned long long)proof_hash_messages(messages),
	    "salt for 5 lb?");
	assert_string_equal(a.text, want);
	assert_true(a.whole);
	assert_int_equal(a.chunks, 3);
	assert_int_equal(usage_value(&a, "prompt_tokens"), 4);
	assert_int_equal(usage_value(&a, "cached_tokens"), 0);
	json_decref(a.last_event);
	a = generate("r2", "prog", "salt for 5 lb? And for 50 lb?", 3);
	assert_int_equal(usage_value(&a, "cached_tokens"), 7);
	json_decref(a.last_event);
	json_decref(messages);
}

static void
test_streams_break_as_asked(void **state)
{
	struct answer a;

	(void)state;
	start_standin("standin-engine", "--token-ms", "0");
	fault_set(fault, "{s:i}", "truncate", 1);
	a = generate("r1", "p", "x", 6);
	assert_null(a.last_event);
	assert_false(a.whole);
	assert_int_equal(a.chunks, 3);
	fault_set(fault, "{s:i,s:i}", "duplicate", 1, "cross", 1);
	a = generate("r2", "p", "x", 6);
	assert_int_equal(a.chunks, 12);
	assert_string_equal(a.id, "r1");
	json_decref(a.last_event);
	a = generate("r3", "p", "x", 6);
	assert_int_equal(a.chunks, 6);
	assert_string_equal(a.id, "r3");
	json_decref(a.last_event);
}

/* Compares the programs of /v1/held, or "kind:program" of /v1/events. */
static void
check_list(const char *path, const char *list, const char *want)
{
	json_t *r = http_get(addr, path, NULL, NULL), *v;
	char got[256] = "";
	const char *kind;
	size_t i, n;

	json_array_foreach (json_object_get(r, list), i, v) {
		kind = json_string_value(json_object_get(v, "kind"));
		n = strlen(got);
		snprintf(got + n, sizeof(got) - n, "%s%s%s ",
		    kind == NULL ? "" : kind, kind == NULL ? "" : ":",
		    json_string_value(json_object_get(v, "program")));
	}
	json_decref(r);
	assert_string_equal(got, want);
}

static void
test_cache_evicts_least_recently_used(void **state)
{
	(void)state;
	start_standin("standin-engine", "--cache-tokens", "30");
	fault_set(fault, "{s:i}", "token_ms", 0);
	json_decref(generate("r1", "a", "1234", 9).last_event);
	json_decref(generate("r2", "b", "1234", 9).last_event);
	json_decref(generate("r3", "a", "1234", 9).last_event);
	json_decref(generate("r4", "c", "1234", 9).last_event);
	check_list("/v1/held", "held", "c a b ");
	json_decref(generate("r5", "d", "1234", 1).last_event);
	check_list("/v1/held", "held", "d c a ");
	assert_int_equal(get_int("/v1/load", "cache_used"), 22);
	check_list(
	    "/v1/events?after=8", "events", "evicted:b stored:d stored:d ");
	fault_set(fault, "{s:f}", "event_loss", 1.0);
	assert_int_equal(
	    post("/v1/release", "{'program':'a','epoch':1}", NULL), 200);
	check_list("/v1/events?after=11", "events", "");
	assert_int_equal(get_int("/v1/events?after=11", "next"), 12);
	fault_set(fault, "{s:i}", "event_lag_ms", NEVER_MS);
	check_list("/v1/events?after=0", "events", "");
	check_list("/v1/held", "held", "d c ");
}

static bool
load_is(int status, const json_t *json, void *arg)
{
	const int *want = arg;

	return status == 200 &&
	       json_integer_value(json_object_get(json, "running")) ==
		   want[0] &&
	       json_integer_value(json_object_get(json, "queued")) == want[1];
}

static void
wait_load(int running, int queued)
{
	int want[2] = {running, queued};

	json_decref(http_until(addr, "/v1/load", NULL, load_is, want));
}

static void
test_lower_priority_runs_first(void **state)
{
	static const char *const want[] = {"first", "five", "six", "nine"};
	json_t *list, *v;
	size_t i;

	(void)state;
	start_standin("standin-engine", "--max-batch", "1");
	fault_set(fault, "{s:i}", "token_ms", NEVER_MS);
	send_generate("first", 9);
	wait_load(1, 0);
	send_generate("nine", 9);
	wait_load(1, 1);
	send_generate("five", 5);
	wait_load(1, 2);
	send_generate("six", 6);
	wait_load(1, 3);
	fault_set(fault, "{s:i}", "token_ms", 0);
	wait_load(0, 0);
	list = fault_executed(fault);
	assert_int_equal(json_array_size(list), 4);
	json_array_foreach (list, i, v) {
		assert_string_equal(
		    json_string_value(json_object_get(v, "request_id")),
		    want[i]);
	}
	json_decref(list);
}

static void
test_generation_ends_with_its_client(void **state)
{
	int fd;

	(void)state;
	start_standin("standin-engine", "--max-batch", "1");
	fault_set(fault, "{s:i}", "token_ms", NEVER_MS);
	fd = send_generate("r1", 0);
	wait_load(1, 0);
	send_generate("r2", 0);
	wait_load(1, 1);
	assert_int_equal(post("/v1/cancel", "{'request_id':'r2'}", NULL), 200);
	wait_load(1, 0);
	close(fd);
	wait_load(0, 0);
	assert_int_equal(fault_run_count(fault, NULL, 0), 1);
}

static void
test_load_report_lags(void **state)
{
	(void)state;
	start_standin("standin-engine", "--token-ms", "3600000");
	fault_set(fault, "{s:i}", "report_lag_ms", NEVER_MS);
	send_generate("r1", 0);
	while (fault_run_count(fault, NULL, 0) == 0)
		proc_sleep_ms(PROC_POLL_MS);
	assert_int_equal(get_int("/v1/load", "running"), 0);
	fault_set(fault, "{s:i}", "report_lag_ms", 0);
	assert_int_equal(get_int("/v1/load", "running"), 1);
}

static void
test_export_moves_a_prefix_to_another_engine(void **state)
{
	char store[PROC_ADDR_LEN], first_engine[PROC_ADDR_LEN];
	const char *order = "{'program':'p','epoch':1,'object':'kv/p'}";

	(void)state;
	start_standin("standin-platform", NULL, NULL);
	memcpy(store, addr, sizeof(store));
	start_standin("standin-engine", "--platform", store);
	memcpy(first_engine, addr, sizeof(first_engine));
	assert_int_equal(post("/v1/export", order, NULL), 404);
	json_decref(generate("r1", "p", "x", 2).last_event);
	assert_int_equal(post("/v1/export", order, NULL), 200);
	start_standin("standin-engine", "--platform", store);
	assert_int_equal(post("/v1/import", order, NULL), 200);
	check_list("/v1/held", "held", "p ");
	assert_int_equal(post("/v1/import",
			     "{'program':'q','epoch':1,'object':'kv/p'}", NULL),
	    404);
}

static void
test_engine_answers_beside_many_connections(void **state)
{
	char id[16];
	int i;

	(void)state;
	start_standin("standin-engine", "--max-batch", "1");
	fault_set(fault, "{s:i}", "token_ms", NEVER_MS);
	for (i = 0; i < CONNECTION_COUNT; i++) {
		snprintf(id, sizeof(id), "r%d", i);
		send_generate(id, 0);
	}
	wait_load(1, CONNECTION_COUNT - 1);
	fault_set(fault, "{s:i}", "token_ms", 0);
	wait_load(0, 0);
	while (fault_run_count(fault, NULL, 0) < CONNECTION_COUNT)
		proc_sleep_ms(PROC_POLL_MS);
	assert_int_equal(fault_run_count(fault, NULL, 0), CONNECTION_COUNT);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_answer_proves_its_history),
	    TEST(test_streams_break_as_asked),
	    TEST(test_cache_evicts_least_recently_used),
	    TEST(test_lower_priority_runs_first),
	    TEST(test_generation_ends_with_its_client),
	    TEST(test_load_report_lags),
	    TEST(test_export_moves_a_prefix_to_another_engine),
	    TEST(test_engine_answers_beside_many_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
