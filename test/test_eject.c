/* test_eject.c -- failing and slow endpoints are ejected and restored; half of
 * a service is never ejected. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "eject.h"

#define COUNT 4
#define MS MU_US_PER_MS
#define S MU_US_PER_S

static struct mu_health health[COUNT];
static struct mu_health *all[COUNT];

static int
setup(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < COUNT; i++) {
		mu_health_init(&health[i]);
		all[i] = &health[i];
	}
	return 0;
}

static struct mu_eject_event
report(size_t i, enum mu_health_result result, mu_us took, mu_us now)
{
	return mu_eject_report(
	    &mu_eject_conf_default, all, COUNT, i, result, took, now);
}

static enum mu_health_state
state_of(size_t i, mu_us now)
{
	return mu_health_state(&mu_eject_conf_default, &health[i], now);
}

static struct mu_eject_event
fail_thrice(size_t i, mu_us now)
{
	(void)report(i, MU_HEALTH_FAILURE, 0, now);
	(void)report(i, MU_HEALTH_FAILURE, 0, now);
	return report(i, MU_HEALTH_FAILURE, 0, now);
}

static void
test_failures_eject_and_a_probe_restores(void **state)
{
	(void)state;
	(void)report(0, MU_HEALTH_FAILURE, 0, 0);
	(void)report(0, MU_HEALTH_FAILURE, 0, 0);
	(void)report(0, MU_HEALTH_SUCCESS, MS, 0);
	assert_int_equal(fail_thrice(0, S).kind, MU_EJECT_EJECT);
	assert_int_equal(state_of(0, 2 * S), MU_HEALTH_EJECTED);
	/* The result of a call sent before the ejection is ignored. */
	assert_int_equal(
	    report(0, MU_HEALTH_SUCCESS, MS, 2 * S).kind, MU_EJECT_NOTHING);
	assert_int_equal(state_of(0, 6 * S), MU_HEALTH_PROBE);
	mu_health_probe_started(&health[0], 6 * S);
	assert_int_equal(state_of(0, 6 * S), MU_HEALTH_EJECTED);
	assert_int_equal(
	    report(0, MU_HEALTH_SUCCESS, MS, 7 * S).kind, MU_EJECT_RESTORE);
	assert_int_equal(state_of(0, 7 * S), MU_HEALTH_OK);
}

static void
test_ejections_double_to_the_cap(void **state)
{
	mu_us now = 0, length, last = 0;
	int i;

	(void)state;
	assert_int_equal(fail_thrice(0, now).u.eject.until, 5 * S);
	for (i = 0; i < 12; i++) {
		now = health[0].ejected_until;
		mu_health_probe_started(&health[0], now);
		length =
		    report(0, MU_HEALTH_FAILURE, 0, now).u.eject.until - now;
		assert_true(length == 300 * S || length > last);
		last = length;
	}
	assert_int_equal(last, 300 * S);
}

static void
test_lost_probe_is_void(void **state)
{
	(void)state;
	(void)fail_thrice(0, 0);
	mu_health_probe_started(&health[0], 5 * S);
	assert_int_equal(state_of(0, 34 * S), MU_HEALTH_EJECTED);
	assert_int_equal(state_of(0, 35 * S), MU_HEALTH_PROBE);
}

static void
test_half_of_a_service_stays(void **state)
{
	struct mu_eject_event ev;

	(void)state;
	assert_int_equal(fail_thrice(0, 0).kind, MU_EJECT_EJECT);
	assert_int_equal(fail_thrice(1, 0).kind, MU_EJECT_EJECT);
	ev = fail_thrice(2, 0);
	assert_int_equal(ev.kind, MU_EJECT_NOTHING);
	assert_int_equal(ev.reason, MU_EJECT_WHY_HALF);
	assert_int_equal(state_of(2, 0), MU_HEALTH_OK);
}

static void
test_slow_one_is_ejected(void **state)
{
	struct mu_eject_event ev = {0};
	size_t i;
	int n;

	(void)state;
	for (n = 0; n < 20 && ev.kind == MU_EJECT_NOTHING; n++) {
		for (i = 1; i < COUNT; i++)
			(void)report(i, MU_HEALTH_SUCCESS, 30 * MS, S);
		ev = report(0, MU_HEALTH_SUCCESS, 200 * MS, S);
	}
	assert_int_equal(ev.reason, MU_EJECT_WHY_SLOW);
	for (i = 1; i < COUNT; i++)
		assert_int_equal(state_of(i, S), MU_HEALTH_OK);
}

static void
test_busy_says_nothing(void **state)
{
	int n;

	(void)state;
	for (n = 0; n < 10; n++)
		(void)report(0, MU_HEALTH_BUSY, 0, 0);
	assert_int_equal(state_of(0, 0), MU_HEALTH_OK);
}

#define T(f) cmocka_unit_test_setup(f, setup)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_failures_eject_and_a_probe_restores),
	    T(test_ejections_double_to_the_cap),
	    T(test_lost_probe_is_void),
	    T(test_half_of_a_service_stays),
	    T(test_slow_one_is_ejected),
	    T(test_busy_says_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
