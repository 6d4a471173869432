/* test_reach.c -- which way an operation goes, for each load that reach.c
 * answers. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "reach.h"

#define LANES 8
#define MS MU_US_PER_MS

struct fixture {
	struct mu_reach reach;
	struct mu_lane lane[LANES];
};

static void
start(struct fixture *f)
{
	unsigned i;

	mu_reach_init(&f->reach);
	for (i = 0; i < LANES; i++)
		mu_lane_init(&f->lane[i], &f->reach);
}

static void
answer(struct mu_lane *l, mu_us now)
{
	mu_lane_begin(l, now);
	mu_lane_answered(l, now, 5 * MS);
}

static void
lose(struct mu_lane *l, mu_us now, unsigned times)
{
	while (times-- > 0) {
		mu_lane_begin(l, now);
		mu_lane_failed(l, now);
	}
}

static void
test_nothing_known_goes_directly(void **state)
{
	struct fixture f;

	(void)state;
	start(&f);
	assert_int_equal(
	    mu_lane_way(&f.lane[0], MU_US_PER_S, true), MU_WAY_DIRECT);
	assert_false(mu_reach_lost(&f.reach, MU_US_PER_S));
}

/* Three of eight parts are down. */
static void
test_some_parts_down(void **state)
{
	mu_us now = MU_US_PER_S;
	struct fixture f;
	unsigned i;

	(void)state;
	start(&f);
	for (i = 0; i < LANES; i++)
		answer(&f.lane[i], now);
	now += 100 * MS;
	for (i = 0; i < 3; i++)
		lose(&f.lane[i], now, 4);
	assert_false(mu_reach_lost(&f.reach, now));
	for (i = 0; i < LANES; i++) {
		assert_int_equal(mu_lane_suspect(&f.lane[i], now), i < 3);
		assert_int_equal(mu_lane_way(&f.lane[i], now, false),
		    i < 3 ? MU_WAY_WAIT : MU_WAY_DIRECT);
	}
	/* A peer is asked, and is not answered either. */
	assert_int_equal(mu_lane_way(&f.lane[0], now, true), MU_WAY_RELAY);
	mu_lane_relayed(&f.lane[0], false);
	mu_lane_relayed(&f.lane[0], false);
	assert_int_equal(mu_lane_way(&f.lane[0], now, true), MU_WAY_WAIT);
	answer(&f.lane[0], now);
	assert_int_equal(mu_lane_way(&f.lane[0], now, true), MU_WAY_DIRECT);
	/* A belief that nothing confirms is forgotten. */
	assert_false(mu_lane_suspect(&f.lane[1], now + 2 * MU_US_PER_S));
}

/* The store turns this daemon away: parts that were not asked yet go through
 * a peer at once, and one operation at a time tries the direct way. */
static void
test_this_daemon_turned_away(void **state)
{
	mu_us now = MU_US_PER_S;
	struct fixture f;
	unsigned i;

	(void)state;
	start(&f);
	for (i = 0; i < 4; i++)
		lose(&f.lane[i], now, 2);
	assert_true(mu_reach_lost(&f.reach, now));
	assert_int_equal(mu_lane_way(&f.lane[0], now, true), MU_WAY_RELAY);
	now += 400 * MS;
	assert_int_equal(mu_lane_way(&f.lane[0], now, true), MU_WAY_DIRECT);
	mu_lane_begin(&f.lane[0], now);
	assert_int_equal(mu_lane_way(&f.lane[0], now, true), MU_WAY_RELAY);
	assert_true(mu_lane_limit_ms(&f.lane[0], now, true) <= 200);
	assert_int_equal(mu_lane_way(&f.lane[5], now, false), MU_WAY_WAIT);
}

/* All of it is down for everyone. */
static void
test_all_down(void **state)
{
	mu_us now = MU_US_PER_S;
	struct fixture f;
	unsigned i;

	(void)state;
	start(&f);
	for (i = 0; i < LANES; i++)
		answer(&f.lane[i], now);
	now += 700 * MS;
	for (i = 0; i < LANES - 2; i++)
		lose(&f.lane[i], now, 2);
	assert_true(mu_reach_lost(&f.reach, now));
	for (i = 0; i < LANES; i++) {
		assert_int_equal(
		    mu_lane_way(&f.lane[i], now, false), MU_WAY_WAIT);
		assert_false(mu_lane_suspect(&f.lane[i], now));
	}
}

static void
test_slow_answers_raise_the_limit(void **state)
{
	mu_us now = MU_US_PER_S;
	struct fixture f;
	unsigned i;

	(void)state;
	start(&f);
	for (i = 0; i < 100; i++) {
		mu_lane_begin(&f.lane[0], now);
		mu_lane_answered(&f.lane[0], now, 300 * MS);
	}
	assert_in_range(mu_lane_limit_ms(&f.lane[0], now, false), 1400, 1500);
	mu_lane_missed(&f.lane[0], now);
	assert_int_equal(mu_lane_limit_ms(&f.lane[0], now, false), 2000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_nothing_known_goes_directly),
	    cmocka_unit_test(test_some_parts_down),
	    cmocka_unit_test(test_this_daemon_turned_away),
	    cmocka_unit_test(test_all_down),
	    cmocka_unit_test(test_slow_answers_raise_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
