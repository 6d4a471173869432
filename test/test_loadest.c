/* test_loadest.c -- the estimate of other daemons' requests at an endpoint, as
 * reports age and as the mean follows a burst. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "loadest.h"

#define MS MU_US_PER_MS
#define START MU_US_PER_S
#define SLOTS 8
#define REPORT_INTERVAL (100 * MS) /* of all endpoints of a service */

static const struct mu_loadest_report no_report;

static double
others(enum mu_loadest_kind kind, const struct mu_loadest_report *r,
    const struct mu_loadest_mean *m, mu_us now)
{
	return mu_loadest_others(kind, r, m, SLOTS, now);
}

/* Adds a report of per_slot every REPORT_INTERVAL; returns the time after. */
static mu_us
report_for(struct mu_loadest_mean *m, double per_slot, mu_us from, mu_us time)
{
	mu_us t;

	for (t = from; t < from + time; t += REPORT_INTERVAL)
		mu_loadest_add(m, per_slot * SLOTS, SLOTS, t);
	return t;
}

/* Guards against a report that stays in force: an endpoint that was full once
 * would get no request again, and one that was idle would get all. */
static void
test_report_loses_weight_with_age(void **state)
{
	const struct mu_loadest_report r = {8, START};
	struct mu_loadest_mean m = {0.25, START};
	double before = 9, now;
	mu_us age;

	(void)state;
	assert_float_equal(others(MU_LOADEST_REPORT, &r, &m, START), 8, 0.001);
	assert_float_equal(others(MU_LOADEST_MEAN, &r, &m, START), 8, 0.001);
	for (age = 0; age <= 4000 * MS; age += 250 * MS) {
		m.updated_at = START + age; /* others keep reporting */
		now = others(MU_LOADEST_MEAN, &r, &m, START + age);
		assert_true(now < before);
		assert_true(now > 0.25 * SLOTS);
		before = now;
	}
	m.updated_at = START + 1000 * MS;
	assert_true(others(MU_LOADEST_MEAN, &r, &m, START + 1000 * MS) < 6);
	assert_true(others(MU_LOADEST_REPORT, &r, &m, START + 1000 * MS) < 4);
	m.updated_at = START + 20000 * MS;
	assert_float_equal(
	    others(MU_LOADEST_MEAN, &r, &m, START + 20000 * MS), 2, 0.001);
	assert_float_equal(
	    others(MU_LOADEST_REPORT, &r, &m, START + 20000 * MS), 0, 0.001);
}

/* Guards against endpoints that appear idle because this daemon has not heard
 * from them, and against a change for services that keep the old estimate. */
static void
test_endpoint_not_heard_from(void **state)
{
	const struct mu_loadest_mean m = {0.75, START};

	(void)state;
	assert_float_equal(
	    others(MU_LOADEST_MEAN, &no_report, &m, START), 6, 0.001);
	assert_float_equal(
	    mu_loadest_others(MU_LOADEST_MEAN, &no_report, &m, 4, START), 3,
	    0.001);
	assert_float_equal(
	    others(MU_LOADEST_REPORT, &no_report, &m, START), 0, 0.001);
	/* The endpoint's number of slots is unknown. */
	assert_float_equal(
	    mu_loadest_others(MU_LOADEST_MEAN, &no_report, &m, 0, START), 0,
	    0.001);
}

/* Guards against a mean that outlasts the burst it was measured in: a daemon
 * that takes its endpoints for full sends nothing, so it hears nothing. */
static void
test_mean_fades_in_silence(void **state)
{
	const struct mu_loadest_mean m = {1.5, START};
	mu_us second = 1000 * MS;

	(void)state;
	assert_true(
	    others(MU_LOADEST_MEAN, &no_report, &m, START + second) > 6);
	assert_true(
	    others(MU_LOADEST_MEAN, &no_report, &m, START + 4 * second) < 2);
	assert_true(others(MU_LOADEST_MEAN, &no_report, &m,
			START + 20 * second) < 0.01);
}

/* Guards against one odd report, of an endpoint that says it has thousands of
 * requests, which would close the service for all programs. */
static void
test_odd_report_is_limited(void **state)
{
	struct mu_loadest_mean m = {0};

	(void)state;
	mu_loadest_add(&m, 4294967295.0, SLOTS, START);
	assert_float_equal(m.per_slot, 4, 0.001);
	(void)report_for(&m, 0.25, START + REPORT_INTERVAL, 2000 * MS);
	assert_true(m.per_slot < 0.5);
}

