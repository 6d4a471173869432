/* test_retain.c -- keep, export or drop an idle prefix. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "retain.h"

static struct mu_retain_view view;

static int
setup(void **state)
{
	(void)state;
	view = (struct mu_retain_view){.tokens = 5000,
	    .cache_used = 300000,
	    .cache_max = 300000,
	    .prefill_us = 125,
	    .return_rate = 0.9};
	for (int i = 0; i < 50; i++)
		mu_pause_sample(&view.service, (2 + i % 5) * MU_US_PER_S);
	return 0;
}

static void
keeps_over_a_short_pause(void **state)
{
	struct mu_retention r;

	(void)state;
	r = mu_retain(&view);
	assert_int_equal(r.kind, MU_RETAIN_KEEP);
	assert_int_equal(r.reason, MU_RETAIN_RETURN_SOON);
	assert_true(r.keep_when_full);
	assert_true(r.u.keep.until > 0);
}

static void
keeps_without_pause_statistics(void **state)
{
	(void)state;
	view = (struct mu_retain_view){.tokens = 5000, .cache_max = 300000};
	assert_int_equal(mu_retain(&view).kind, MU_RETAIN_KEEP);
	view.cache_used = 300000;
	assert_int_equal(mu_retain(&view).kind, MU_RETAIN_KEEP);
}

static void
drops_ended_and_orphaned_prefixes(void **state)
{
	(void)state;
	view.ended = true;
	assert_int_equal(mu_retain(&view).reason, MU_RETAIN_ENDED);
	view.ended = false;
	view.orphan = true;
	assert_int_equal(mu_retain(&view).reason, MU_RETAIN_ORPHAN);
	assert_int_equal(mu_retain(&view).kind, MU_RETAIN_DROP);
}

static void
drops_after_a_pause_without_return(void **state)
{
	(void)state;
	view.idle = 600 * MU_US_PER_S;
	assert_int_equal(mu_retain(&view).reason, MU_RETAIN_PRICE);
	view.cache_used = 0; /* even an empty cache has a price */
	assert_int_equal(mu_retain(&view).kind, MU_RETAIN_DROP);
}

static void
drops_at_the_idle_limit(void **state)
{
	(void)state;
	view.idle_max = 5 * MU_US_PER_S;
	view.idle = 5 * MU_US_PER_S;
	assert_int_equal(mu_retain(&view).reason, MU_RETAIN_IDLE_LIMIT);
}

static void
long_pauses_are_not_kept_when_full(void **state)
{
	(void)state;
	view.service = (struct mu_pause_stats){0};
	for (int i = 0; i < 50; i++)
		mu_pause_sample(&view.service, (30 + i % 40) * MU_US_PER_S);
	assert_false(mu_retain(&view).keep_when_full);
}

static void
exports_where_that_is_cheaper(void **state)
{
	(void)state;
	view.idle = 600 * MU_US_PER_S;
	view.transfer_us = 50;
	assert_int_equal(mu_retain(&view).kind, MU_RETAIN_EXPORT);
	view.transfer_us = 500;
	assert_int_equal(mu_retain(&view).kind, MU_RETAIN_DROP);
}

static void
program_pauses_outweigh_service_pauses(void **state)
{
	(void)state;
	view.idle = 100 * MU_US_PER_S;
	assert_int_equal(mu_retain(&view).kind, MU_RETAIN_DROP);
	for (int i = 0; i < 20; i++)
		mu_pause_sample(&view.program, (100 + i) * MU_US_PER_S);
	assert_int_equal(mu_retain(&view).kind, MU_RETAIN_KEEP);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup(keeps_over_a_short_pause, setup),
	    cmocka_unit_test_setup(keeps_without_pause_statistics, setup),
	    cmocka_unit_test_setup(drops_ended_and_orphaned_prefixes, setup),
	    cmocka_unit_test_setup(drops_after_a_pause_without_return, setup),
	    cmocka_unit_test_setup(drops_at_the_idle_limit, setup),
	    cmocka_unit_test_setup(long_pauses_are_not_kept_when_full, setup),
	    cmocka_unit_test_setup(exports_where_that_is_cheaper, setup),
	    cmocka_unit_test_setup(
		program_pauses_outweigh_service_pauses, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
