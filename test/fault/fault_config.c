/*
 * fault_config.c -- an accepted configuration takes effect on every daemon.
 *
 * Guards against lost, duplicated or reverted versions when operators race,
 * the platform loses answers, or daemons are killed before they answer, lose
 * the platform or restart during its outage.  The audit trail must match the
 * answers that operators got, and the versions in each daemon's log must
 * increase.
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

#define OPER CLUSTER_OPERATOR_KEY
#define OPER2 CLUSTER_OPERATOR2_KEY
#define TEXT_LEN 4096
#define RACE_ROUNDS 8
#define SUBMITTERS 3
#define SUBMITS_PER_THREAD 8
#define MAX_ATTEMPTS 500
#define APPLY_ROUNDS 20

/* A submit that runs in its own thread. */
struct submit {
	pthread_t thread;
	char addr[PROC_ADDR_LEN];
	const char *key;
	json_t *body;
	json_t *res;
	int status;
};

static void *
submit_main(void *arg)
{
	struct submit *s = arg;

	s->res = http_post(s->addr, "/v1/config", s->key, s->body, &s->status);
	return NULL;
}

static json_t *
submit_body(const struct cluster *c, json_int_t base, const char *token,
    const char *end)
{
	char text[TEXT_LEN], all[TEXT_LEN + 128];

	cluster_text(c, text, sizeof(text));
	snprintf(all, sizeof(all), "%s# %s\n%s", text, token, end);
	return json_pack("{s:I,s:s,s:s,s:s}", "base", base, "text", all, "note",
	    "test", "token", token);
}

static void
submit_start(struct submit *s, const struct cluster *c, int daemon,
    const char *key, json_int_t base, const char *token)
{
	memset(s, 0, sizeof(*s));
	snprintf(s->addr, sizeof(s->addr), "%s", c->daemon[daemon].oper);
	s->key = key;
	s->body = submit_body(c, base, token, "");
	assert_int_equal(pthread_create(&s->thread, NULL, submit_main, s), 0);
}

/* Submits a text; returns the accepted version, or 0. */
static json_int_t
submit(const struct cluster *c, int daemon, json_int_t base, const char *token)
{
	json_int_t version = 0;
	json_t *j;
	int status;

	j = http_post(c->daemon[daemon].oper, "/v1/config", OPER,
	    submit_body(c, base, token, ""), &status);
	if (status == 200)
		version = json_integer_value(json_object_get(j, "version"));
	json_decref(j);
	return version;
}

/* The newest accepted version, read through a daemon. */
static json_int_t
accepted_version(const struct unit *d)
{
	json_int_t version;
	json_t *j;

	j = http_get(d->oper, "/v1/config", OPER, NULL);
	version = json_integer_value(json_object_get(j, "version"));
	json_decref(j);
	return version;
}

static bool
has_version(int status, const json_t *json, void *arg)
{
	return status == 200 && json_integer_value(json_object_get(json,
				    "config_version")) == *(json_int_t *)arg;
}

static void
until_in_force(struct cluster *c, json_int_t version)
{
	int i;

	for (i = 0; i < c->conf.daemons; i++)
		if (proc_alive(c->daemon[i].proc))
			json_decref(http_until(c->daemon[i].oper, "/v1/status",
			    OPER, has_version, &version));
}

/* The versions that the daemon logged as applied strictly increase. */
static void
check_rising(const struct unit *d)
{
	char path[256], line[4096];
	long long version, last = 0;
	const char *at;
	FILE *f;

	proc_path(path, sizeof(path), d->proc->name);
	f = fopen(path, "r");
	assert_non_null(f);
	fseek(f, d->proc->log_offset, SEEK_SET);
	while (fgets(line, sizeof(line), f) != NULL) {
		if (strstr(line, "\"event\":\"applied\"") == NULL)
			continue;
		at = strstr(line, "\"version\":");
		assert_non_null(at);
		version = strtoll(at + strlen("\"version\":"), NULL, 10);
		assert_true(version > last);
		last = version;
	}
	fclose(f);
	assert_true(last > 0);
}

