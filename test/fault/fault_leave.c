/*
 * fault_leave.c -- planned removal of endpoints and daemons loses no call.
 *
 * Endpoints are removed by the host list, which lags, or by a drain; daemons by
 * the host list, a drain or a signal.  A host that is leaving must get no new
 * work and must finish what it runs.  Callers send calls meanwhile and retry
 * refused ones: each call must get its answer, preceded at most by typed
 * refusals with the outcome "not_run".
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "proc.h"
#include "proc_call.h"
#include "proc_load.h"

#define OPER CLUSTER_OPERATOR_KEY
#define HOST_LIST_LAG_MS 1000
#define LONG_TOKEN_MS 3000 /* keeps a call running through the test */
#define TOKEN_MS 2

/* Operators */

struct expected_state {
	const char *host;
	const char *state;
};

static bool
has_state(int status, const json_t *json, void *arg)
{
	static const char *const lists[] = {"hosts", "endpoints"};
	const struct expected_state *w = arg;
	const char *name, *state;
	size_t i, k;
	json_t *e;

	if (status != 200)
		return false;
	for (i = 0; i < 2; i++)
		json_array_foreach (json_object_get(json, lists[i]), k, e) {
			name = json_string_value(json_object_get(e, "name"));
			state = json_string_value(json_object_get(e, "state"));
			if (strcmp(name, w->host) == 0)
				return strcmp(state, w->state) == 0;
		}
	return false;
}

/* Waits until every running daemon reports this state for a host. */
static void
until_state(struct cluster *c, const char *host, const char *state)
{
	struct expected_state w = {host, state};
	int i;

	for (i = 0; i < c->conf.daemons; i++)
		if (proc_alive(c->daemon[i].proc))
			json_decref(http_until(c->daemon[i].oper, "/v1/status",
			    OPER, has_state, &w));
}

static void
drain(const struct unit *d, const char *path, const char *host)
{
	int status;

	json_decref(http_post(d->oper, path, OPER,
	    json_pack("{s:s,s:s}", "host", host, "note", "test"), &status));
	assert_int_equal(status, 200);
}

static bool
owns_slots(int status, const json_t *json, void *arg)
{
	json_int_t n = json_integer_value(
	    json_object_get(json_object_get(json, "slots"), "owned"));

	return status == 200 && (n > 0) == *(bool *)arg;
}

static void
until_owns_slots(const struct unit *d, bool any)
{
	json_decref(http_until(d->oper, "/v1/status", OPER, owns_slots, &any));
}

/* Endpoints */

static size_t
calls_run_on(const struct unit *u, const char *id)
{
	json_t *all = fault_executed(u->fault), *e;
	size_t i, n = 0;

	json_array_foreach (all, i, e)
		n += strcmp(json_string_value(json_object_get(e, "program")),
			 id) == 0;
	json_decref(all);
	return n;
}

struct started_call {
	const struct unit *u;
	const char *id;
};

static bool
call_has_started(void *arg)
{
	const struct started_call *r = arg;

	return calls_run_on(r->u, r->id) > 0 ||
	       calls_run_on(r->u + 1, r->id) > 0;
}

/* Calls new programs; none of the calls may reach the engine. */
static void
check_no_new_work(struct cluster *c, const struct unit *u)
{
	char id[CALL_ID_LEN];
	struct caller k;
	int i;

	for (i = 0; i < 12; i++) {
		call_program(c, id);
		call_start_model(&k, &c->daemon[i % 3], id, 1, "hello", 4);
		call_end(&k);
		assert_string_equal(call_outcome(&k), "done");
		http_clear(&k.res);
		assert_int_equal(calls_run_on(u, id), 0);
	}
}

/* Starts a long call on one of two engines; returns that engine. */
static struct unit *
start_long_call(struct cluster *c, struct caller *k, char id[CALL_ID_LEN])
{
	struct started_call r = {&c->engine[0], id};
	int at;

	fault_set(c->engine[0].fault, "{s:i}", "token_ms", LONG_TOKEN_MS);
	fault_set(c->engine[1].fault, "{s:i}", "token_ms", LONG_TOKEN_MS);
	call_program(c, id);
	call_start_model(k, &c->daemon[0], id, 1, "long", 20);
	proc_until("the start of a long call", call_has_started, &r);
	at = calls_run_on(&c->engine[0], id) > 0 ? 0 : 1;
	fault_set(c->engine[1 - at].fault, "{s:i}", "token_ms", TOKEN_MS);
	return &c->engine[at];
}

