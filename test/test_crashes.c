/* test_crashes.c -- which requests are refused because they crash endpoints:
 * one event counts once, a chain of crashes refuses, a completed run clears. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "crashes.h"

#define N 3 /* daemons */
#define FP 42

struct fixture {
	struct mu_crashes daemon[N];
	mu_us now;
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	int i;

	for (i = 0; i < N; i++)
		assert_int_equal(
		    mu_crashes_init(&f->daemon[i], &mu_crash_conf_default), 0);
	f->now = 5 * MU_US_PER_S;
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;
	int i;

	for (i = 0; i < N; i++)
		mu_crashes_fini(&f->daemon[i]);
	free(f);
	return 0;
}

/* Every daemon hears every other one. */
static void
exchange(struct fixture *f)
{
	struct mu_crash_report r[MU_CRASHES_REPORTS_MAX];
	size_t n;
	int i, k;

	for (i = 0; i < N; i++) {
		n = mu_crashes_list(&f->daemon[i], r, f->now);
		for (k = 0; k < N; k++)
			if (k != i)
				mu_crashes_apply(&f->daemon[k], (uint64_t)i + 1,
				    r, n, f->now);
	}
}

static struct mu_crash_attempt
begin(struct fixture *f, int daemon, uint64_t fp)
{
	struct mu_crash_attempt a = {
	    fp, mu_crashes_count(&f->daemon[daemon], fp, f->now), f->now, 0};

	f->now += MU_US_PER_MS;
	return a;
}

static void
crash(struct fixture *f, int daemon, struct mu_crash_attempt *a)
{
	a->ended = f->now;
	f->now += MU_US_PER_MS;
	(void)mu_crashes_died(&f->daemon[daemon], a, f->now);
}

static uint32_t
count(struct fixture *f, int daemon)
{
	return mu_crashes_count(&f->daemon[daemon], FP, f->now);
}

/* Guards against one crash that counted once for each daemon that had the same
 * request at the endpoint: all of its kind were refused for minutes. */
static void
test_one_crash_seen_by_all_daemons_counts_once(void **state)
{
	struct fixture *f = *state;
	struct mu_crash_attempt a[N];
	int i;

	for (i = 0; i < N; i++)
		a[i] = begin(f, i, FP);
	for (i = 0; i < N; i++)
		crash(f, i, &a[i]);
	exchange(f);
	exchange(f);
	for (i = 0; i < N; i++)
		assert_int_equal(count(f, i), 1);
}

/* Several endpoints die at the same time, each with a copy of the request. */
static void
test_crashes_at_the_same_time_count_once(void **state)
{
	struct fixture *f = *state;
	struct mu_crash_attempt a[4];
	int i;

	for (i = 0; i < 4; i++)
		a[i] = begin(f, 0, FP);
	for (i = 0; i < 4; i++)
		crash(f, 0, &a[i]);
	assert_int_equal(count(f, 0), 1);
}

static void
test_second_crash_in_a_row_refuses_everywhere(void **state)
{
	struct fixture *f = *state;
	struct mu_crash_attempt a = begin(f, 0, FP);
	int i;

	crash(f, 0, &a);
	exchange(f);
	a = begin(f, 1, FP);
	assert_int_equal(a.known, 1);
	crash(f, 1, &a);
	exchange(f);
	for (i = 0; i < N; i++)
		assert_int_equal(count(f, i), MU_CRASHES_LIMIT);
}

/* The attempt was sent after the crash and before it was confirmed. */
static void
test_second_crash_sent_before_the_first_is_confirmed(void **state)
{
	struct fixture *f = *state;
	struct mu_crash_attempt a = begin(f, 0, FP), b;

	a.ended = f->now;
	f->now += MU_US_PER_MS;
	b = begin(f, 0, FP);
	assert_int_equal(b.known, 0);
	(void)mu_crashes_died(&f->daemon[0], &a, f->now);
	crash(f, 0, &b);
	assert_int_equal(count(f, 0), MU_CRASHES_LIMIT);
}

/* A popular request: it runs to its end all the time, and beside a crash now
 * and then. */
