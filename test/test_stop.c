/* test_stop.c -- planned stop: waits for callers to move away, but exits before
 * the platform kills the process. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "stop.h"

#define TTL_MS 800
#define STOP_MS 8000
#define START (50 * MU_US_PER_S)

/* Milliseconds until the daemon exits if calls are in progress up to busy_ms.
 */
static mu_us
ends_after(mu_us busy_ms, uint32_t stop_ms)
{
	struct mu_stop s;
	mu_us ms;

	mu_stop_begin(&s, START, TTL_MS, stop_ms);
	for (ms = 100; ms < 20000; ms += 100)
		if (mu_stop_poll(
			&s, START + ms * MU_US_PER_MS, ms < busy_ms ? 1 : 0))
			break;
	return ms;
}

static void
test_stays_while_callers_may_come(void **state)
{
	(void)state;
	assert_int_equal(ends_after(0, STOP_MS), 3 * TTL_MS);
}

static void
test_waits_for_calls_in_progress(void **state)
{
	(void)state;
	assert_int_equal(ends_after(4000, STOP_MS), 4000);
}

/* With a call that never ends, exits before the platform kills the process. */
static void
test_ends_before_it_is_killed(void **state)
{
	(void)state;
	assert_in_range(
	    ends_after(100000, STOP_MS), STOP_MS - 1000, STOP_MS - 500);
	assert_int_equal(ends_after(100000, 300), 100); /* at the first poll */
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_stays_while_callers_may_come),
	    cmocka_unit_test(test_waits_for_calls_in_progress),
	    cmocka_unit_test(test_ends_before_it_is_killed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
