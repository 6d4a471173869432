/*
 * fault_owner.c -- owners are killed, frozen or replaced by a second process.
 *
 * A new owner restores a slot from its snapshot and journal: answers given
 * before the failure must remain available, in order, and non-idempotent calls
 * must not run again.  Recovery times are printed with the program counts.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "proc.h"
#include "proc_call.h"
#include "proc_load.h"

#define KEY CLUSTER_CALLER_KEY
#define OPER CLUSTER_OPERATOR_KEY
#define LONG_LEASE_MS 10000 /* much longer than a restart takes */
#define SNAPSHOT_CALLS 110 /* each writes two journal rows */
#define TEXT_MAX 8192

static bool
is_ok(int status, const json_t *json, void *arg)
{
	(void)json;
	(void)arg;
	return status == 200;
}

/* Value of a metric in the text exposition, 0 if absent. */
static double
metric(const struct unit *d, const char *name)
{
	struct http_req q = {.method = "GET",
	    .addr = d->oper,
	    .path = "/metrics",
	    .bearer = OPER};
	struct http_res r;
	const char *at;
	char line[128];
	double v = 0;

	http_run(&q, &r);
	snprintf(line, sizeof(line), "\n%s ", name);
	at = r.body == NULL ? NULL : strstr(r.body, line);
	if (at != NULL)
		v = strtod(at + strlen(line), NULL);
	http_clear(&r);
	return v;
}

static double
metric_all(struct cluster *c, const char *name)
{
	double v = 0;
	int i;

	for (i = 0; i < c->conf.daemons; i++)
		if (proc_alive(c->daemon[i].proc))
			v += metric(&c->daemon[i], name);
	return v;
}

static void
create_program(const struct unit *d, char id[CALL_ID_LEN])
{
	int status;
	json_t *j;

	j = http_post(d->addr, "/v1/programs", KEY, json_object(), &status);
	assert_int_equal(status, 201);
	snprintf(id, CALL_ID_LEN, "%s",
	    json_string_value(json_object_get(j, "program")));
	json_decref(j);
}

/* Kills daemon 0, waits until the others serve all of its programs, and prints
 * the mean recovery time. */
static void
measure_recovery(struct cluster *c, char (*ids)[CALL_ID_LEN], int n)
{
	double count, sum, slots, seconds;
	char path[256];
	int i;

	count = metric(&c->daemon[1], "mu_recovery_seconds_count") +
		metric(&c->daemon[2], "mu_recovery_seconds_count");
	sum = metric(&c->daemon[1], "mu_recovery_seconds_sum") +
	      metric(&c->daemon[2], "mu_recovery_seconds_sum");
	proc_kill(c->daemon[0].proc);
	for (i = 0; i < n; i++) {
		snprintf(path, sizeof(path), "/v1/programs/%.*s",
		    CALL_ID_LEN - 1, ids[i]);
		json_decref(http_until(
		    c->daemon[1 + i % 2].addr, path, KEY, is_ok, NULL));
	}
	slots = metric_all(c, "mu_recovery_seconds_count") - count;
	seconds = metric_all(c, "mu_recovery_seconds_sum") - sum;
	print_message("%d programs of the owner: %.0f slots recovered, mean "
		      "%.2f ms a slot\n",
	    n, slots, slots > 0 ? seconds / slots * 1000 : 0);
	assert_true(slots > 0);
}

static bool
owns_slots(int status, const json_t *json, void *arg)
{
	(void)arg;
	return status == 200 &&
	       json_integer_value(json_object_get(
		   json_object_get(json, "slots"), "owned")) > 0;
}

static void
test_recovery_by_programs(void **state)
{
	static const int sizes[] = {10, 100, 1000};
	static char ids[1000][CALL_ID_LEN];
	struct cluster *c = call_cluster(3, 1, 1);
	size_t k;
	int i;

	(void)state;
	for (k = 0; k < sizeof(sizes) / sizeof(sizes[0]); k++) {
		json_decref(http_until(
		    c->daemon[0].oper, "/v1/status", OPER, owns_slots, NULL));
		for (i = 0; i < sizes[k]; i++)
			create_program(&c->daemon[0], ids[i]);
		measure_recovery(c, ids, sizes[k]);
		proc_restart(c->daemon[0].proc);
		cluster_wait_ready(c);
	}
}

static struct cluster *
long_lease_cluster(void)
{
	struct cluster_conf conf;
	struct cluster *c;
	char text[TEXT_MAX];

	cluster_defaults(&conf);
	conf.daemons = 3;
	conf.engines = 2;
	conf.services = 2;
	conf.lease_ms = LONG_LEASE_MS;
	c = cluster_start_conf(&conf);
	cluster_text(c, text, sizeof(text));
	cluster_apply(c, 0, text);
	return c;
}

static void
test_restart_takes_its_own_slots(void **state)
{
	struct cluster *c = long_lease_cluster();
	struct load l[LOAD_CALLERS];

	(void)state;
	load_start(l, c);
	load_until_progress(l);
	proc_kill(c->daemon[0].proc);
	proc_restart(c->daemon[0].proc);
	load_until_progress(l);
	load_end(l, c, LOAD_ALLOW_FAILURES);
	assert_true(proc_logged(c->daemon[0].proc, "\"event\":\"takeover\""));
	assert_false(proc_logged(c->daemon[1].proc, "\"event\":\"takeover\""));
	assert_false(proc_logged(c->daemon[2].proc, "\"event\":\"takeover\""));
}