/* The call completes on the engine that it ran on, without a retry. */
static void
check_long_call_ends(struct caller *k, const struct unit *u, const char *id)
{
	fault_set(u->fault, "{s:i}", "token_ms", TOKEN_MS);
	call_end(k);
	assert_string_equal(call_outcome(k), "done");
	assert_int_equal(calls_run_on(u, id), 1);
	http_clear(&k->res);
}

static void
test_endpoint_leaves_by_the_host_list(void **state)
{
	struct cluster *c = call_cluster(3, 2, 1);
	char id[CALL_ID_LEN];
	struct caller k;
	struct unit *u;

	(void)state;
	fault_set(c->platform.fault, "{s:i}", "host_lag_ms", HOST_LIST_LAG_MS);
	u = start_long_call(c, &k, id);
	u->state = UNIT_LEAVING;
	cluster_hosts(c);
	until_state(c, u->name, "leaving");
	check_no_new_work(c, u);
	check_long_call_ends(&k, u, id);
}

static void
test_endpoint_is_drained(void **state)
{
	struct cluster *c = call_cluster(3, 2, 1);
	char id[CALL_ID_LEN];
	struct caller k;
	struct unit *u, *other;
	int status;

	(void)state;
	u = start_long_call(c, &k, id);
	other = u == &c->engine[0] ? &c->engine[1] : &c->engine[0];
	json_decref(
	    http_post(c->daemon[1].oper, "/v1/drain", CLUSTER_OPERATOR_KEY,
		json_pack("{s:s}", "host", "nobody"), &status));
	assert_int_equal(status, 404);
	drain(&c->daemon[1], "/v1/drain", u->name);
	until_state(c, u->name, "drained");
	check_no_new_work(c, u);
	check_long_call_ends(&k, u, id);
	drain(&c->daemon[2], "/v1/undrain", u->name);
	drain(&c->daemon[2], "/v1/drain", other->name);
	until_state(c, u->name, "live");
	until_state(c, other->name, "drained");
	check_no_new_work(c, other);
}

/* Daemons */

static void
test_planned_stop_of_each_daemon(void **state)
{
	struct cluster *c = call_cluster(3, 2, 2);
	struct load l[LOAD_CALLERS];
	int i;

	(void)state;
	load_start(l, c);
	for (i = 0; i < c->conf.daemons; i++) {
		load_until_progress(l);
		proc_term(c->daemon[i].proc);
		assert_int_equal(proc_wait(c->daemon[i].proc), 0);
		assert_true(
		    proc_logged(c->daemon[i].proc, "\"event\":\"hand_over\""));
		load_until_progress(l);
		proc_restart(c->daemon[i].proc);
		cluster_wait_ready(c);
		until_owns_slots(&c->daemon[i], true);
	}
	load_until_progress(l);
	load_end(l, c, LOAD_STRICT);
	/* Slots were handed over, not taken over after leases expired. */
	for (i = 0; i < c->conf.daemons; i++)
		assert_false(
		    proc_logged(c->daemon[i].proc, "\"event\":\"takeover\""));
}

static void
test_daemon_leaves_by_the_host_list(void **state)
{
	struct cluster *c = call_cluster(3, 2, 2);
	struct unit *d = &c->daemon[1];
	struct load l[LOAD_CALLERS];

	(void)state;
	load_start(l, c);
	load_until_progress(l);
	d->state = UNIT_LEAVING;
	cluster_hosts(c);
	until_state(c, d->name, "leaving");
	until_owns_slots(d, false);
	load_until_progress(l);
	d->state = UNIT_LIVE;
	cluster_hosts(c);
	until_state(c, d->name, "live");
	until_owns_slots(d, true);
	load_until_progress(l);
	load_end(l, c, LOAD_STRICT);
}

static void
test_daemon_is_drained(void **state)
{
	struct cluster *c = call_cluster(3, 2, 2);
	struct unit *d = &c->daemon[2];
	struct load l[LOAD_CALLERS];

	(void)state;
	load_start(l, c);
	load_until_progress(l);
	drain(&c->daemon[0], "/v1/drain", d->name);
	until_state(c, d->name, "leaving");
	until_owns_slots(d, false);
	load_until_progress(l);
	drain(&c->daemon[0], "/v1/undrain", d->name);
	until_state(c, d->name, "live");
	until_owns_slots(d, true);
	load_until_progress(l);
	load_end(l, c, LOAD_STRICT);
}

int
main(int argc, char **argv)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_endpoint_leaves_by_the_host_list),
	    T(test_endpoint_is_drained),
	    T(test_planned_stop_of_each_daemon),
	    T(test_daemon_leaves_by_the_host_list),
	    T(test_daemon_is_drained),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
