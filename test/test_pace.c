/* test_pace.c -- detection of slow endpoints, and a simulated burst on
 * endpoints of which a quarter are slow by SLOW_FACTOR. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "choose.h"
#include "pace.h"

#define MS MU_US_PER_MS
#define ENDPOINTS 12
#define SLOW_ENDPOINTS 3 /* the first ones */
#define CHUNK_US (20 * MS)
#define SLOW_FACTOR 6

static void
test_unknown_is_not_slow(void **state)
{
	struct mu_pace e = {0}, s = {0};
	int i;

	(void)state;
	assert_true(mu_pace_slowdown(&e, &s, MU_US_PER_S) == 1);
	for (i = 0; i < 100; i++)
		mu_pace_sample(&(struct mu_pace){0}, &s, CHUNK_US, MU_US_PER_S);
	mu_pace_sample(&e, &s, 10 * CHUNK_US, MU_US_PER_S);
	assert_true(mu_pace_slowdown(&e, &s, MU_US_PER_S) == 1);
}

static void
test_differences_of_load_are_not_slow(void **state)
{
	struct mu_pace e = {0}, other = {0}, s = {0};
	int i;

	(void)state;
	for (i = 0; i < 100; i++) {
		mu_pace_sample(&other, &s, CHUNK_US, MU_US_PER_S);
		mu_pace_sample(&e, &s, CHUNK_US + CHUNK_US / 2, MU_US_PER_S);
	}
	assert_true(mu_pace_slowdown(&e, &s, MU_US_PER_S) == 1);
}

/* One answer is enough to detect a slow endpoint.  Without samples its slowdown
 * decays, so that it is tried again. */
static void
test_slow_is_seen_and_fades(void **state)
{
	struct mu_pace e = {0}, other = {0}, s = {0};
	double now, later;
	int i;

	(void)state;
	for (i = 0; i < 500; i++)
		mu_pace_sample(&other, &s, CHUNK_US, MU_US_PER_S);
	for (i = 0; i < 16; i++)
		mu_pace_sample(&e, &s, SLOW_FACTOR * CHUNK_US, MU_US_PER_S);
	now = mu_pace_slowdown(&e, &s, MU_US_PER_S);
	later = mu_pace_slowdown(&e, &s, 7 * MU_US_PER_S);
	assert_true(now > 4 && now <= 8);
	assert_true(later > 1 && later < 1.5);
	for (i = 0; i < 64; i++)
		mu_pace_sample(&e, &s, CHUNK_US, 8 * MU_US_PER_S);
	assert_true(mu_pace_slowdown(&e, &s, 8 * MU_US_PER_S) < 1.8);
}

/* Simulates a burst; returns the average chunk time of its requests in
 * CHUNK_US. */
static double
replay(bool use_pace)
{
	struct mu_candidate c[ENDPOINTS];
	struct mu_demand d = {16 * CHUNK_US, 6, 4 * MU_US_PER_S, false};
	struct mu_pace e[ENDPOINTS], s = {0};
	uint64_t rng = 1;
	double total = 0;
	mu_us chunk;
	int i, k, n;

	memset(e, 0, sizeof(e));
	memset(c, 0, sizeof(c));
	for (n = 0; n < 600; n++) {
		for (k = 0; k < ENDPOINTS; k++) {
			c[k].usable = c[k].same_domain = true;
			c[k].slots = 48;
			c[k].slowdown =
			    use_pace ? mu_pace_slowdown(&e[k], &s, n * 5 * MS)
				     : 1;
		}
		i = (int)mu_choose(c, ENDPOINTS, &d, &rng).index;
		chunk = (i < SLOW_ENDPOINTS ? SLOW_FACTOR : 1) * CHUNK_US;
		for (k = 0; k < 16; k++)
			mu_pace_sample(&e[i], &s, chunk, n * 5 * MS);
		total += (double)chunk / CHUNK_US;
		c[i].sent++;
		if (n >= 200) /* requests sent a second ago have ended */
			for (k = 0; k < ENDPOINTS; k++)
				c[k].sent -= c[k].sent > 16;
	}
	return total / 600;
}

static void
test_burst_on_endpoints_of_which_some_are_slow(void **state)
{
	double with = replay(true), without = replay(false);

	(void)state;
	assert_true(without > 2);
	assert_true(with < 1.5);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_unknown_is_not_slow),
	    cmocka_unit_test(test_differences_of_load_are_not_slow),
	    cmocka_unit_test(test_slow_is_seen_and_fades),
	    cmocka_unit_test(test_burst_on_endpoints_of_which_some_are_slow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
