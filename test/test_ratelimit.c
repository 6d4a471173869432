/* test_ratelimit.c -- a customer's rate limit on a paused clock: what runs in
 * any window, also when the daemon that counts is replaced, and what a hot
 * customer's programs get. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "ratelimit.h"
#include "view.h"

#define MS MU_US_PER_MS
#define S MU_US_PER_S
#define STEPS 40000 /* of 1 ms */
#define WINDOW_STEPS 5000
#define PROGRAM_LEN 12
#define PROGRAMS_MAX 4096

static const struct mu_rate_limit limit = {
    .rate = 40, .burst = 40, .window_s = 5, .initial = 10};

static unsigned
most_in_window(const unsigned *ran, unsigned steps)
{
	unsigned i, sum = 0, most = 0;

	for (i = 0; i < steps; i++) {
		sum += ran[i];
		if (i >= WINDOW_STEPS)
			sum -= ran[i - WINDOW_STEPS];
		if (sum > most)
			most = sum;
	}
	return most;
}

static void
test_any_window_is_within_the_limit(void **state)
{
	static unsigned ran[STEPS];
	struct mu_rate_state s;
	mu_us now = 7 * S + 13;
	unsigned i, k;
	uint64_t rng = 5;

	(void)state;
	mu_rate_init(&s, &limit, 0, now);
	for (i = 0; i < STEPS; i++, now += MS) {
		ran[i] = 0;
		/* Bursts of very different size. */
		for (k = mu_rand(&rng) % 100 == 0 ? mu_rand(&rng) % 300 : 0;
		     k > 0; k--)
			ran[i] +=
			    mu_rate_take(&s, &limit, MU_RATE_IN_PROGRAM, now)
				.verdict == MU_RATE_ADMIT;
	}
	assert_in_range(most_in_window(ran, STEPS), 200, 240);
}

/* The daemon that counts is replaced at random by one that knows nothing. */
static void
test_window_holds_when_the_count_is_lost(void **state)
{
	static unsigned ran[STEPS];
	struct mu_rate_state s;
	mu_us now;
	unsigned i, k, seed, most = 0, n;
	uint64_t rng;

	(void)state;
	for (seed = 1; seed <= 30; seed++) {
		rng = seed;
		now = 9 * S;
		mu_rate_init(&s, &limit, 0, now);
		for (i = 0; i < STEPS; i++, now += MS) {
			ran[i] = 0;
			/* Once in a window at the most. */
			if (i % 6000 == 3000 + seed * 70)
				mu_rate_init(&s, &limit, now, now);
			for (k = mu_rand(&rng) % 2; k > 0; k--)
				ran[i] += mu_rate_take(&s, &limit,
					      MU_RATE_IN_PROGRAM, now)
					      .verdict == MU_RATE_ADMIT;
		}
		n = most_in_window(ran, STEPS);
		most = n > most ? n : most;
	}
	/* The limit of 240, and the 10 of a new count. */
	assert_in_range(most, 200, 250);
}

static void
test_lower_limit_holds_at_once(void **state)
{
	struct mu_rate_limit low = limit;
	struct mu_rate_state s;
	mu_us now = 9 * S;
	int i;

	(void)state;
	low.rate = 2;
	low.burst = 2;
	mu_rate_init(&s, &limit, 0, now);
	for (i = 0; i < 100; i++)
		(void)mu_rate_take(&s, &limit, MU_RATE_SINGLE, now);
	assert_int_equal(mu_rate_take(&s, &low, MU_RATE_SINGLE, now).verdict,
	    MU_RATE_REFUSE);
	now += 5200 * MS;
	assert_int_equal(
	    mu_rate_take(&s, &low, MU_RATE_SINGLE, now).verdict, MU_RATE_ADMIT);
}

static void
test_refund(void **state)
{
	struct mu_rate_state s;
	double before;

	(void)state;
	mu_rate_init(&s, &limit, 0, 9 * S);
	before = mu_rate_available(&s, &limit, 9 * S);
	(void)mu_rate_take(&s, &limit, MU_RATE_SINGLE, 9 * S);
	assert_true(mu_rate_available(&s, &limit, 9 * S) < before);
	mu_rate_refund(&s, &limit, 9 * S);
	assert_true(mu_rate_available(&s, &limit, 9 * S) == before);
}

/* Callers refused one after the other are told different times, none before a
 * request may run again. */
