/*
 * fault_rerun.c -- a streamed answer that is generated a second time.
 *
 * The owner is killed, or the engine closes its response, during a stream.
 * Text that the caller has received must not be sent twice: the stream
 * continues after it, or, if the second answer does not begin with that text,
 * ends immediately with a typed error.
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

#include "../fakehttp.h"
#include "proc.h"
#include "proc_call.h"
#include "proc_stream.h"

#define ANSWER_TOKENS 8 /* minimum that an engine generates */
#define LONG_TIMEOUT_MS 120000 /* exceeds every wait of a test */
#define SLOW_TOKEN_MS 150 /* keeps a stream open while faults are injected */

/* After the owner is killed, the stream continues or ends with an error. */
static void
test_stream_over_owners_death(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct stream s;
	char id[CALL_ID_LEN], error[64], *text;
	json_t *last, *j;
	struct caller k;

	(void)state;
	c = call_cluster(3, 2, 1);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	stream_open(&s, other->addr, id, 1, "go on", ANSWER_TOKENS);
	stream_until(&s, 3);
	assert_false(s.closed);
	proc_kill(owner->proc);
	stream_drain(&s);
	last = stream_last(&s);
	text = stream_text(&s);
	call_start_model(&k, other, id, 1, "go on", ANSWER_TOKENS);
	call_end(&k);
	j = k.res.json;
	assert_string_equal(call_outcome(&k), "done");
	if (stream_error(&s, error)[0] == '\0') {
		assert_string_equal(
		    json_string_value(json_object_get(last, "output")), text);
		assert_true(json_equal(last, j));
	} else {
		/* The text before the error is a prefix of the answer. */
		assert_int_equal(
		    strncmp(json_string_value(json_object_get(j, "output")),
			text, strlen(text)),
		    0);
	}
	free(text);
	json_decref(last);
	http_clear(&k.res);
	stream_close(&s);
}

/*
 * An engine whose answer differs on each run and never completes.
 */

struct varying_engine {
	int fd;
	char addr[64];
	pthread_t thread;
	int runs; /* atomic */
	bool closes_early; /* closes after the first text event; atomic */
};

static struct varying_engine varying;

static void *
varying_serve(void *arg)
{
	static const char head[] =
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
	static const char not_found[] =
	    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
	int fd = (int)(intptr_t)arg, run;
	char *buf = malloc(FAKE_REQUEST_BYTES), event[512];
	json_t *j = NULL;

	if (fake_read(fd, buf) && strncmp(buf, "POST /v1/generate", 17) == 0) {
		j = json_loads(strstr(buf, "\r\n\r\n") + 4, 0, NULL);
		run = __atomic_add_fetch(&varying.runs, 1, __ATOMIC_SEQ_CST);
		(void)snprintf(event, sizeof(event),
		    "%sdata: {\"request_id\":\"%s\",\"index\":0,\"text\":"
		    "\"run %d\"}\n\n",
		    head, json_string_value(json_object_get(j, "request_id")),
		    run);
		(void)!send(fd, event, strlen(event), MSG_NOSIGNAL);
		while (
		    !__atomic_load_n(&varying.closes_early, __ATOMIC_SEQ_CST) &&
		    recv(fd, event, sizeof(event), 0) > 0)
			continue;
		json_decref(j);
	} else {
		(void)!send(fd, not_found, strlen(not_found), MSG_NOSIGNAL);
	}
	free(buf);
	close(fd);
	return NULL;
}

static void *
varying_main(void *arg)
{
	pthread_t t;
	int fd;

	(void)arg;
	while ((fd = accept(varying.fd, NULL, NULL)) >= 0)
		if (pthread_create(
			&t, NULL, varying_serve, (void *)(intptr_t)fd) == 0)
			pthread_detach(t);
	return NULL;
}

static bool
varying_ran(void *arg)
{
	return __atomic_load_n(&varying.runs, __ATOMIC_SEQ_CST) >=
	       *(const int *)arg;
}

