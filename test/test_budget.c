/* test_budget.c -- reservations, settlement, child budgets, limits. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "budget.h"

static const struct mu_amount one_call = {100, 1, 1000};

static void
test_reserve_and_settle(void **state)
{
	const struct mu_amount need = {10, 1, 1}, used = {25, 1, 40};
	struct mu_budget_result r;
	struct mu_budget b;

	(void)state;
	mu_budget_init(&b, 120, 5, 2);
	r = mu_budget_reserve(&b, &need, &one_call);
	assert_int_equal(r.kind, MU_BUDGET_GRANTED);
	assert_int_equal(mu_budget_left(&b).tokens, 20);
	mu_budget_settle(&b, &r.u.granted, &used);
	assert_int_equal(mu_budget_left(&b).tokens, 95);
	assert_int_equal(mu_budget_left(&b).ms, 1960);
	/* Less than wanted may be granted, but not less than needed. */
	r = mu_budget_reserve(&b, &need, &one_call);
	assert_int_equal(r.u.granted.tokens, 95);
	r = mu_budget_reserve(&b, &need, &one_call);
	assert_int_equal(r.kind, MU_BUDGET_REFUSED);
	assert_int_equal(r.u.refused.error, MU_E_BUDGET);
	assert_int_equal(r.u.refused.unit, MU_BUDGET_TOKENS);
}

static void
test_loop_of_calls_ends(void **state)
{
	struct mu_budget_result r;
	struct mu_budget b;
	int calls = 0;

	(void)state;
	mu_budget_init(&b, UINT64_MAX, 7, UINT64_MAX);
	for (;;) {
		r = mu_budget_reserve(&b, &one_call, &one_call);
		if (r.kind == MU_BUDGET_REFUSED)
			break;
		mu_budget_settle(&b, &r.u.granted, &one_call);
		calls++;
	}
	assert_int_equal(calls, 7);
	assert_int_equal(r.u.refused.unit, MU_BUDGET_CALLS);
}

/* Attempts whose usage is unknown are charged their whole reservation. */
static void
test_lost_attempts_and_takeover_are_charged(void **state)
{
	struct mu_budget_result r;
	struct mu_budget b;

	(void)state;
	mu_budget_init(&b, 300, 9, 9);
	r = mu_budget_reserve(&b, &one_call, &one_call);
	mu_budget_settle_in_full(&b, &r.u.granted);
	(void)mu_budget_reserve(&b, &one_call, &one_call);
	mu_budget_recover(&b);
	assert_int_equal(b.reserved.tokens, 0);
	assert_int_equal(b.spent.tokens, 200);
	assert_int_equal(mu_budget_left(&b).calls, 7);
}

static void
test_child_takes_from_its_parent(void **state)
{
	const struct mu_amount limit = {200, 2, 2000}, used = {150, 1, 10};
	struct mu_budget parent, child, other;
	struct mu_budget_result r;

	(void)state;
	mu_budget_init(&parent, 300, 9, 9);
	r = mu_budget_grant_child(&parent, &limit, &child);
	assert_int_equal(r.kind, MU_BUDGET_GRANTED);
	assert_int_equal(mu_budget_grant_child(&parent, &limit, &other).kind,
	    MU_BUDGET_REFUSED);
	r = mu_budget_reserve(&child, &one_call, &limit);
	mu_budget_settle(&child, &r.u.granted, &used);
	mu_budget_end_child(&parent, &child);
	assert_int_equal(mu_budget_left(&parent).tokens, 150);
	assert_int_equal(mu_budget_left(&parent).calls, 8);
	assert_int_equal(parent.child_grants.tokens, 0);
}

/* Reservations and settlements in random order never exceed a limit. */
static void
test_limit_holds_in_any_order(void **state)
{
	struct mu_amount outstanding[8], used;
	struct mu_budget_result r;
	struct mu_budget b;
	size_t n = 0, i;
	int step;

	(void)state;
	srandom(1);
	mu_budget_init(&b, 100000, 1000, 1000);
	for (step = 0; step < 20000; step++) {
		if (n < 8 && random() % 2 == 0) {
			r = mu_budget_reserve(&b, &one_call, &one_call);
			if (r.kind == MU_BUDGET_GRANTED)
				outstanding[n++] = r.u.granted;
		} else if (n > 0) {
			i = (size_t)random() % n;
			used = outstanding[i];
			used.tokens = (uint64_t)random() % (used.tokens + 1);
			mu_budget_settle(&b, &outstanding[i], &used);
			outstanding[i] = outstanding[--n];
		}
		assert_true(b.spent.tokens + b.reserved.tokens <= 100000);
		assert_true(b.spent.calls + b.reserved.calls <= 1000);
		assert_int_equal(b.reserved.calls, n);
	}
	assert_true(
	    mu_budget_left(&b).calls == 0 || mu_budget_left(&b).tokens < 100);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_reserve_and_settle),
	    cmocka_unit_test(test_loop_of_calls_ends),
	    cmocka_unit_test(test_lost_attempts_and_takeover_are_charged),
	    cmocka_unit_test(test_child_takes_from_its_parent),
	    cmocka_unit_test(test_limit_holds_in_any_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