static void
test_retry_times_are_spread(void **state)
{
	struct mu_rate_state s;
	struct mu_rate_decision d;
	uint32_t last = 0;
	mu_us now = 9 * S;
	int i;

	(void)state;
	mu_rate_init(&s, &limit, 0, now);
	while (mu_rate_take(&s, &limit, MU_RATE_SINGLE, now).verdict ==
	       MU_RATE_ADMIT)
		;
	for (i = 0; i < 20; i++) {
		d = mu_rate_take(&s, &limit, MU_RATE_SINGLE, now);
		assert_int_equal(d.verdict, MU_RATE_REFUSE);
		assert_true(d.retry_after_ms > last);
		last = d.retry_after_ms;
	}
	now += last * MS;
	assert_int_equal(mu_rate_take(&s, &limit, MU_RATE_SINGLE, now).verdict,
	    MU_RATE_ADMIT);
}

/* After a start the count allows the initial requests and nine tenths of the
 * rate; several starts in a window share this allowance. */
static void
test_restarts_share_an_allowance(void **state)
{
	struct mu_rate_state s;
	mu_us now = 9 * S;
	unsigned i, n = 0;

	(void)state;
	mu_rate_init(&s, &limit, 0, now);
	for (i = 0; i < 1000; i++, now += MS) {
		if (i % 100 == 0)
			mu_rate_restart(&s, &limit, now);
		n +=
		    mu_rate_take(&s, &limit, MU_RATE_IN_PROGRAM, now).verdict ==
		    MU_RATE_ADMIT;
	}
	assert_in_range(n, 10, 10 + 36);
	now += 5 * S;
	mu_rate_restart(&s, &limit, now);
	assert_true(mu_rate_available(&s, &limit, now) == 10);
}

/* Programs of one customer at `load` times its limit. */
struct program {
	unsigned done; /* requests */
	unsigned failures; /* of the current request */
	bool started, over;
};

/* Returns the number of complete programs. */
static unsigned
play(double load, bool pledge)
{
	static struct program p[PROGRAMS_MAX];
	struct mu_rate_state s;
	struct mu_rate_decision d;
	enum mu_rate_kind kind;
	unsigned i, k, n = 0, complete = 0;
	double due = 0;
	mu_us now = 9 * S;

	mu_rate_init(&s, &limit, 0, now);
	for (i = 0; i < STEPS; i += 100, now += 100 * MS) {
		due += load * limit.rate / PROGRAM_LEN / 10;
		for (; due >= 1 && n < PROGRAMS_MAX; due -= 1)
			p[n++] = (struct program){0};
		for (k = 0; k < n; k++) {
			/* A request each 200 ms. */
			if (p[k].over || (k + i / 100) % 2 != 0)
				continue;
			kind = p[k].started || !pledge ? MU_RATE_IN_PROGRAM
						       : MU_RATE_MAY_START;
			d = mu_rate_take(&s, &limit, kind, now);
			if (d.verdict == MU_RATE_ADMIT_STARTED)
				mu_rate_refund(&s, &limit, now);
			if (d.verdict != MU_RATE_ADMIT) {
				p[k].over = ++p[k].failures == 3;
				continue;
			}
			if (!p[k].started)
				mu_rate_program_started(&s, &limit, now);
			p[k].started = true;
			p[k].failures = 0;
			p[k].over = ++p[k].done == PROGRAM_LEN;
			complete += p[k].over;
		}
	}
	return complete;
}

/* Below the limit no program is lost.  A customer at four times its limit gets
 * most of the programs that the limit has room for; in order of arrival, many
 * are stopped midway. */
static void
test_hot_customer_completes_programs(void **state)
{
	unsigned most = (unsigned)(limit.rate * STEPS / 1000 / PROGRAM_LEN);
	unsigned usual = play(0.62, true), hot = play(4, true);
	unsigned by_arrival = play(4, false);

	(void)state;
	print_message("programs: %u below the limit, %u of %u when hot, %u in "
		      "order of arrival\n",
	    usual, hot, most, by_arrival);
	assert_true(usual >= (unsigned)(most * 0.62) - 10);
	assert_true(hot >= most * 8 / 10);
	assert_true(by_arrival < hot);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_any_window_is_within_the_limit),
	    cmocka_unit_test(test_window_holds_when_the_count_is_lost),
	    cmocka_unit_test(test_lower_limit_holds_at_once),
	    cmocka_unit_test(test_refund),
	    cmocka_unit_test(test_retry_times_are_spread),
	    cmocka_unit_test(test_restarts_share_an_allowance),
	    cmocka_unit_test(test_hot_customer_completes_programs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