static void
test_request_that_completes_is_not_suspected(void **state)
{
	struct fixture *f = *state;
	struct mu_crash_attempt a;
	int i;

	for (i = 0; i < 5; i++) {
		mu_crashes_completed(&f->daemon[0], FP);
		a = begin(f, 0, FP);
		crash(f, 0, &a);
		assert_int_equal(count(f, 0), 0);
	}
}

static void
test_completed_run_clears(void **state)
{
	struct fixture *f = *state;
	struct mu_crash_attempt a = begin(f, 0, FP);
	int i;

	crash(f, 0, &a);
	exchange(f);
	assert_int_equal(count(f, 1), 1);
	mu_crashes_completed(&f->daemon[0], FP);
	exchange(f);
	for (i = 0; i < N; i++)
		assert_int_equal(count(f, i), 0);
}

static void
test_evidence_expires(void **state)
{
	struct fixture *f = *state;
	struct mu_crash_attempt a = begin(f, 0, FP);

	crash(f, 0, &a);
	exchange(f);
	f->now += mu_crash_conf_default.suspicion_ttl;
	assert_int_equal(count(f, 0), 0);
	assert_int_equal(count(f, 1), 0);
	a = begin(f, 0, FP);
	crash(f, 0, &a);
	a = begin(f, 0, FP);
	crash(f, 0, &a);
	f->now += mu_crash_conf_default.suspicion_ttl;
	assert_int_equal(count(f, 0), MU_CRASHES_LIMIT);
	f->now += mu_crash_conf_default.refusal_ttl;
	assert_int_equal(count(f, 0), 0);
}

/* Many requests at endpoints that die: what refuses a request is kept. */
static void
test_full_table_keeps_refusals(void **state)
{
	struct fixture *f = *state;
	struct mu_crash_attempt a;
	uint64_t fp;
	int i;

	for (i = 0; i < MU_CRASHES_LIMIT; i++) {
		a = begin(f, 0, FP);
		crash(f, 0, &a);
	}
	for (fp = 1000; fp < 1000 + 2 * mu_crash_conf_default.max_entries;
	     fp++) {
		a = begin(f, 0, fp);
		crash(f, 0, &a);
	}
	assert_int_equal(count(f, 0), MU_CRASHES_LIMIT);
	exchange(f);
	assert_int_equal(
	    f->daemon[0].nentries, mu_crash_conf_default.max_entries);
}

/* Guards against "yes, go on" of one conversation standing for that of all. */
static void
test_fingerprint_is_of_all_that_is_sent(void **state)
{
	const char *body = "question\nanswer\nyes, go on";
	uint64_t fp =
	    mu_crashes_fingerprint(NULL, "h", "POST", "/a", body, strlen(body));

	(void)state;
	assert_true(fp == mu_crashes_fingerprint(
			      NULL, "h", "POST", "/a", body, strlen(body)));
	assert_true(fp != mu_crashes_fingerprint(NULL, "h", "POST", "/a",
			      "yes, go on", strlen("yes, go on")));
	assert_true(fp != mu_crashes_fingerprint(
			      "c1", "h", "POST", "/a", body, strlen(body)));
	assert_true(fp != mu_crashes_fingerprint(
			      NULL, "g", "POST", "/a", body, strlen(body)));
	assert_true(fp != mu_crashes_fingerprint(
			      NULL, "h", "POST", "/b", body, strlen(body)));
	assert_true(fp != mu_crashes_fingerprint(
			      NULL, "h", "PUT", "/a", body, strlen(body)));
	assert_true(
	    mu_crashes_fingerprint(NULL, "h", "GET", "/a", NULL, 0) != 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_one_crash_seen_by_all_daemons_counts_once),
	    T(test_crashes_at_the_same_time_count_once),
	    T(test_second_crash_in_a_row_refuses_everywhere),
	    T(test_second_crash_sent_before_the_first_is_confirmed),
	    T(test_request_that_completes_is_not_suspected),
	    T(test_completed_run_clears),
	    T(test_evidence_expires),
	    T(test_full_table_keeps_refusals),
	    T(test_fingerprint_is_of_all_that_is_sent),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