/* Writes settings for a second process of the same host, at new addresses. */
static void
write_moved_settings(struct unit *u, char path[256])
{
	static const char *const keys[] = {
	    "caller_addr", "operator_addr", "peer_addr"};
	char *const addrs[] = {u->addr, u->oper, u->peer};
	char file[PROC_NAME_LEN + 8], line[512], text[TEXT_MAX] = "";
	size_t k, len = 0;
	FILE *f;

	snprintf(file, sizeof(file), "%s.yaml", u->name);
	proc_path(path, 256, file);
	f = fopen(path, "r");
	assert_non_null(f);
	while (fgets(line, sizeof(line), f) != NULL) {
		for (k = 0; k < 3; k++) {
			if (strncmp(line, keys[k], strlen(keys[k])) != 0)
				continue;
			proc_addr(addrs[k]);
			snprintf(
			    line, sizeof(line), "%s: %s\n", keys[k], addrs[k]);
		}
		len += (size_t)snprintf(
		    text + len, sizeof(text) - len, "%s", line);
	}
	fclose(f);
	proc_write(path, 256, "successor.yaml", text);
}

static void
test_two_processes_of_one_host(void **state)
{
	struct cluster *c = long_lease_cluster();
	struct unit *u = &c->daemon[0];
	struct proc *older = u->proc;
	struct load l[LOAD_CALLERS];
	char path[256];

	(void)state;
	load_start(l, c);
	load_until_progress(l);
	write_moved_settings(u, path);
	u->proc = proc_start("successor", "cardamomusherd",
	    (const char *[]){"--settings", path, NULL});
	cluster_hosts(c);
	assert_int_equal(proc_wait(older), 1);
	cluster_wait_ready(c);
	load_until_progress(l);
	load_end(l, c, LOAD_ALLOW_FAILURES);
}

static bool
others_own_all(void *arg)
{
	struct cluster *c = arg;
	json_int_t n = 0;
	json_t *j;
	int i;

	for (i = 1; i < c->conf.daemons; i++) {
		j = http_get(c->daemon[i].oper, "/v1/status", OPER, NULL);
		n += json_integer_value(
		    json_object_get(json_object_get(j, "slots"), "owned"));
		json_decref(j);
	}
	return n == (json_int_t)c->conf.slots;
}

static void
test_owner_frozen_past_its_lease(void **state)
{
	struct cluster *c = call_cluster(3, 2, 2);
	struct load l[LOAD_CALLERS];
	struct unit frozen;

	(void)state;
	load_start(l, c);
	load_until_progress(l);
	frozen = c->daemon[0];
	proc_pause(frozen.proc);
	proc_until("takeover of all slots", others_own_all, c);
	proc_resume(frozen.proc);
	load_until_progress(l);
	load_end(l, c, LOAD_ALLOW_FAILURES);
}

static bool
has_taken_over(void *arg)
{
	return proc_logged(arg, "\"event\":\"takeover\"");
}

static void
test_killed_during_recovery(void **state)
{
	struct cluster *c = call_cluster(3, 2, 2);
	struct load l[LOAD_CALLERS];

	(void)state;
	load_start(l, c);
	load_until_progress(l);
	proc_kill(c->daemon[0].proc);
	proc_until("a takeover", has_taken_over, c->daemon[1].proc);
	proc_kill(c->daemon[1].proc);
	load_until_progress(l);
	proc_restart(c->daemon[0].proc);
	proc_restart(c->daemon[1].proc);
	cluster_wait_ready(c);
	load_until_progress(l);
	load_end(l, c, LOAD_ALLOW_FAILURES);
}

static void
test_two_owners_killed(void **state)
{
	struct cluster *c = call_cluster(3, 2, 2);
	struct load l[LOAD_CALLERS];

	(void)state;
	load_start(l, c);
	load_until_progress(l);
	proc_kill(c->daemon[0].proc);
	proc_kill(c->daemon[1].proc);
	load_until_progress(l);
	proc_restart(c->daemon[0].proc);
	proc_restart(c->daemon[1].proc);
	cluster_wait_ready(c);
	load_until_progress(l);
	load_end(l, c, LOAD_ALLOW_FAILURES);
}

static bool
has_snapshot(void *arg)
{
	return metric_all(arg, "mu_snapshots_total") > 0;
}

static void
test_snapshot_then_kill(void **state)
{
	struct cluster_conf conf;
	struct cluster *c;
	struct unit *other = NULL;
	char text[TEXT_MAX], id[CALL_ID_LEN], path[128];
	struct caller k;
	int seq;

	(void)state;
	cluster_defaults(&conf);
	conf.daemons = 2;
	conf.services = 1;
	conf.engines = 1;
	c = cluster_start_conf(&conf);
	cluster_text(c, text, sizeof(text));
	cluster_apply(c, 0, text);
	create_program(&c->daemon[0], id);
	for (seq = 1; seq <= SNAPSHOT_CALLS; seq++) {
		call_until_final(&k, &c->daemon[0], id, seq);
		assert_string_equal(call_outcome(&k), "done");
		http_clear(&k.res);
	}
	proc_until("a snapshot", has_snapshot, c);
	proc_kill(call_owner(c, id, &other)->proc);
	for (seq = 1; seq <= SNAPSHOT_CALLS; seq++) {
		snprintf(
		    path, sizeof(path), "/v1/programs/%s/calls/%d", id, seq);
		json_decref(http_until(other->addr, path, KEY, is_ok, NULL));
		assert_int_equal(call_run_count(c, id, seq), 1);
	}
	call_until_final(&k, other, id, seq);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
}

int
main(int argc, char **argv)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_recovery_by_programs),
	    T(test_restart_takes_its_own_slots),
	    T(test_two_processes_of_one_host),
	    T(test_owner_frozen_past_its_lease),
	    T(test_killed_during_recovery),
	    T(test_two_owners_killed),
	    T(test_snapshot_then_kill),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
