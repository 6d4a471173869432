/* test_order.c -- priorities of calls. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "order.h"

static int32_t
priority(uint64_t attained, mu_us waited, enum mu_urgency urgency)
{
	struct mu_call_info r = {
	    .attained = attained, .waited = waited, .urgency = urgency};

	return mu_order(&r).priority;
}

static void
least_attained_runs_first(void **state)
{
	(void)state;
	assert_true(priority(100, 0, MU_NORMAL) < priority(9000, 0, MU_NORMAL));
}

static void
urgent_runs_first(void **state)
{
	(void)state;
	assert_true(
	    priority(3000, 0, MU_URGENT) < priority(3000, 0, MU_NORMAL));
}

/* Guards against starvation: a long wait outranks any new urgent call. */
static void
waiting_passes_others(void **state)
{
	struct mu_call_info r = {.attained = 100000, .urgency = MU_NORMAL};

	(void)state;
	r.waited = 1200 * MU_US_PER_S;
	assert_true(mu_order(&r).priority < priority(0, 0, MU_URGENT));
	assert_int_equal(mu_order(&r).reason, MU_ORDER_AGED);
}

static void
cached_prefix_runs_before_uncached(void **state)
{
	struct mu_call_info cached = {
	    .prompt_tokens = 9000, .home_tokens = 8900};
	struct mu_call_info missing = {.prompt_tokens = 9000};

	(void)state;
	assert_true(mu_order(&cached).priority < mu_order(&missing).priority);
}

static void
extremes_stay_in_bounds(void **state)
{
	(void)state;
	assert_true(priority(UINT64_MAX, 0, MU_NORMAL) <= 1000000);
	assert_true(priority(0, MU_US_NEVER, MU_URGENT) >= -1000000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(least_attained_runs_first),
	    cmocka_unit_test(urgent_runs_first),
	    cmocka_unit_test(waiting_passes_others),
	    cmocka_unit_test(cached_prefix_runs_before_uncached),
	    cmocka_unit_test(extremes_stay_in_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