/* All entries of the audit trail. */
static json_t *
read_audit(const struct unit *d)
{
	json_t *all = json_array(), *page, *entries;
	json_int_t after = 0;
	char path[64];
	size_t n;
	int status;

	do {
		snprintf(path, sizeof(path), "/v1/audit?after=%lld",
		    (long long)after);
		page = http_get(d->oper, path, OPER, &status);
		assert_int_equal(status, 200);
		entries = json_object_get(page, "entries");
		n = json_array_size(entries);
		json_array_extend(all, entries);
		after = json_integer_value(json_object_get(page, "next"));
		json_decref(page);
	} while (n > 0);
	return all;
}

/*
 * Counts the audit entries of one action.  Entry numbers must run from 1
 * without a gap, and each accepted text must have exactly one entry, in order.
 */
static size_t
check_audit(const struct unit *d, const char *action)
{
	json_t *all = read_audit(d), *e;
	json_int_t version = 0;
	size_t i, n = 0;
	const char *a;

	json_array_foreach (all, i, e) {
		assert_int_equal(json_integer_value(json_object_get(e, "n")),
		    (json_int_t)i + 1);
		a = json_string_value(json_object_get(e, "action"));
		assert_non_null(a);
		n += strcmp(a, action) == 0;
		if (strcmp(a, "apply") != 0)
			continue;
		assert_int_equal(
		    json_integer_value(json_object_get(e, "from")), version);
		version++;
		assert_int_equal(
		    json_integer_value(json_object_get(e, "to")), version);
	}
	json_decref(all);
	assert_int_equal(version, accepted_version(d));
	return n;
}

static void
test_operators_race(void **state)
{
	static const char *const names[] = {"operator", "operator2"};
	struct cluster *c = call_cluster(3, 1, 1);
	struct submit s[2];
	char token[32];
	int i, k, winner, loser;

	(void)state;
	for (i = 1; i <= RACE_ROUNDS; i++) {
		for (k = 0; k < 2; k++) {
			snprintf(token, sizeof(token), "race-%d-%d", i, k);
			submit_start(
			    &s[k], c, (i + k) % 3, k ? OPER2 : OPER, i, token);
		}
		for (k = 0; k < 2; k++)
			pthread_join(s[k].thread, NULL);
		winner = s[0].status == 200 ? 0 : 1;
		loser = 1 - winner;
		assert_int_equal(s[winner].status, 200);
		assert_int_equal(s[loser].status, 409);
		assert_int_equal(json_integer_value(
				     json_object_get(s[winner].res, "version")),
		    i + 1);
		assert_int_equal(json_integer_value(
				     json_object_get(s[loser].res, "version")),
		    i + 1);
		assert_string_equal(
		    json_string_value(json_object_get(s[loser].res, "by")),
		    names[winner]);
		assert_string_equal(
		    json_string_value(json_object_get(
			json_object_get(s[loser].res, "error"), "type")),
		    "config_conflict");
		json_decref(s[0].res);
		json_decref(s[1].res);
	}
	until_in_force(c, RACE_ROUNDS + 1);
	assert_int_equal(check_audit(&c->daemon[0], "apply"), RACE_ROUNDS + 1);
}

static void
test_invalid_text_changes_nothing(void **state)
{
	struct cluster *c = call_cluster(3, 1, 1);
	json_t *j;
	int status;

	(void)state;
	j = http_post(c->daemon[1].oper, "/v1/config", OPER,
	    submit_body(c, 1, "invalid", "nonsense: 1\n"), &status);
	assert_int_equal(status, 422);
	assert_string_equal(json_string_value(json_object_get(
				json_object_get(j, "error"), "type")),
	    "config_invalid");
	json_decref(j);
	assert_int_equal(accepted_version(&c->daemon[0]), 1);
	until_in_force(c, 1);
	assert_int_equal(check_audit(&c->daemon[0], "apply"), 1);
}

