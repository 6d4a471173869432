/*
 * fault_outage.c -- a platform outage that outlasts the leases.
 *
 * The platform refuses connections, does not answer or answers too late.
 * Idempotent calls must continue, marked as not committed; others must be
 * refused.  The outage must not cause a takeover of slots.  Afterwards each
 * daemon must commit the answers it gave; if it died, the caller's receipt
 * must restore them.
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
#include "slotrule.h"

#define KEY CLUSTER_CALLER_KEY
#define OPER CLUSTER_OPERATOR_KEY
#define PROGRAMS 6
#define OUTAGE_TURNS 4 /* turns of each program during the outage */
#define SLOW_PLATFORM_MS 3000 /* above the daemons' platform_timeout_ms */
#define MAX_ATTEMPTS 1000
#define OUTAGE_BUFFER_TURNS 4

enum outage {
	OUTAGE_REFUSES,
	OUTAGE_SILENT,
	OUTAGE_SLOW
};

/* Neither this daemon nor, by their reports, its peers reach the platform. */
static bool
platform_down_everywhere(int status, const json_t *json, void *arg)
{
	const json_t *p = json_object_get(json, "platform");

	(void)arg;
	return status == 200 && json_is_false(json_object_get(p, "ok")) &&
	       json_is_false(json_object_get(p, "peers_ok"));
}

static void
outage_begin(struct cluster *c, enum outage how)
{
	int i;

	switch (how) {
	case OUTAGE_REFUSES:
		fault_set(c->platform.fault, "{s:b}", "refuse", 1);
		break;
	case OUTAGE_SILENT:
		proc_pause(c->platform.proc);
		break;
	case OUTAGE_SLOW:
		fault_set(
		    c->platform.fault, "{s:i}", "slow_ms", SLOW_PLATFORM_MS);
		break;
	}
	for (i = 0; i < c->conf.daemons; i++)
		json_decref(http_until(c->daemon[i].oper, "/v1/status", OPER,
		    platform_down_everywhere, NULL));
}

static void
outage_end(struct cluster *c, enum outage how)
{
	if (how == OUTAGE_SILENT)
		proc_resume(c->platform.proc);
	else
		fault_set(c->platform.fault, "{s:b}", "reset", 1);
}

static bool
lease_lapsed(int status, const json_t *json, void *arg)
{
	(void)arg;
	return status == 200 && json_is_false(json_object_get(
				    json_object_get(json, "lease"), "held"));
}

static void
until_leases_lapse(struct cluster *c)
{
	int i;

	for (i = 0; i < c->conf.daemons; i++)
		json_decref(http_until(
		    c->daemon[i].oper, "/v1/status", OPER, lease_lapsed, NULL));
}

/* Makes one model call; receipt may be NULL. */
static json_t *
model_call(const struct unit *d, const char *id, int seq, const char *receipt,
    int *status)
{
	char path[128], text[64];
	json_t *body;

	snprintf(path, sizeof(path), "/v1/programs/%s/calls", id);
	snprintf(text, sizeof(text), "turn %d of %s", seq, id);
	body = json_pack("{s:i,s:s,s:{s:[{s:s,s:s}],s:i}}", "seq", seq,
	    "service", "smokehouse", "input", "messages", "role", "user",
	    "content", text, "max_tokens", 4);
	if (receipt != NULL)
		json_object_set_new(body, "receipt", json_string(receipt));
	return http_post(d->addr, path, KEY, body, status);
}

/* Retries a model call until its status is 200. */
static json_t *
model_call_until_done(
    const struct unit *d, const char *id, int seq, const char *receipt)
{
	json_t *j = NULL;
	int i, status = 0;

	for (i = 0; i < MAX_ATTEMPTS && status != 200; i++) {
		json_decref(j);
		j = model_call(d, id, seq, receipt, &status);
		if (status != 200)
			proc_sleep_ms(PROC_POLL_MS);
	}
	assert_int_equal(status, 200);
	return j;
}

static const char *
receipt_of(const json_t *answer)
{
	return json_string_value(json_object_get(answer, "receipt"));
}

static void
check_uncommitted(const json_t *answer, int status)
{
	assert_int_equal(status, 200);
	assert_true(json_is_false(json_object_get(answer, "committed")));
	assert_non_null(receipt_of(answer));
}

static const char *
error_field(const json_t *answer, const char *key)
{
	const char *s = json_string_value(
	    json_object_get(json_object_get(answer, "error"), key));

	return s != NULL ? s : "";
}

