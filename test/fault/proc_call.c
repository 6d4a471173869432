/*
 * proc_call.c -- calls made while faults are injected, and their outcomes.
 *
 * A call runs on its own thread, so that the test can kill processes, freeze
 * them or close connections while the call is in progress.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "proc_call.h"

#define KEY CLUSTER_CALLER_KEY
#define MAX_ATTEMPTS 400

static void *
caller_main(void *arg)
{
	struct caller *k = arg;
	struct http_req q = {0};

	q.method = "POST";
	q.addr = k->addr;
	q.path = k->path;
	q.bearer = KEY;
	q.body = k->body;
	q.len = strlen(k->body);
	http_run(&q, &k->res);
	return NULL;
}

struct cluster *
call_cluster(int daemons, int engines, int services)
{
	struct cluster *c = cluster_start(daemons, engines, services);
	char text[4096];

	cluster_text(c, text, sizeof(text));
	cluster_apply(c, 0, text);
	return c;
}

void
call_program(struct cluster *c, char id[CALL_ID_LEN])
{
	json_t *j;
	int status, i;

	for (i = 0; i < c->conf.daemons; i++)
		if (proc_alive(c->daemon[i].proc))
			break;
	assert_true(i < c->conf.daemons);
	j = http_post(
	    c->daemon[i].addr, "/v1/programs", KEY, json_object(), &status);
	assert_int_equal(status, 201);
	(void)snprintf(id, CALL_ID_LEN, "%s",
	    json_string_value(json_object_get(j, "program")));
	json_decref(j);
}

struct unit *
call_owner(struct cluster *c, const char *program, struct unit **other)
{
	char path[128];
	json_t *j = NULL;
	const char *name;
	struct unit *owner = NULL;
	int i;

	(void)snprintf(path, sizeof(path), "/v1/explain/%s", program);
	for (i = 0; i < c->conf.daemons && j == NULL; i++)
		if (proc_alive(c->daemon[i].proc))
			j = http_get(c->daemon[i].oper, path,
			    CLUSTER_OPERATOR_KEY, NULL);
	name = json_string_value(json_object_get(j, "owner"));
	assert_non_null(name);
	for (i = 0; i < c->conf.daemons; i++) {
		if (strcmp(c->daemon[i].name, name) == 0)
			owner = &c->daemon[i];
		else if (proc_alive(c->daemon[i].proc))
			*other = &c->daemon[i];
	}
	json_decref(j);
	assert_non_null(owner);
	return owner;
}

static void
start_thread(struct caller *k, const struct unit *d)
{
	(void)snprintf(k->addr, sizeof(k->addr), "%s", d->addr);
	memset(&k->res, 0, sizeof(k->res));
	assert_int_equal(pthread_create(&k->thread, NULL, caller_main, k), 0);
}

void
call_start_body(struct caller *k, const struct unit *d, const char *program,
    const char *body)
{
	memset(k, 0, sizeof(*k));
	(void)snprintf(
	    k->path, sizeof(k->path), "/v1/programs/%s/calls", program);
	(void)snprintf(k->body, sizeof(k->body), "%s", body);
	start_thread(k, d);
}

void
call_start(struct caller *k, const struct unit *d, const char *program, int seq)
{
	char body[256];

	(void)snprintf(body, sizeof(body),
	    "{\"seq\":%d,\"service\":\"pantry\",\"input\":{\"operation\":"
	    "\"reprint\"}}",
	    seq);
	call_start_body(k, d, program, body);
}

void
call_start_model(struct caller *k, const struct unit *d, const char *program,
    int seq, const char *text, int max_tokens)
{
	char body[512];

	(void)snprintf(body, sizeof(body),
	    "{\"seq\":%d,\"service\":\"smokehouse\",\"input\":{\"messages\":[{"
	    "\"role\":\"user\",\"content\":\"%s\"}],\"max_tokens\":%d}}",
	    seq, text, max_tokens);
	call_start_body(k, d, program, body);
}

void
call_end(struct caller *k)
{
	pthread_join(k->thread, NULL);
}

const char *
call_outcome(const struct caller *k)
{
	const char *s;

	s = json_string_value(json_object_get(k->res.json, "outcome"));
	if (s == NULL)
		s = json_string_value(json_object_get(
		    json_object_get(k->res.json, "error"), "outcome"));
	return s != NULL ? s : "";
}

const char *
call_error(const struct caller *k)
{
	const char *s;

	s = json_string_value(
	    json_object_get(json_object_get(k->res.json, "error"), "type"));
	return s != NULL ? s : "";
}

/*
 * The error type result_unknown is permanent.  Other unknown outcomes carry a
 * retry time and may still be resolved.
 */
static bool
is_final(const struct caller *k)
{
	if (strcmp(call_outcome(k), "done") == 0)
		return true;
	return strcmp(call_error(k), "result_unknown") == 0;
}

void
call_until_final(
    struct caller *k, const struct unit *d, const char *program, int seq)
{
	int i;

	for (i = 0; i < MAX_ATTEMPTS; i++) {
		call_start(k, d, program, seq);
		call_end(k);
		if (is_final(k))
			return;
		http_clear(&k->res);
		proc_sleep_ms(PROC_POLL_MS);
	}
	fail_msg("no final answer to %s", k->body);
}

size_t
call_run_count(struct cluster *c, const char *program, int seq)
{
	size_t n = 0;
	int i;

	for (i = 0; i < c->conf.services; i++)
		n += fault_run_count(c->service[i].fault, program, seq);
	return n;
}

struct expected_run {
	struct cluster *c;
	const char *program;
	int seq;
};

static bool
has_run(void *arg)
{
	const struct expected_run *w = arg;

	return call_run_count(w->c, w->program, w->seq) > 0;
}

void
call_until_run(struct cluster *c, const char *program, int seq)
{
	struct expected_run w = {c, program, seq};

	proc_until("execution by a service", has_run, &w);
}

void
call_services_slow(struct cluster *c, int ms)
{
	int i;

	for (i = 0; i < c->conf.services; i++)
		fault_set(c->service[i].fault, "{s:i}", "slow_ms", ms);
}

bool
call_platform_unavailable(void *daemon)
{
	const struct unit *d = daemon;
	json_t *j;
	bool down;

	j = http_get(d->oper, "/v1/status", CLUSTER_OPERATOR_KEY, NULL);
	down = json_is_false(
	    json_object_get(json_object_get(j, "platform"), "ok"));
	json_decref(j);
	return down;
}

json_int_t
call_status(const struct unit *d, const char *key)
{
	json_t *j;
	json_int_t n;

	j = http_get(d->oper, "/v1/status", CLUSTER_OPERATOR_KEY, NULL);
	n = json_integer_value(json_object_get(j, key));
	json_decref(j);
	return n;
}