static struct cluster *
start_relayed_cluster(int daemons, unsigned relays)
{
	struct cluster_conf conf;
	struct cluster *c;
	char text[TEXT_LEN];

	cluster_defaults(&conf);
	conf.daemons = daemons;
	conf.engines = 1;
	conf.services = 1;
	conf.relays = relays;
	conf.isolation_ms = 2000;
	c = cluster_start_conf(&conf);
	cluster_text(c, text, sizeof(text));
	cluster_apply(c, 0, text);
	return c;
}

static void
cut_relay(const char *fault)
{
	fault_set(fault, "{s:b,s:b}", "down", 1, "cut", 1);
}

/* A daemon without the platform gets new versions from its peers. */
static void
test_cut_from_platform_only(void **state)
{
	struct cluster *c = start_relayed_cluster(3, CLUSTER_RELAY_PLATFORM);

	(void)state;
	cut_relay(c->daemon[2].platform_relay_fault);
	proc_until(
	    "notice of the cut", call_platform_unavailable, &c->daemon[2]);
	assert_int_equal(submit(c, 0, 1, "plain"), 2);
	until_in_force(c, 2);
	/* The platform's answer to an accepted submit is lost. */
	fault_set(c->platform.fault, "{s:i,s:s}", "lose_answers", 1, "match",
	    "config/token");
	assert_int_equal(submit(c, 1, 2, "lost"), 3);
	until_in_force(c, 3);
	assert_int_equal(check_audit(&c->daemon[0], "apply"), 3);
	fault_set(c->daemon[2].platform_relay_fault, "{s:b}", "reset", 1);
}

struct expected_version {
	const struct unit *d;
	json_int_t version;
};

static bool
is_accepted(void *arg)
{
	const struct expected_version *w = arg;

	return accepted_version(w->d) == w->version;
}

/* The daemon dies after a submit was accepted and before it answers. */
static void
test_killed_before_it_answered(void **state)
{
	struct cluster *c = start_relayed_cluster(4, CLUSTER_RELAY_PLATFORM);
	struct expected_version w = {&c->daemon[1], 2};
	struct submit s;

	(void)state;
	cut_relay(c->daemon[3].platform_relay_fault);
	proc_until(
	    "notice of the cut", call_platform_unavailable, &c->daemon[3]);
	fault_set(c->platform.fault, "{s:i,s:s}", "lose_answers", 1000000,
	    "match", "config/token");
	submit_start(&s, c, 0, OPER, 1, "killed");
	proc_until("the submit's effect", is_accepted, &w);
	proc_kill(c->daemon[0].proc);
	pthread_join(s.thread, NULL);
	assert_int_equal(s.status, 0);
	json_decref(s.res);
	fault_set(c->platform.fault, "{s:b}", "reset", 1);
	/* The version takes effect without a retry by the operator, also on the
	 * daemon that cannot reach the platform. */
	until_in_force(c, 2);
	assert_int_equal(submit(c, 1, 1, "killed"), 2);
	assert_int_equal(submit(c, 2, 1, "killed"), 2);
	assert_int_equal(check_audit(&c->daemon[1], "apply"), 2);
}

struct submitter {
	pthread_t thread;
	struct cluster *c;
	int index;
	int accepted;
};

/* Submits through each daemon in turn until the text is accepted. */
static void
submit_until_accepted(struct submitter *s, int n)
{
	json_int_t base = 0;
	char token[32];
	json_t *j;
	int i, status = 409;

	snprintf(token, sizeof(token), "many-%d-%d", s->index, n);
	for (i = 0; i < MAX_ATTEMPTS; i++) {
		/* Only a conflict proves that the submit was refused; until
		 * then a retry has to keep its base. */
		if (status == 409)
			base =
			    accepted_version(&s->c->daemon[(s->index + i) % 3]);
		j = http_post(s->c->daemon[(s->index + n + i) % 3].oper,
		    "/v1/config", OPER, submit_body(s->c, base, token, ""),
		    &status);
		json_decref(j);
		if (status == 200) {
			s->accepted++;
			return;
		}
		proc_sleep_ms(PROC_POLL_MS);
	}
}

