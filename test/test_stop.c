/* test_stop.c -- planned stop: waits for callers to move away, accepts only
 * what can be answered, and exits before the platform kills the process. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "stop.h"

#define TTL_MS 800
#define STOP_MS 8000
#define LIMIT_MS 3000 /* time of a request */
/* From the end of listening to the exit. */
#define CLOSED_MS (MU_STOP_IDLE_US / MU_US_PER_MS)
#define LAST_PART 6 /* requests may be ended in the last sixth of a stop */
#define START (50 * MU_US_PER_S)

/* Milliseconds until the daemon exits if requests are in progress up to
 * busy_ms, and longer if ends is false. */
static mu_us
ends_after(mu_us busy_ms, uint32_t stop_ms, bool ends)
{
	struct mu_stop s;
	mu_us now = START;
	enum mu_stop_step step = MU_STOP_SERVE;
	unsigned requests = 1;

	mu_stop_begin(&s, START, TTL_MS, stop_ms);
	while (step != MU_STOP_EXIT) {
		now = mu_stop_next_poll(&s, now);
		if (now >= START + busy_ms * MU_US_PER_MS ||
		    (step == MU_STOP_END_REQUESTS && ends))
			requests = 0;
		step = mu_stop_poll(&s, now, requests, true);
	}
	return (now - START) / MU_US_PER_MS;
}

static void
test_stays_while_callers_may_come(void **state)
{
	(void)state;
	assert_int_equal(ends_after(0, STOP_MS, true), 3 * TTL_MS + CLOSED_MS);
}

static void
test_waits_for_calls_in_progress(void **state)
{
	(void)state;
	assert_int_equal(ends_after(4000, STOP_MS, true), 4000 + CLOSED_MS);
}

/* With a request that never ends, exits before the platform kills the process,
 * also if the time is short. */
static void
test_ends_before_it_is_killed(void **state)
{
	uint32_t stop_ms;

	(void)state;
	assert_in_range(
	    ends_after(100000, STOP_MS, false), STOP_MS - 1000, STOP_MS - 200);
	for (stop_ms = 100; stop_ms < 10000; stop_ms += 50) {
		assert_true(ends_after(100000, stop_ms, true) < stop_ms);
		assert_true(ends_after(100000, stop_ms, false) < stop_ms);
	}
}

/* Guards against budget that is lost with a home that exits before the turns of
 * other daemons have settled; but it may not be killed for one that never does.
 */
static void
test_waits_for_settlements(void **state)
{
	struct mu_stop s = {0};
	mu_us now = START, end = START + STOP_MS * MU_US_PER_MS;

	(void)state;
	mu_stop_begin(&s, START, TTL_MS, STOP_MS);
	for (; now < START + 4 * TTL_MS * MU_US_PER_MS; now += MU_STOP_IDLE_US)
		assert_int_equal(
		    mu_stop_poll(&s, now, 0, false), MU_STOP_SERVE);
	assert_int_equal(mu_stop_poll(&s, now, 0, true), MU_STOP_CLOSE);
	now += MU_STOP_IDLE_US;
	assert_int_equal(mu_stop_poll(&s, now, 0, true), MU_STOP_EXIT);
	while (mu_stop_poll(&s, now, 0, false) != MU_STOP_EXIT)
		now = mu_stop_next_poll(&s, now);
	assert_true(now < end);
}

/* Guards against requests that are cut without an answer: those left are ended
 * before the exit, also if the time is short or a poll is late. */
static void
test_ends_requests_before_the_exit(void **state)
{
	enum mu_stop_step step;
	struct mu_stop s;
	uint32_t stop_ms;
	bool ended, late;
	mu_us now;

	(void)state;
	for (stop_ms = 100; stop_ms < 10000; stop_ms += 50)
		for (late = false;; late = true) {
			ended = false;
			mu_stop_begin(&s, START, TTL_MS, stop_ms);
			now = late ? s.exit_by : START;
			while ((step = mu_stop_poll(&s, now, 1, true)) !=
			       MU_STOP_EXIT) {
				ended |= step == MU_STOP_END_REQUESTS;
				now = mu_stop_next_poll(&s, now);
			}
			if (!ended)
				print_message(
				    "%u ms, late: %d\n", stop_ms, (int)late);
			assert_true(ended);
			if (late)
				break;
		}
}

/* What endpoints answer before the last part of the time still arrives, also if
 * the time is short. */
static void
test_ends_no_request_early(void **state)
{
	struct mu_stop s;
	uint32_t stop_ms;
	mu_us last_part;

	(void)state;
	for (stop_ms = 100; stop_ms < 10000; stop_ms += 50) {
		mu_stop_begin(&s, START, TTL_MS, stop_ms);
		last_part = START + stop_ms * MU_US_PER_MS * (LAST_PART - 1) /
					LAST_PART;
		assert_int_equal(
		    mu_stop_poll(
			&s, last_part + stop_ms * MU_US_PER_MS / 100, 1, true),
		    MU_STOP_SERVE);
	}
}

/* Guards against requests that are cut when the process exits. */
static void
test_accepts_only_what_ends_before_the_exit(void **state)
{
	struct mu_stop s = {0};
	mu_us last, limit = LIMIT_MS * MU_US_PER_MS;

	(void)state;
	assert_true(mu_stop_accepts(&s, MU_US_NEVER));
	mu_stop_begin(&s, START, TTL_MS, STOP_MS);
	/* Callers that have not heard of the stop are served. */
	assert_true(
	    mu_stop_accepts(&s, START + 3 * TTL_MS * MU_US_PER_MS + limit));
	last = START + (STOP_MS - 1000) * MU_US_PER_MS;
	assert_true(mu_stop_accepts(&s, last));
	assert_false(mu_stop_accepts(&s, START + STOP_MS * MU_US_PER_MS));
	assert_false(mu_stop_accepts(&s, MU_US_NEVER));
	/* One that is accepted is over when the others are ended. */
	assert_int_equal(mu_stop_poll(&s, last, 1, true), MU_STOP_SERVE);
	while (mu_stop_poll(&s, last, 1, true) == MU_STOP_SERVE)
		last += MU_US_PER_MS;
	assert_int_equal(mu_stop_poll(&s, last, 1, true), MU_STOP_END_REQUESTS);
	assert_false(mu_stop_accepts(&s, last + 1));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_stays_while_callers_may_come),
	    cmocka_unit_test(test_waits_for_calls_in_progress),
	    cmocka_unit_test(test_ends_before_it_is_killed),
	    cmocka_unit_test(test_waits_for_settlements),
	    cmocka_unit_test(test_ends_requests_before_the_exit),
	    cmocka_unit_test(test_ends_no_request_early),
	    cmocka_unit_test(test_accepts_only_what_ends_before_the_exit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
