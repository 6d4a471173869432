/* test_admit.c -- queues, deadlines, fair shares and concurrency limits. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "admit.h"

static struct mu_admit_view view;
static struct mu_call_info req;

static int
setup(void **state)
{
	(void)state;
	view = (struct mu_admit_view){.running = 10,
	    .limit = 10,
	    .queue_max = 100,
	    .callers = 4,
	    .call_us = MU_US_PER_S,
	    .ndaemons = 7};
	req = (struct mu_call_info){.deadline = 60 * MU_US_PER_S,
	    .urgency = MU_NORMAL,
	    .attained = 100,
	    .calls = 1};
	return 0;
}

static void
expect_refusal(enum mu_admit_reason reason, enum mu_errtype type)
{
	struct mu_admission a = mu_admit(&view, &req, 0);

	assert_int_equal(a.kind, MU_ADMIT_REFUSE);
	assert_int_equal(a.reason, reason);
	assert_int_equal(a.u.refuse.type, type);
	assert_true(a.u.refuse.retry_after_ms > 0);
}

static void
runs_below_the_limit(void **state)
{
	(void)state;
	view.running = 9;
	assert_int_equal(mu_admit(&view, &req, 0).kind, MU_ADMIT_RUN);
	view.running = 10;
	assert_int_equal(mu_admit(&view, &req, 0).kind, MU_ADMIT_QUEUE);
}

static void
queue_is_bounded(void **state)
{
	(void)state;
	view.callers = 1;
	view.queued = 100;
	expect_refusal(MU_ADMIT_QUEUE_FULL, MU_E_OVERLOADED);
	req.waited = 10; /* has just arrived, not queued yet */
	expect_refusal(MU_ADMIT_QUEUE_FULL, MU_E_OVERLOADED);
	req.waited = MU_US_PER_S; /* is in the queue already */
	assert_int_equal(mu_admit(&view, &req, 0).kind, MU_ADMIT_QUEUE);
}

static void
queue_reserves_room_for_urgent_calls(void **state)
{
	(void)state;
	view.callers = 1;
	view.queued = 80;
	expect_refusal(MU_ADMIT_QUEUE_FULL, MU_E_OVERLOADED);
	req.urgency = MU_URGENT;
	assert_int_equal(mu_admit(&view, &req, 0).kind, MU_ADMIT_QUEUE);
}

static void
a_flooding_caller_is_held_to_its_share(void **state)
{
	(void)state;
	view.queued = 60;
	view.caller_queued = 30;
	expect_refusal(MU_ADMIT_CALLER_SHARE, MU_E_RATE_LIMITED);
	view.caller_queued = 3;
	assert_int_equal(mu_admit(&view, &req, 0).kind, MU_ADMIT_QUEUE);
}

static void
refuses_calls_that_would_miss_their_deadline(void **state)
{
	(void)state;
	view.queued = 40;
	req.deadline = MU_US_PER_S;
	expect_refusal(MU_ADMIT_DEADLINE_NEAR, MU_E_OVERLOADED);
	req.deadline = 0;
	expect_refusal(MU_ADMIT_DEADLINE_PAST, MU_E_DEADLINE);
}

static void
no_deadline_is_never_near(void **state)
{
	(void)state;
	view.queued = 40;
	req.deadline = MU_US_NEVER;
	assert_int_equal(mu_admit(&view, &req, 0).kind, MU_ADMIT_QUEUE);
}

static void
full_caches_defer_new_programs(void **state)
{
	(void)state;
	view.running = 0;
	view.nendpoints = 10;
	view.cache_max = 3000000;
	view.own_tokens = 1000000;
	view.own_tokens_squared = 1e6 * 1e5;
	assert_int_equal(mu_admit(&view, &req, 0).kind, MU_ADMIT_RUN);
	req.attained = 0;
	assert_int_equal(mu_admit(&view, &req, 0).reason, MU_ADMIT_CACHES_FULL);
	view.program_start_interval_us = 100 * MU_US_PER_S;
	expect_refusal(MU_ADMIT_CACHES_FULL, MU_E_OVERLOADED);
	req.urgency = MU_URGENT;
	assert_int_equal(mu_admit(&view, &req, 0).kind, MU_ADMIT_RUN);
}

/* Short prefixes need less free cache above the mean than long ones. */
static void
short_prefixes_leave_room(void **state)
{
	(void)state;
	view.nendpoints = 10;
	view.cache_max = 3000000;
	view.own_tokens = 500000;
	req.attained = 0;
	view.own_tokens_squared = 5e5 * 1e5;
	assert_true(mu_admit_must_defer(&view, &req));
	view.own_tokens_squared = 5e5 * 1e3;
	assert_false(mu_admit_must_defer(&view, &req));
}

static void
next_is_fair_then_by_priority(void **state)
{
	struct mu_queued_call w[] = {
	    {.caller_running = 100, .priority = 1000, .since = 1},
	    {.caller_running = 0, .priority = 3000, .since = 2},
	    {.caller_running = 0, .priority = 3000, .since = 1},
	    {.caller_running = 0, .priority = 0, .deferred = true},
	};

	(void)state;
	assert_int_equal(mu_admit_next(w, 4), 2);
	assert_int_equal(mu_admit_next(w + 3, 1), -1);
	assert_int_equal(mu_admit_next(w, 0), -1);
}

static void
limit_follows_latency(void **state)
{
	struct mu_limit l;
	uint32_t high;

	(void)state;
	mu_limit_init(&l, 20, 200);
	for (int i = 0; i < 500; i++)
		mu_limit_sample(&l, 1000, mu_limit_now(&l));
	high = mu_limit_now(&l);
	assert_true(high > 20);
	for (int i = 0; i < 100; i++)
		mu_limit_sample(&l, 20000, mu_limit_now(&l));
	assert_true(mu_limit_now(&l) < high / 2);
	for (int i = 0; i < 1000; i++)
		mu_limit_backoff(&l);
	assert_int_equal(mu_limit_now(&l), 4);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup(runs_below_the_limit, setup),
	    cmocka_unit_test_setup(queue_is_bounded, setup),
	    cmocka_unit_test_setup(queue_reserves_room_for_urgent_calls, setup),
	    cmocka_unit_test_setup(
		a_flooding_caller_is_held_to_its_share, setup),
	    cmocka_unit_test_setup(
		refuses_calls_that_would_miss_their_deadline, setup),
	    cmocka_unit_test_setup(no_deadline_is_never_near, setup),
	    cmocka_unit_test_setup(full_caches_defer_new_programs, setup),
	    cmocka_unit_test_setup(short_prefixes_leave_room, setup),
	    cmocka_unit_test_setup(next_is_fair_then_by_priority, setup),
	    cmocka_unit_test_setup(limit_follows_latency, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