/* Guards against a load that is invented before the first report. */
static void
test_no_report_at_all(void **state)
{
	const struct mu_loadest_mean m = {0};

	(void)state;
	assert_float_equal(
	    others(MU_LOADEST_MEAN, &no_report, &m, START), 0, 0.001);
}

/* Guards against a mean that starts at zero and takes seconds to reach the load
 * that a daemon meets when it starts in a burst. */
static void
test_first_report_counts_in_full(void **state)
{
	struct mu_loadest_mean m = {0};

	(void)state;
	mu_loadest_add(&m, 12, SLOTS, START);
	assert_float_equal(m.per_slot, 1.5, 0.001);
}

/* Guards against a mean that is too slow for a burst, which fills all endpoints
 * within a second, or that keeps its load afterwards. */
static void
test_mean_follows_a_burst(void **state)
{
	struct mu_loadest_mean m = {0};
	mu_us t;

	(void)state;
	t = report_for(&m, 0.25, START, 5000 * MS);
	assert_float_equal(m.per_slot, 0.25, 0.01);
	t = report_for(&m, 1.25, t, 1000 * MS);
	assert_true(m.per_slot > 1);
	t = report_for(&m, 1.25, t, 3000 * MS);
	assert_float_equal(m.per_slot, 1.25, 0.01);
	t = report_for(&m, 0.25, t, 1000 * MS);
	assert_true(m.per_slot < 0.5);
	(void)report_for(&m, 0, t, 5000 * MS);
	assert_float_equal(m.per_slot, 0, 0.01);
}

/* Guards against a mean that follows single reports: one endpoint that is idle
 * or full says little about the others. */
static void
test_mean_is_not_one_report(void **state)
{
	struct mu_loadest_mean m = {0};
	int i;

	(void)state;
	for (i = 0; i < 100; i++)
		mu_loadest_add(
		    &m, i % 2 == 0 ? 0 : 8, SLOTS, START + i * REPORT_INTERVAL);
	assert_true(m.per_slot > 0.35);
	assert_true(m.per_slot < 0.65);
}

/* Guards against weights by count instead of by time: ten reports in one
 * instant, as after a store outage, would replace the mean, and the first
 * report after a pause would count for little. */
static void
test_irregular_gaps(void **state)
{
	struct mu_loadest_mean m = {0};
	mu_us t;
	int i;

	(void)state;
	t = report_for(&m, 0.5, START, 3000 * MS);
	for (i = 0; i < 10; i++)
		mu_loadest_add(&m, 16, SLOTS, t + i);
	assert_true(m.per_slot < 0.9);
	mu_loadest_add(&m, 8, SLOTS, t + 10000 * MS);
	assert_float_equal(m.per_slot, 1, 0.001);
}

/* Guards against a report without requests of others that is taken for no
 * report, or for more than an idle endpoint. */
static void
test_zero_others(void **state)
{
	const struct mu_loadest_report r = {0, START};
	struct mu_loadest_mean m = {0};

	(void)state;
	(void)report_for(&m, 0, START, 1000 * MS);
	assert_true(m.per_slot == 0);
	m.per_slot = 1;
	m.updated_at = START;
	assert_true(others(MU_LOADEST_MEAN, &r, &m, START) == 0);
	assert_true(others(MU_LOADEST_MEAN, &r, &m, START + 100 * MS) < 1);
	m.updated_at = START + 3000 * MS; /* others keep reporting */
	assert_true(others(MU_LOADEST_MEAN, &r, &m, START + 3000 * MS) > 7);
	assert_true(others(MU_LOADEST_REPORT, &r, &m, START + 100 * MS) == 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_report_loses_weight_with_age),
	    cmocka_unit_test(test_endpoint_not_heard_from),
	    cmocka_unit_test(test_mean_fades_in_silence),
	    cmocka_unit_test(test_odd_report_is_limited),
	    cmocka_unit_test(test_no_report_at_all),
	    cmocka_unit_test(test_first_report_counts_in_full),
	    cmocka_unit_test(test_mean_follows_a_burst),
	    cmocka_unit_test(test_mean_is_not_one_report),
	    cmocka_unit_test(test_irregular_gaps),
	    cmocka_unit_test(test_zero_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
