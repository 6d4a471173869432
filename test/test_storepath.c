/* test_storepath.c -- the path chosen for each kind of store failure. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "storepath.h"

#define PARTITIONS 8
#define MS MU_US_PER_MS

struct fixture {
	struct mu_store_paths paths;
	struct mu_partition_path partition[PARTITIONS];
};

static void
init_paths(struct fixture *f)
{
	unsigned i;

	mu_store_paths_init(&f->paths);
	for (i = 0; i < PARTITIONS; i++)
		mu_path_init(&f->partition[i], &f->paths);
}

static void
answer_direct(struct mu_partition_path *p, mu_us now)
{
	mu_path_direct_begin(p, now);
	mu_path_direct_answered(p, now, 5 * MS);
}

static void
fail_direct(struct mu_partition_path *p, mu_us now, unsigned times)
{
	while (times-- > 0) {
		mu_path_direct_begin(p, now);
		mu_path_direct_failed(p, now);
	}
}

static void
test_nothing_known_goes_directly(void **state)
{
	struct fixture f;

	(void)state;
	init_paths(&f);
	assert_int_equal(
	    mu_path_choose(&f.partition[0], MU_US_PER_S, true), MU_PATH_DIRECT);
	assert_false(mu_store_paths_direct_unavailable(&f.paths, MU_US_PER_S));
}

/* Three of eight partitions are unavailable. */
static void
test_some_parts_down(void **state)
{
	mu_us now = MU_US_PER_S;
	struct fixture f;
	unsigned i;

	(void)state;
	init_paths(&f);
	for (i = 0; i < PARTITIONS; i++)
		answer_direct(&f.partition[i], now);
	now += 100 * MS;
	for (i = 0; i < 3; i++)
		fail_direct(&f.partition[i], now, 4);
	assert_false(mu_store_paths_direct_unavailable(&f.paths, now));
	for (i = 0; i < PARTITIONS; i++) {
		assert_int_equal(
		    mu_path_partition_suspect(&f.partition[i], now), i < 3);
		assert_int_equal(mu_path_choose(&f.partition[i], now, false),
		    i < 3 ? MU_PATH_NONE : MU_PATH_DIRECT);
	}
	/* The operation is relayed, and the peer fails as well. */
	assert_int_equal(
	    mu_path_choose(&f.partition[0], now, true), MU_PATH_RELAY);
	mu_path_relay_end(&f.partition[0], false);
	mu_path_relay_end(&f.partition[0], false);
	assert_int_equal(
	    mu_path_choose(&f.partition[0], now, true), MU_PATH_NONE);
	answer_direct(&f.partition[0], now);
	assert_int_equal(
	    mu_path_choose(&f.partition[0], now, true), MU_PATH_DIRECT);
	/* A suspicion expires unless new failures confirm it. */
	assert_false(
	    mu_path_partition_suspect(&f.partition[1], now + 2 * MU_US_PER_S));
}

/* The store rejects this daemon: operations are relayed at once, and one at a
 * time tries the direct path.  Without a relay, partitions not tried yet have
 * no path either. */
static void
test_store_rejects_this_daemon(void **state)
{
	mu_us now = MU_US_PER_S;
	struct fixture f;
	unsigned i;

	(void)state;
	init_paths(&f);
	for (i = 0; i < 4; i++)
		fail_direct(&f.partition[i], now, 2);
	assert_true(mu_store_paths_direct_unavailable(&f.paths, now));
	assert_int_equal(
	    mu_path_choose(&f.partition[0], now, true), MU_PATH_RELAY);
	now += 400 * MS;
	assert_int_equal(
	    mu_path_choose(&f.partition[0], now, true), MU_PATH_DIRECT);
	mu_path_direct_begin(&f.partition[0], now);
	assert_int_equal(
	    mu_path_choose(&f.partition[0], now, true), MU_PATH_RELAY);
	assert_true(mu_path_timeout_ms(&f.partition[0], now, true) <= 200);
	assert_int_equal(
	    mu_path_choose(&f.partition[5], now, false), MU_PATH_NONE);
}

/* The whole store is unavailable to all daemons. */
static void
test_all_partitions_down(void **state)
{
	mu_us now = MU_US_PER_S;
	struct fixture f;
	unsigned i;

	(void)state;
	init_paths(&f);
	for (i = 0; i < PARTITIONS; i++)
		answer_direct(&f.partition[i], now);
	now += 700 * MS;
	for (i = 0; i < PARTITIONS - 2; i++)
		fail_direct(&f.partition[i], now, 2);
	assert_true(mu_store_paths_direct_unavailable(&f.paths, now));
	for (i = 0; i < PARTITIONS; i++) {
		assert_int_equal(
		    mu_path_choose(&f.partition[i], now, false), MU_PATH_NONE);
		assert_false(mu_path_partition_suspect(&f.partition[i], now));
	}
}

static void
test_slow_answers_raise_the_limit(void **state)
{
	mu_us now = MU_US_PER_S;
	struct fixture f;
	unsigned i;

	(void)state;
	init_paths(&f);
	for (i = 0; i < 100; i++) {
		mu_path_direct_begin(&f.partition[0], now);
		mu_path_direct_answered(&f.partition[0], now, 300 * MS);
	}
	assert_in_range(
	    mu_path_timeout_ms(&f.partition[0], now, false), 1400, 1500);
	mu_path_direct_timed_out(&f.partition[0], now);
	assert_int_equal(mu_path_timeout_ms(&f.partition[0], now, false), 2000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_nothing_known_goes_directly),
	    cmocka_unit_test(test_some_parts_down),
	    cmocka_unit_test(test_store_rejects_this_daemon),
	    cmocka_unit_test(test_all_partitions_down),
	    cmocka_unit_test(test_slow_answers_raise_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