/* Condition for http_until(): the daemon lists the varying engine in place of
 * the one at address arg. */
static bool
lists_varying(int status, const json_t *json, void *arg)
{
	json_t *list = json_object_get(json, "endpoints"), *e;
	bool old_listed = false, new_listed = false;
	const char *addr;
	size_t i;

	json_array_foreach (list, i, e) {
		addr = json_string_value(json_object_get(e, "addr"));
		old_listed = old_listed || strcmp(addr, arg) == 0;
		new_listed = new_listed || strcmp(addr, varying.addr) == 0;
	}
	return status == 200 && new_listed && !old_listed;
}

/* Replaces the cluster's engine by the varying one in the host list. */
static void
varying_start(struct cluster *c, bool closes_early)
{
	char old_addr[PROC_ADDR_LEN];
	int i;

	memset(&varying, 0, sizeof(varying));
	varying.closes_early = closes_early;
	varying.fd = fake_listen(varying.addr, 64);
	assert_int_equal(
	    pthread_create(&varying.thread, NULL, varying_main, NULL), 0);
	memcpy(old_addr, c->engine[0].addr, sizeof(old_addr));
	memcpy(c->engine[0].addr, varying.addr, PROC_ADDR_LEN);
	cluster_hosts(c);
	for (i = 0; i < c->conf.daemons; i++)
		json_decref(http_until(c->daemon[i].oper, "/v1/status",
		    CLUSTER_OPERATOR_KEY, lists_varying, old_addr));
}

static void
varying_stop(void)
{
	(void)shutdown(varying.fd, SHUT_RDWR);
	pthread_join(varying.thread, NULL);
	close(varying.fd);
}

/* A new owner reruns the call and the text differs: an immediate error. */
static void
test_rerun_differs(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct stream s[3];
	char id[CALL_ID_LEN], line[64], error[64], *text;
	int i, n = 0, one_run = 1;

	(void)state;
	c = call_cluster(3, 1, 1);
	(void)snprintf(line, sizeof(line),
	    "  timeouts: {idle_ms: %d, first_byte_ms: %d}\n", LONG_TIMEOUT_MS,
	    LONG_TIMEOUT_MS);
	cluster_apply_with_line(c, line);
	varying_start(c, false);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	/* One of the two remaining daemons becomes the owner, the other
	 * forwards to it. */
	for (i = 0; i < 3; i++) {
		if (&c->daemon[i] == owner)
			continue;
		stream_open(
		    &s[n], c->daemon[i].addr, id, 1, "fickle", ANSWER_TOKENS);
		stream_until(&s[n++], 1);
	}
	proc_until("the first run", varying_ran, &one_run);
	proc_kill(owner->proc);
	for (i = 0; i < n; i++) {
		stream_drain(&s[i]);
		text = stream_text(&s[i]);
		assert_string_equal(text, "run 1");
		assert_string_equal(
		    stream_error(&s[i], error), "answer_mismatch");
		free(text);
		stream_close(&s[i]);
	}
	proc_end_all();
	varying_stop();
}

/* The same when one owner retries after the engine closed the response. */
static void
test_retry_differs(void **state)
{
	struct cluster *c;
	struct stream s;
	char id[CALL_ID_LEN], error[64], *text;
	int d;

	(void)state;
	c = call_cluster(2, 1, 1);
	varying_start(c, true);
	for (d = 0; d < 2; d++) {
		call_program(c, id);
		stream_open(
		    &s, c->daemon[d].addr, id, 1, "fickle", ANSWER_TOKENS);
		stream_drain(&s);
		text = stream_text(&s);
		assert_int_equal(strncmp(text, "run ", 4), 0);
		assert_int_equal(strlen(text), strlen("run 1"));
		assert_string_equal(stream_error(&s, error), "answer_mismatch");
		free(text);
		stream_close(&s);
	}
	proc_end_all();
	varying_stop();
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_stream_over_owners_death),
	    T(test_rerun_differs),
	    T(test_retry_differs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