static void *
submitter_main(void *arg)
{
	struct submitter *s = arg;
	int n;

	for (n = 0; n < SUBMITS_PER_THREAD; n++)
		submit_until_accepted(s, n);
	return NULL;
}

static void
drain(const struct unit *d, const char *path, const char *host)
{
	int status;

	json_decref(http_post(d->oper, path, OPER,
	    json_pack("{s:s,s:s}", "host", host, "note", "test"), &status));
	assert_int_equal(status, 200);
}

/* Combines racing submits, lost answers and a killed daemon. */
static void
test_audit_is_complete(void **state)
{
	struct cluster *c = call_cluster(3, 1, 1);
	struct submitter s[SUBMITTERS];
	int i;

	(void)state;
	/* A drain whose answer is lost gets exactly one entry, too. */
	fault_set(c->platform.fault, "{s:i,s:s}", "lose_answers", 1, "match",
	    "drain/");
	drain(&c->daemon[0], "/v1/drain", "smokehouse-1");
	assert_int_equal(check_audit(&c->daemon[1], "drain"), 1);
	fault_set(c->platform.fault, "{s:i,s:s}", "lose_answers", 10, "match",
	    "audit/");
	for (i = 0; i < SUBMITTERS; i++) {
		s[i] = (struct submitter){.c = c, .index = i};
		assert_int_equal(
		    pthread_create(&s[i].thread, NULL, submitter_main, &s[i]),
		    0);
	}
	proc_kill(c->daemon[2].proc);
	proc_restart(c->daemon[2].proc);
	for (i = 0; i < SUBMITTERS; i++) {
		pthread_join(s[i].thread, NULL);
		assert_int_equal(s[i].accepted, SUBMITS_PER_THREAD);
	}
	drain(&c->daemon[0], "/v1/undrain", "smokehouse-1");
	until_in_force(c, 1 + SUBMITTERS * SUBMITS_PER_THREAD);
	assert_int_equal(check_audit(&c->daemon[0], "apply"),
	    1 + SUBMITTERS * SUBMITS_PER_THREAD);
	assert_int_equal(check_audit(&c->daemon[0], "undrain"), 1);
	for (i = 0; i < 3; i++)
		check_rising(&c->daemon[i]);
}

/* Replaces the platform's current version with an older one. */
static void
make_platform_stale(const struct cluster *c)
{
	json_t *old, *now, *r;
	int status;

	old = http_get(c->platform.addr, "/table/row?key=config/v/000000000002",
	    NULL, &status);
	assert_int_equal(status, 200);
	now = http_get(
	    c->platform.addr, "/table/row?key=config/current", NULL, &status);
	assert_int_equal(status, 200);
	r = http_post(c->platform.addr, "/table/txn", NULL,
	    json_pack("{s:[{s:s,s:O}],s:[{s:s,s:O}]}", "checks", "key",
		"config/current", "rev", json_object_get(now, "rev"), "puts",
		"key", "config/current", "value",
		json_object_get(old, "value")),
	    &status);
	assert_int_equal(status, 200);
	json_decref(r);
	json_decref(old);
	json_decref(now);
}

static void
test_restart_takes_the_highest(void **state)
{
	struct cluster *c = call_cluster(3, 1, 1);
	int i;

	(void)state;
	assert_int_equal(submit(c, 0, 1, "two"), 2);
	until_in_force(c, 2);
	proc_pause(c->daemon[1].proc); /* misses version 3 */
	assert_int_equal(submit(c, 0, 2, "three"), 3);
	fault_set(c->platform.fault, "{s:b}", "refuse", 1);
	proc_kill(c->daemon[2].proc);
	proc_restart(c->daemon[2].proc);
	proc_resume(c->daemon[1].proc);
	cluster_wait_ready(c);
	until_in_force(c, 3);
	fault_set(c->platform.fault, "{s:b}", "reset", 1);
	make_platform_stale(c);
	/* Both daemons read the older version; neither reverts to it. */
	assert_int_equal(submit(c, 0, 1, "two"), 2);
	assert_int_equal(submit(c, 1, 1, "two"), 2);
	until_in_force(c, 3);
	/* Restarts while the platform and the peers disagree. */
	proc_kill(c->daemon[2].proc);
	proc_restart(c->daemon[2].proc);
	cluster_wait_ready(c);
	until_in_force(c, 3);
	for (i = 0; i < 3; i++)
		check_rising(&c->daemon[i]);
}