/* Refused with this outcome and a retry_after_ms. */
static void
check_refused_as(const json_t *answer, int status, const char *outcome)
{
	assert_int_equal(status, 503);
	assert_string_equal(
	    error_field(answer, "type"), "platform_unavailable");
	assert_string_equal(error_field(answer, "outcome"), outcome);
	assert_true(
	    json_integer_value(json_object_get(
		json_object_get(answer, "error"), "retry_after_ms")) > 0);
}

/* Refused without running the call. */
static void
check_refused(const json_t *answer, int status)
{
	check_refused_as(answer, status, "not_run");
}

static bool
is_ok(int status, const json_t *json, void *arg)
{
	(void)json;
	(void)arg;
	return status == 200;
}

/* The stored answer of a call equals the one its caller got. */
static void
check_stored(
    const struct unit *d, const char *id, int seq, const json_t *expected)
{
	char path[128];
	json_t *j;

	snprintf(path, sizeof(path), "/v1/programs/%s/calls/%d", id, seq);
	j = http_until(d->addr, path, KEY, is_ok, NULL);
	assert_non_null(json_object_get(expected, "output"));
	assert_true(json_equal(
	    json_object_get(j, "output"), json_object_get(expected, "output")));
	json_decref(j);
}

/* Creates a program through this daemon, which then owns it. */
static void
create_program_owned_by(struct cluster *c, struct unit *d, char id[CALL_ID_LEN])
{
	struct unit *other;
	char path[128];
	int i, status;
	json_t *j;

	/* Slots may still move between daemons that have just started. */
	do {
		j = http_post(
		    d->addr, "/v1/programs", KEY, json_object(), &status);
		assert_int_equal(status, 201);
		snprintf(id, CALL_ID_LEN, "%s",
		    json_string_value(json_object_get(j, "program")));
		json_decref(j);
	} while (call_owner(c, id, &other) != d);
	/* Wait until all daemons have read the owner. */
	snprintf(path, sizeof(path), "/v1/programs/%s", id);
	for (i = 0; i < c->conf.daemons; i++)
		json_decref(
		    http_until(c->daemon[i].addr, path, KEY, is_ok, NULL));
}

static size_t
engines_run_count(const struct cluster *c, const char *id, int seq)
{
	size_t n = 0;
	int i;

	for (i = 0; i < c->conf.engines; i++)
		n += fault_run_count(c->engine[i].fault, id, seq);
	return n;
}

static void
check_no_takeover(struct cluster *c)
{
	int i;

	for (i = 0; i < c->conf.daemons; i++) {
		assert_false(
		    proc_logged(c->daemon[i].proc, "\"event\":\"takeover\""));
		assert_false(
		    proc_logged(c->daemon[i].proc, "\"event\":\"lost\""));
	}
}

static json_t *answers[PROGRAMS][OUTAGE_TURNS + 3];
static char ids[PROGRAMS][CALL_ID_LEN];

static void
answers_clear(void)
{
	int i, seq;

	for (i = 0; i < PROGRAMS; i++)
		for (seq = 0; seq < OUTAGE_TURNS + 3; seq++) {
			json_decref(answers[i][seq]);
			answers[i][seq] = NULL;
		}
}

/* Runs turns 2 to OUTAGE_TURNS + 1 of each program, half of them after the
 * leases have expired. */
static void
turns_in_outage(struct cluster *c)
{
	struct caller k;
	int i, seq, status;

	for (seq = 2; seq <= OUTAGE_TURNS + 1; seq++) {
		if (seq == 2 + OUTAGE_TURNS / 2)
			until_leases_lapse(c);
		for (i = 0; i < PROGRAMS; i++) {
			answers[i][seq] = model_call(&c->daemon[(i + seq) % 3],
			    ids[i], seq, NULL, &status);
			check_uncommitted(answers[i][seq], status);
		}
	}
	for (i = 0; i < PROGRAMS; i++) {
		call_start(&k, &c->daemon[i % 3], ids[i], OUTAGE_TURNS + 2);
		call_end(&k);
		check_refused(k.res.json, k.res.status);
		assert_int_equal(
		    call_run_count(c, ids[i], OUTAGE_TURNS + 2), 0);
		http_clear(&k.res);
	}
}

/*
 * Whether every slot is at its final owner.  A slot that still moves when the
 * outage begins could not be read by its next owner.
 */
