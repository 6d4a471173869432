/* test_choose.c -- placement, queueing and rejection on the serving path, with
 * a simulated burst of requests. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "choose.h"
#include "shed.h"
#include "view.h"

#define N 9
#define SLOTS 8
#define CALL (150 * MU_US_PER_MS)

static const struct mu_demand default_demand = {
    CALL, 6, 3 * MU_US_PER_S, false};

static void
init_idle(struct mu_candidate *c)
{
	int i;

	memset(c, 0, N * sizeof(*c));
	for (i = 0; i < N; i++) {
		c[i].usable = true;
		c[i].slots = SLOTS;
		c[i].same_domain = i < 3;
		c[i].slowdown = 1;
	}
}

static void
test_near_ones_first_until_they_are_fuller(void **state)
{
	struct mu_candidate c[N];
	struct mu_choice x;
	uint64_t rng = 1;
	int i;

	(void)state;
	init_idle(c);
	for (i = 0; i < 50; i++) {
		x = mu_choose(c, N, &default_demand, &rng);
		assert_int_equal(x.kind, MU_CHOICE_SEND);
		assert_true(x.index < 3);
	}
	for (i = 0; i < 3; i++)
		c[i].sent = SLOTS;
	x = mu_choose(c, N, &default_demand, &rng);
	assert_true(x.index >= 3);
}

/* A program's next turn goes to the endpoint that caches its prompt, unless
 * that one is far fuller than others. */
static void
test_cached_prompt_keeps_a_program_in_place(void **state)
{
	struct mu_candidate c[N];
	uint64_t rng = 1;
	int i;

	(void)state;
	init_idle(c);
	for (i = 0; i < N; i++)
		c[i].prefill_tokens = i == 1 ? 100 : 3000;
	c[1].sent = 3;
	assert_int_equal(mu_choose(c, N, &default_demand, &rng).index, 1);
	c[1].sent = SLOTS + 3;
	assert_int_not_equal(mu_choose(c, N, &default_demand, &rng).index, 1);
}

/* Hundreds of daemons that each send a call now and then would open connections
 * to every endpoint.  Among endpoints of equal cost one with an open connection
 * is chosen, but not one that is fuller or in another failure domain. */
static void
test_kept_connections_first_among_equals(void **state)
{
	struct mu_candidate c[N];
	uint64_t rng = 1;
	int i;

	(void)state;
	init_idle(c);
	c[1].warm = true;
	c[5].warm = true; /* of another failure domain */
	for (i = 0; i < 50; i++)
		assert_int_equal(
		    mu_choose(c, N, &default_demand, &rng).index, 1);
	c[1].sent = 2;
	for (i = 0; i < 50; i++)
		assert_int_not_equal(
		    mu_choose(c, N, &default_demand, &rng).index, 1);
}

static void
test_slow_and_unusable_ones_are_avoided(void **state)
{
	struct mu_candidate c[N];
	struct mu_choice x;
	uint64_t rng = 1;
	int i;

	(void)state;
	init_idle(c);
	c[0].slowdown = 4;
	c[1].usable = false;
	for (i = 0; i < 20; i++)
		assert_int_equal(
		    mu_choose(c, N, &default_demand, &rng).index, 2);
	for (i = 0; i < N; i++)
		c[i].usable = false;
	x = mu_choose(c, N, &default_demand, &rng);
	assert_int_equal(x.kind, MU_CHOICE_REJECT);
	assert_true(x.no_endpoint);
	assert_true(x.retry_after_ms > 0);
}

/* Endpoints that reset every connection appear idle.  Non-idempotent requests
 * avoid them while another one has capacity; idempotent requests probe them. */
static void
test_suspects_get_no_non_idempotent_requests(void **state)
{
	struct mu_candidate c[N];
	struct mu_demand non_idempotent = default_demand;
	uint64_t rng = 1;
	int i;

	(void)state;
	non_idempotent.non_idempotent = true;
	init_idle(c);
	for (i = 0; i < N; i++)
		c[i].sent = 4;
	c[1].sent = 0;
	c[1].suspect = true;
	for (i = 0; i < 20; i++) {
		assert_int_not_equal(
		    mu_choose(c, N, &non_idempotent, &rng).index, 1);
		assert_int_equal(
		    mu_choose(c, N, &default_demand, &rng).index, 1);
	}
	for (i = 0; i < N; i++)
		c[i].sent = i == 1 ? 0 : 2 * SLOTS;
	assert_int_equal(
	    mu_choose(c, N, &non_idempotent, &rng).kind, MU_CHOICE_SEND);
	assert_int_equal(mu_choose(c, N, &non_idempotent, &rng).index, 1);
}

