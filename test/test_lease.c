/* test_lease.c -- no watcher sees a lease end before its holder does. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "lease.h"

#define S MU_US_PER_S
#define LEASE (10 * S)
#define MARGIN (2 * S)

static void
test_holder_counts_from_the_sending(void **state)
{
	struct mu_lease l;

	(void)state;
	mu_lease_init(&l, LEASE, MARGIN);
	assert_false(mu_lease_may_start(&l, 0));
	assert_int_equal(mu_lease_confirm(&l, S, 3 * S), MU_LEASE_GAINED);
	assert_int_equal(mu_lease_time_left(&l, 3 * S), 6 * S);
	assert_true(mu_lease_may_start(&l, 9 * S - 1));
	assert_false(mu_lease_may_start(&l, 9 * S));
	assert_false(mu_lease_ended(&l, 11 * S - 1));
	assert_true(mu_lease_ended(&l, 11 * S));
}

static void
test_answers_may_cross(void **state)
{
	struct mu_lease l;

	(void)state;
	mu_lease_init(&l, LEASE, MARGIN);
	(void)mu_lease_confirm(&l, S, S);
	assert_int_equal(mu_lease_confirm(&l, 4 * S, 5 * S), MU_LEASE_EXTENDED);
	assert_int_equal(mu_lease_confirm(&l, 2 * S, 6 * S), MU_LEASE_EXTENDED);
	assert_int_equal(l.renewal_sent_at, 4 * S);
}

/* After a pause past its end, a renewal in flight must not revive a lease. */
static void
test_late_answer_does_not_revive(void **state)
{
	struct mu_lease l;

	(void)state;
	mu_lease_init(&l, LEASE, MARGIN);
	(void)mu_lease_confirm(&l, 0, 0);
	assert_int_equal(mu_lease_confirm(&l, 9 * S, 11 * S), MU_LEASE_LATE);
	assert_false(mu_lease_may_start(&l, 11 * S));
	mu_lease_init(&l, LEASE, MARGIN);
	assert_int_equal(mu_lease_confirm(&l, 0, 12 * S), MU_LEASE_LATE);
}

static void
test_watcher_needs_reads(void **state)
{
	struct mu_lease_watch w;

	(void)state;
	mu_lease_watch_init(&w);
	assert_false(mu_lease_watch_lapsed(&w, LEASE));
	mu_lease_watch_update(&w, 1, 1, 1, 0, S);
	/* a read after a long gap counts from when it was sent */
	mu_lease_watch_update(&w, 1, 1, 1, 10 * S, 99 * S);
	assert_false(mu_lease_watch_lapsed(&w, LEASE));
	mu_lease_watch_update(&w, 1, 1, 1, 11 * S, 12 * S);
	assert_true(mu_lease_watch_lapsed(&w, LEASE));
	mu_lease_watch_update(&w, 1, 2, 2, 13 * S, 14 * S);
	assert_false(mu_lease_watch_lapsed(&w, LEASE));
	/* an answer that arrives after a newer one */
	mu_lease_watch_update(&w, 1, 1, 1, 90 * S, 91 * S);
	assert_false(mu_lease_watch_lapsed(&w, LEASE));
	/* a restart of the host counts as a renewal */
	mu_lease_watch_update(&w, 7, 2, 3, 30 * S, 31 * S);
	assert_false(mu_lease_watch_lapsed(&w, LEASE));
}

/*
 * Holder and watcher with random delays: whenever the watcher finds the lease
 * lapsed and no newer renewal has been written, the holder's lease has ended.
 */
static void
test_never_both(void **state)
{
	struct mu_lease_watch w;
	struct mu_lease l;
	mu_us now = 0, sent;
	uint64_t counter = 0;
	int i;

	(void)state;
	srandom(1);
	mu_lease_init(&l, LEASE, MARGIN);
	mu_lease_watch_init(&w);
	for (i = 0; i < 20000; i++) {
		sent = now;
		now += random() % (3 * S);
		if (random() % 4 == 0) {
			counter++;
			now += random() % (4 * S);
			if (mu_lease_confirm(&l, sent, now) == MU_LEASE_LATE)
				mu_lease_init(&l, LEASE, MARGIN);
		}
		sent = now;
		now += random() % S;
		mu_lease_watch_update(&w, 1, counter, counter, sent, now);
		if (mu_lease_watch_lapsed(&w, LEASE))
			assert_true(mu_lease_ended(&l, now));
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_holder_counts_from_the_sending),
	    cmocka_unit_test(test_answers_may_cross),
	    cmocka_unit_test(test_late_answer_does_not_revive),
	    cmocka_unit_test(test_watcher_needs_reads),
	    cmocka_unit_test(test_never_both),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