static bool
slots_settled(void *arg)
{
	struct cluster *c = arg;
	struct mu_slot_host hosts[CLUSTER_DAEMONS] = {0};
	json_int_t expected_slots[CLUSTER_DAEMONS] = {0}, owned;
	json_t *j;
	uint32_t k;
	int i;

	for (i = 0; i < c->conf.daemons; i++) {
		hosts[i].name = c->daemon[i].name;
		hosts[i].live = true;
	}
	for (k = 0; k < (uint32_t)c->conf.slots; k++)
		expected_slots[mu_slot_preferred_host(
		    hosts, (size_t)c->conf.daemons, k)]++;
	for (i = 0; i < c->conf.daemons; i++) {
		j = http_get(c->daemon[i].oper, "/v1/status", OPER, NULL);
		owned = json_integer_value(
		    json_object_get(json_object_get(j, "slots"), "owned"));
		json_decref(j);
		if (owned != expected_slots[i])
			return false;
	}
	return true;
}

static void
check_outage(enum outage how)
{
	struct cluster *c = call_cluster(3, 2, 1);
	int i, seq;

	proc_until("slots to settle", slots_settled, c);
	for (i = 0; i < PROGRAMS; i++) {
		create_program_owned_by(c, &c->daemon[i % 3], ids[i]);
		answers[i][1] =
		    model_call_until_done(&c->daemon[i % 3], ids[i], 1, NULL);
	}
	outage_begin(c, how);
	turns_in_outage(c);
	outage_end(c, how);
	/* A committed turn implies that the turns before it are committed. */
	for (i = 0; i < PROGRAMS; i++) {
		seq = OUTAGE_TURNS + 2;
		do {
			json_decref(answers[i][seq]);
			answers[i][seq] = model_call_until_done(
			    &c->daemon[i % 3], ids[i], seq, NULL);
		} while (json_is_false(
		    json_object_get(answers[i][seq], "committed")));
		for (seq = 1; seq <= OUTAGE_TURNS + 2; seq++)
			check_stored(
			    &c->daemon[i % 3], ids[i], seq, answers[i][seq]);
	}
	check_no_takeover(c);
	/* The remaining daemon finds all answers in the journal. */
	proc_kill(c->daemon[0].proc);
	proc_kill(c->daemon[1].proc);
	for (i = 0; i < PROGRAMS; i++)
		for (seq = 1; seq <= OUTAGE_TURNS + 2; seq++) {
			check_stored(
			    &c->daemon[2], ids[i], seq, answers[i][seq]);
			assert_int_equal(engines_run_count(c, ids[i], seq), 1);
		}
	answers_clear();
}

static void
test_platform_refuses(void **state)
{
	(void)state;
	check_outage(OUTAGE_REFUSES);
}

static void
test_platform_is_silent(void **state)
{
	(void)state;
	check_outage(OUTAGE_SILENT);
}

static void
test_platform_is_slow(void **state)
{
	(void)state;
	check_outage(OUTAGE_SLOW);
}

/* A wrong receipt is refused and changes nothing. */
static void
check_wrong_receipt(
    const struct unit *d, const char *id, int seq, const char *receipt)
{
	int i, status = 503;
	json_t *j = NULL;

	/* The new owner may still be recovering the slot. */
	for (i = 0; i < MAX_ATTEMPTS && status != 400 && status != 200; i++) {
		json_decref(j);
		j = model_call(d, id, seq, receipt, &status);
		proc_sleep_ms(PROC_POLL_MS);
	}
	assert_int_equal(status, 400);
	assert_string_equal(error_field(j, "type"), "bad_request");
	assert_string_equal(error_field(j, "outcome"), "not_run");
	json_decref(j);
}

static void
test_receipt_restores_the_turn(void **state)
{
	struct cluster *c = call_cluster(3, 2, 1);
	struct unit *owner = &c->daemon[0], *other = &c->daemon[1];
	char id[CALL_ID_LEN], foreign[CALL_ID_LEN], forged[4096];
	json_t *second, *third, *foreign_answer, *j;
	int status;

	(void)state;
	create_program_owned_by(c, owner, id);
	create_program_owned_by(c, owner, foreign);
	json_decref(model_call_until_done(owner, id, 1, NULL));
	json_decref(model_call_until_done(owner, foreign, 1, NULL));
	outage_begin(c, OUTAGE_REFUSES);
	second = model_call(other, id, 2, NULL, &status);
	check_uncommitted(second, status);
	third = model_call(owner, id, 3, NULL, &status);
	check_uncommitted(third, status);
	foreign_answer = model_call(owner, foreign, 2, NULL, &status);
	check_uncommitted(foreign_answer, status);
	proc_kill(owner->proc);
	outage_end(c, OUTAGE_REFUSES);
	check_wrong_receipt(other, id, 2, receipt_of(foreign_answer));
	snprintf(forged, sizeof(forged), "%s", receipt_of(second));
	forged[60] = forged[60] == 'A' ? 'B' : 'A';
	check_wrong_receipt(other, id, 2, forged);
	check_wrong_receipt(other, id, 2, "not a receipt");
	/* A receipt of the call itself: the call is not rerun. */
	j = model_call_until_done(other, id, 2, receipt_of(second));
	assert_true(json_equal(
	    json_object_get(j, "output"), json_object_get(second, "output")));
	json_decref(j);
	assert_int_equal(engines_run_count(c, id, 2), 1);
	/* A receipt of the previous call, which is restored; this call runs. */
	json_decref(model_call_until_done(other, id, 4, receipt_of(third)));
	check_stored(other, id, 3, third);
	assert_int_equal(engines_run_count(c, id, 3), 1);
	/* The restored turn is durable, and the same receipt has no effect a
	 * second time. */
	j = model_call_until_done(other, id, 5, receipt_of(third));
	assert_null(json_object_get(j, "committed"));
	json_decref(j);
	proc_kill(other->proc);
	check_stored(&c->daemon[2], id, 2, second);
	check_stored(&c->daemon[2], id, 3, third);
	json_decref(second);
	json_decref(third);
	json_decref(foreign_answer);
}

