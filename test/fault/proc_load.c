/*
 * proc_load.c -- callers that make calls one after another during faults.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "proc_load.h"

#define KEY CLUSTER_CALLER_KEY
#define MAX_ATTEMPTS 2000

/* Sends one request to one daemon.  Returns whether its outcome is final. */
static bool
send_request(struct load *l, const struct unit *d, int seq)
{
	char path[128], body[256];
	struct http_req q = {0};
	struct http_res r;
	const char *outcome, *type;
	bool done;

	snprintf(path, sizeof(path), "/v1/programs/%s/calls", l->id);
	if (l->index % 2 == 0)
		snprintf(body, sizeof(body),
		    "{\"seq\":%d,\"service\":\"smokehouse\",\"input\":{"
		    "\"messages\":[{\"role\":\"user\",\"content\":\"turn %d\"}]"
		    ",\"max_tokens\":20}}",
		    seq, seq);
	else
		snprintf(body, sizeof(body),
		    "{\"seq\":%d,\"service\":\"pantry\",\"input\":{"
		    "\"operation\":\"reprint\"}}",
		    seq);
	q.method = "POST";
	q.addr = d->addr;
	q.path = path;
	q.bearer = KEY;
	q.body = body;
	q.len = strlen(body);
	http_run(&q, &r);
	done = r.status == 200 && r.whole;
	type = json_string_value(
	    json_object_get(json_object_get(r.json, "error"), "type"));
	outcome = json_string_value(
	    json_object_get(json_object_get(r.json, "error"), "outcome"));
	if (r.status == 0 && r.connected)
		l->incomplete++;
	else if (!done && r.status != 0 &&
		 (outcome == NULL || strcmp(outcome, "not_run") != 0)) {
		if (l->unexpected++ == 0)
			snprintf(l->first_unexpected,
			    sizeof(l->first_unexpected), "%d %.200s", r.status,
			    r.body == NULL ? "" : r.body);
	}
	if (type != NULL && strcmp(type, "result_unknown") == 0) {
		l->unknown++;
		done = true;
	}
	http_clear(&r);
	return done;
}

static void *
load_main(void *arg)
{
	struct load *l = arg;
	int seq, i;
	bool done;

	for (seq = 1; !__atomic_load_n(&l->stop, __ATOMIC_ACQUIRE); seq++) {
		done = false;
		for (i = 0; i < MAX_ATTEMPTS && !done; i++) {
			done = send_request(l,
			    &l->c->daemon[(l->index + i) % l->c->conf.daemons],
			    seq);
			if (!done)
				proc_sleep_ms(PROC_POLL_MS);
		}
		if (!done)
			return NULL;
		__atomic_add_fetch(&l->done, 1, __ATOMIC_ACQ_REL);
	}
	return NULL;
}

void
load_start(struct load l[LOAD_CALLERS], struct cluster *c)
{
	int i;

	memset(l, 0, LOAD_CALLERS * sizeof(*l));
	for (i = 0; i < LOAD_CALLERS; i++) {
		l[i].c = c;
		l[i].index = i;
		call_program(c, l[i].id);
		assert_int_equal(
		    pthread_create(&l[i].thread, NULL, load_main, &l[i]), 0);
	}
}

struct progress {
	struct load *l;
	int start[LOAD_CALLERS];
};

static bool
all_progressed(void *arg)
{
	struct progress *p = arg;
	int i;

	for (i = 0; i < LOAD_CALLERS; i++)
		if (__atomic_load_n(&p->l[i].done, __ATOMIC_ACQUIRE) <
		    p->start[i] + 2)
			return false;
	return true;
}

void
load_until_progress(struct load l[LOAD_CALLERS])
{
	struct progress p = {l, {0}};
	int i;

	for (i = 0; i < LOAD_CALLERS; i++)
		p.start[i] = __atomic_load_n(&l[i].done, __ATOMIC_ACQUIRE);
	proc_until("progress of all callers", all_progressed, &p);
}

/* Compares one caller's stored answers with the executions. */
static void
check_caller(const struct load *l, struct cluster *c)
{
	char path[128];
	int seq, status, unknown = 0;
	size_t ran;

	for (seq = 1; seq <= l->done; seq++) {
		snprintf(
		    path, sizeof(path), "/v1/programs/%s/calls/%d", l->id, seq);
		json_decref(http_get(c->daemon[l->index % c->conf.daemons].addr,
		    path, KEY, &status));
		unknown += status != 200;
		if (l->index % 2 == 0)
			continue;
		ran = call_run_count(c, l->id, seq);
		assert_true(ran <= 1);
		assert_true(ran == 1 || status != 200);
	}
	assert_int_equal(unknown, l->unknown);
}

void
load_end(struct load l[LOAD_CALLERS], struct cluster *c, enum load_check check)
{
	int i;

	for (i = 0; i < LOAD_CALLERS; i++)
		__atomic_store_n(&l[i].stop, true, __ATOMIC_RELEASE);
	for (i = 0; i < LOAD_CALLERS; i++)
		pthread_join(l[i].thread, NULL);
	for (i = 0; i < LOAD_CALLERS; i++) {
		if (check == LOAD_STRICT) {
			if (l[i].unexpected > 0)
				print_error("first unexpected response: %s\n",
				    l[i].first_unexpected);
			assert_int_equal(l[i].unexpected, 0);
			assert_int_equal(l[i].incomplete, 0);
			assert_int_equal(l[i].unknown, 0);
		}
		check_caller(&l[i], c);
	}
}