/* Daemons with the same stale view must not all pick the same endpoint. */
static void
test_equals_are_drawn_at_random(void **state)
{
	struct mu_candidate c[N];
	unsigned hits[N] = {0};
	uint64_t rng;
	int i;

	(void)state;
	init_idle(c);
	for (i = 0; i < 300; i++) {
		rng = (uint64_t)i;
		hits[mu_choose(c, N, &default_demand, &rng).index]++;
	}
	for (i = 0; i < 3; i++)
		assert_in_range(hits[i], 60, 140);
}

static void
test_waits_when_all_are_full_and_refuses_the_hopeless(void **state)
{
	struct mu_candidate c[N];
	struct mu_demand d = default_demand;
	uint64_t rng = 1;
	int i;

	(void)state;
	init_idle(c);
	for (i = 0; i < N; i++)
		c[i].sent = 2 * SLOTS;
	assert_int_equal(mu_choose(c, N, &d, &rng).kind, MU_CHOICE_QUEUE);
	assert_int_equal(mu_choose_queue(c, N, &d, 0).kind, MU_CHOICE_QUEUE);
	d.time_left = CALL + 50 * MU_US_PER_MS;
	assert_int_equal(mu_choose_queue(c, N, &d, 0).kind, MU_CHOICE_REJECT);
	assert_in_range(mu_choose_queue(c, N, &d, 0).retry_after_ms, 50, 1000);
	d.time_left = default_demand.time_left;
	assert_int_equal(
	    mu_choose_queue(c, N, &d, 2000).kind, MU_CHOICE_REJECT);
}

/* At twice the normal traffic: started programs are served before new ones. */
static void
test_order_of_those_that_wait(void **state)
{
	struct mu_queue_rank fresh = {0, false, 100, 1};
	struct mu_queue_rank started = {1, true, 900, 2};
	struct mu_queue_rank urgent = {0, true, 900, 3};
	struct mu_queue_rank short_of_time = {1, true, 500, 4};

	(void)state;
	assert_true(mu_queue_rank_before(&started, &fresh));
	assert_true(mu_queue_rank_before(&urgent, &started));
	assert_true(mu_queue_rank_before(&short_of_time, &started));
	assert_false(mu_queue_rank_before(&started, &started));
}

/*
 * Simulates a burst of twice the endpoints' capacity.  A program has four
 * turns, each of which takes a slot for CALL.  If all programs are admitted,
 * none ends in time; with admission by utilization the admitted ones do.
 */
static unsigned
completed_in_time(bool admit_all)
{
	enum {
		SLOTS_TOTAL = N * SLOTS,
		TURNS = 4,
		STEPS = 40,
		PER_STEP = 36
	};
	unsigned running[TURNS + 1] = {0}, completed = 0, busy, t;
	double time_limit = 1.5 * TURNS, step, spent[TURNS + 1] = {0};
	int i;

	for (i = 0; i < STEPS; i++) {
		busy = 0;
		for (t = 1; t <= TURNS; t++)
			busy += running[t];
		if (running[1] < 100000)
			for (t = 0; t < PER_STEP; t++)
				if (admit_all ||
				    mu_shed_admits(MU_SHED_DEFAULT,
					(double)(busy + t) / SLOTS_TOTAL))
					running[0]++;
		step = busy > SLOTS_TOTAL ? (double)busy / SLOTS_TOTAL : 1;
		if (spent[TURNS] + step <= time_limit)
			completed += running[TURNS];
		for (t = TURNS; t > 0; t--) {
			running[t] = running[t - 1];
			spent[t] = spent[t - 1] + step;
		}
		running[0] = 0;
		spent[0] = 0;
	}
	return completed;
}

static void
test_burst_replay(void **state)
{
	unsigned all = completed_in_time(true),
		 limited = completed_in_time(false);

	(void)state;
	assert_true(limited > 2 * all);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_near_ones_first_until_they_are_fuller),
	    cmocka_unit_test(test_cached_prompt_keeps_a_program_in_place),
	    cmocka_unit_test(test_kept_connections_first_among_equals),
	    cmocka_unit_test(test_slow_and_unusable_ones_are_avoided),
	    cmocka_unit_test(test_suspects_get_no_non_idempotent_requests),
	    cmocka_unit_test(test_equals_are_drawn_at_random),
	    cmocka_unit_test(
		test_waits_when_all_are_full_and_refuses_the_hopeless),
	    cmocka_unit_test(test_order_of_those_that_wait),
	    cmocka_unit_test(test_burst_replay),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