static void
test_buffer_is_bounded(void **state)
{
	struct cluster_conf conf;
	struct cluster *c;
	char text[4096];
	json_t *j;
	int i, status;

	(void)state;
	cluster_defaults(&conf);
	conf.daemons = 1;
	conf.engines = 1;
	conf.services = 1;
	conf.outage_buffer = OUTAGE_BUFFER_TURNS;
	c = cluster_start_conf(&conf);
	cluster_text(c, text, sizeof(text));
	cluster_apply(c, 0, text);
	for (i = 0; i < PROGRAMS; i++)
		create_program_owned_by(c, &c->daemon[0], ids[i]);
	outage_begin(c, OUTAGE_REFUSES);
	for (i = 0; i < PROGRAMS; i++) {
		j = model_call(&c->daemon[0], ids[i], 1, NULL, &status);
		if (i < OUTAGE_BUFFER_TURNS) {
			check_uncommitted(j, status);
		} else {
			check_refused(j, status);
			assert_int_equal(engines_run_count(c, ids[i], 1), 0);
		}
		json_decref(j);
	}
	outage_end(c, OUTAGE_REFUSES);
	for (i = 0; i < PROGRAMS; i++) {
		json_decref(
		    model_call_until_done(&c->daemon[0], ids[i], 1, NULL));
		assert_int_equal(engines_run_count(c, ids[i], 1), 1);
	}
}

/*
 * A daemon that alone loses the platform may have lost its slots to another:
 * its answers must not diverge from the program's history.
 */
static void
test_one_daemon_cut_from_platform(void **state)
{
	struct cluster_conf conf;
	struct cluster *c;
	struct unit *owner, *other;
	char text[4096], id[CALL_ID_LEN];
	json_t *second, *j;
	int status;

	(void)state;
	cluster_defaults(&conf);
	conf.daemons = 3;
	conf.engines = 2;
	conf.services = 1;
	conf.relays = CLUSTER_RELAY_PLATFORM;
	c = cluster_start_conf(&conf);
	cluster_text(c, text, sizeof(text));
	cluster_apply(c, 0, text);
	owner = &c->daemon[0];
	other = &c->daemon[1];
	create_program_owned_by(c, owner, id);
	json_decref(model_call_until_done(owner, id, 1, NULL));
	fault_set(
	    owner->platform_relay_fault, "{s:b,s:b}", "down", 1, "cut", 1);
	json_decref(
	    http_until(owner->oper, "/v1/status", OPER, lease_lapsed, NULL));
	second = model_call_until_done(other, id, 2, NULL);
	assert_null(json_object_get(second, "committed"));
	/* The old owner must not run seq 3 concurrently with the new owner, and
	 * without its lease it cannot know whether the new owner ran it. */
	j = model_call(owner, id, 3, NULL, &status);
	check_refused_as(j, status, "unknown");
	assert_int_equal(engines_run_count(c, id, 3), 0);
	json_decref(j);
	fault_set(owner->platform_relay_fault, "{s:b}", "reset", 1);
	json_decref(model_call_until_done(other, id, 3, NULL));
	check_stored(owner, id, 2, second);
	assert_int_equal(engines_run_count(c, id, 2), 1);
	json_decref(second);
}

int
main(int argc, char **argv)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_platform_refuses),
	    T(test_platform_is_silent),
	    T(test_platform_is_slow),
	    T(test_receipt_restores_the_turn),
	    T(test_buffer_is_bounded),
	    T(test_one_daemon_cut_from_platform),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