static bool
is_isolated(int status, const json_t *json, void *arg)
{
	return status == 200 &&
	       json_is_true(json_object_get(json, "isolated")) == *(bool *)arg;
}

static void
test_isolated_daemon_takes_no_work(void **state)
{
	struct cluster *c = start_relayed_cluster(
	    2, CLUSTER_RELAY_PLATFORM | CLUSTER_RELAY_PEER);
	bool yes = true, no = false;
	struct unit *d = &c->daemon[1];
	struct caller k;
	char id[CALL_ID_LEN];
	struct unit *other;
	json_t *j;
	int i;

	(void)state;
	/* A program owned by the daemon that will be isolated. */
	j = http_post(
	    d->addr, "/v1/programs", CLUSTER_CALLER_KEY, json_object(), &i);
	assert_int_equal(i, 201);
	snprintf(id, sizeof(id), "%s",
	    json_string_value(json_object_get(j, "program")));
	json_decref(j);
	assert_ptr_equal(call_owner(c, id, &other), d);
	cut_relay(c->daemon[0].relay_fault);
	cut_relay(d->relay_fault);
	cut_relay(d->platform_relay_fault);
	json_decref(http_until(d->oper, "/v1/status", OPER, is_isolated, &yes));
	call_start_model(&k, d, id, 1, "hello", 4);
	call_end(&k);
	assert_int_equal(k.res.status, 503);
	/* Its lease has expired, so another owner may have run the call. */
	assert_string_equal(call_outcome(&k), "unknown");
	assert_string_equal(call_error(&k), "platform_unavailable");
	assert_int_equal(fault_run_count(c->engine[0].fault, id, 1), 0);
	http_clear(&k.res);
	j = http_post(
	    d->addr, "/v1/programs", CLUSTER_CALLER_KEY, json_object(), &i);
	json_decref(j);
	assert_int_equal(i, 503);
	fault_set(c->daemon[0].relay_fault, "{s:b}", "reset", 1);
	fault_set(d->relay_fault, "{s:b}", "reset", 1);
	fault_set(d->platform_relay_fault, "{s:b}", "reset", 1);
	json_decref(http_until(d->oper, "/v1/status", OPER, is_isolated, &no));
	call_until_final(&k, d, id, 1);
	assert_string_equal(call_outcome(&k), "done");
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
}

static void
test_time_until_in_force(void **state)
{
	struct cluster *c = call_cluster(7, 1, 1);
	int64_t start_ms, elapsed_ms, sum_ms = 0, max_ms = 0;
	char token[32];
	int i;

	(void)state;
	for (i = 1; i <= APPLY_ROUNDS; i++) {
		snprintf(token, sizeof(token), "apply-%d", i);
		start_ms = proc_now_ms();
		assert_int_equal(submit(c, i % 7, i, token), i + 1);
		until_in_force(c, i + 1);
		elapsed_ms = proc_now_ms() - start_ms;
		sum_ms += elapsed_ms;
		max_ms = elapsed_ms > max_ms ? elapsed_ms : max_ms;
	}
	print_message("in force on 7 daemons: mean %lld ms, max %lld ms, "
		      "%d applies\n",
	    (long long)(sum_ms / APPLY_ROUNDS), (long long)max_ms,
	    APPLY_ROUNDS);
	for (i = 0; i < 7; i++)
		check_rising(&c->daemon[i]);
}

int
main(int argc, char **argv)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_operators_race),
	    T(test_invalid_text_changes_nothing),
	    T(test_cut_from_platform_only),
	    T(test_killed_before_it_answered),
	    T(test_audit_is_complete),
	    T(test_restart_takes_the_highest),
	    T(test_isolated_daemon_takes_no_work),
	    T(test_time_until_in_force),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
