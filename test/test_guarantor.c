/* test_guarantor.c -- loans from budgets while the store is unavailable: when
 * a guarantor may lend, and that no program exceeds its budget by more than
 * one turn. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "guarantor.h"
#include "ledger.h"
#include "view.h"

#define BUDGET 3500
#define GUARANTOR_SHARE mu_ledger_guarantor_share(BUDGET)
#define MAX_TOKENS 289
#define HOMES 3
#define ROUNDS 400
#define STEPS 120
#define AFTER_GRACE_US (200 * MU_US_PER_S) /* longer than the grace period */

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct mu_guarantor *g;
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	mu_clock_manual(&f->clock, MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	f->g = mu_guarantor_new(f->loop);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	mu_guarantor_free(f->g);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static struct mu_loan
lend(struct fixture *f, const char *program, uint64_t budget, uint64_t amount)
{
	struct mu_loan_request q = {
	    program, budget, MAX_TOKENS, amount, MU_US_NEVER};

	return mu_guarantor_lend(f->g, &q);
}

static void
test_lends_no_more_than_its_part(void **state)
{
	struct fixture *f = *state;
	struct mu_loan loan;
	uint64_t lent = 0;

	mu_guarantor_skip_grace(f->g);
	do {
		loan = lend(f, "p", BUDGET, MAX_TOKENS);
		lent += loan.given ? MAX_TOKENS : 0;
		assert_int_equal(loan.lent, lent);
	} while (loan.given);
	assert_true(lent <= GUARANTOR_SHARE);
	assert_true(lent > GUARANTOR_SHARE - MAX_TOKENS);
	assert_true(lend(f, "q", BUDGET, MAX_TOKENS).given);
	assert_false(lend(f, "r", BUDGET, GUARANTOR_SHARE + 1).given);
}

static void
test_lends_nothing_after_the_release(void **state)
{
	struct fixture *f = *state;
	struct mu_loan loan;

	mu_guarantor_skip_grace(f->g);
	(void)lend(f, "p", BUDGET, MAX_TOKENS);
	loan = mu_guarantor_release(f->g, "p");
	assert_true(loan.given);
	assert_int_equal(loan.lent, MAX_TOKENS);
	assert_false(lend(f, "p", BUDGET, 1).given);
	/* Requested again, as after a lost reply. */
	assert_int_equal(mu_guarantor_release(f->g, "p").lent, MAX_TOKENS);
}

/* The predecessor of the guarantor may have lent. */
static void
test_gives_nothing_until_programs_of_before_have_ended(void **state)
{
	struct fixture *f = *state;

	assert_false(lend(f, "p", BUDGET, MAX_TOKENS).given);
	assert_false(mu_guarantor_release(f->g, "p").given);
	mu_clock_advance(&f->clock, 60 * MU_US_PER_S);
	mu_loop_once(f->loop, 0);
	assert_false(lend(f, "p", BUDGET, MAX_TOKENS).given);
	mu_clock_advance(&f->clock, AFTER_GRACE_US);
	mu_loop_once(f->loop, 0);
	assert_true(lend(f, "p", BUDGET, MAX_TOKENS).given);
	assert_true(mu_guarantor_release(f->g, "p").given);
}

/* The row of a program in the store, shared by all homes. */
struct row {
	uint64_t granted;
	bool released;
	uint64_t lent;
};

static struct mu_loan
lend_turn(struct fixture *f, const struct mu_ledger *l, uint64_t tokens,
    uint64_t amount)
{
	struct mu_loan_request q = {
	    "p", l->budget, tokens, amount, MU_US_NEVER};

	return mu_guarantor_lend(f->g, &q);
}

/* Runs one turn at one home; returns the tokens used. */
static uint64_t
turn(struct fixture *f, struct mu_ledger *l, struct row *row, bool outage,
    uint64_t tokens, uint64_t *rng)
{
	struct mu_ledger_decision a;
	struct mu_loan loan;
	uint64_t used;
	int tries;

	for (tries = 0; tries < 4; tries++) {
		if (!outage) {
			l->granted = row->granted;
			if (row->released)
				mu_ledger_released(l, row->lent);
		}
		a = mu_ledger_reserve(l, tokens);
		if (a.action == MU_LEDGER_RESERVED) {
			used = mu_rand(rng) % (tokens + 1);
			mu_ledger_settle(l, tokens, used);
			return used;
		}
		if (a.action == MU_LEDGER_EXHAUSTED)
			return 0;
		if (outage) {
			loan = lend_turn(f, l, tokens, a.shortfall);
			if (loan.given)
				mu_ledger_borrowed(l, a.shortfall);
		} else if (a.action == MU_LEDGER_RELEASE) {
			loan = mu_guarantor_release(f->g, "p");
			if (loan.given)
				mu_ledger_released(l, loan.lent);
		} else {
			row->granted += a.draw;
			row->released = l->released;
			row->lent = l->lent;
			mu_ledger_drawn(l, a.draw, row->granted);
		}
	}
	return 0;
}

/* A home returns its unused tokens. */
static void
give_back(struct mu_ledger *l, struct row *row)
{
	uint64_t returnable;

	l->granted = row->granted;
	returnable = mu_ledger_returnable(l, true);
	row->granted -= returnable;
	mu_ledger_returned(l, returnable, row->granted);
}

/*
 * Random outages of the store, homes that die and lose what they had drawn,
 * guarantors replaced by ones that do not know the earlier loans, and turns of
 * different sizes.
 */
static void
test_any_order_keeps_the_budget(void **state)
{
	struct fixture *f = *state;
	struct mu_ledger l[HOMES];
	static const uint64_t budgets[] = {
	    BUDGET, MAX_TOKENS + 60, 3 * MAX_TOKENS};
	uint64_t rng = 5, budget, spent, largest_turn, tokens,
		 served_in_outage = 0;
	struct row row;
	int round, step, i;
	bool outage;

	for (round = 0; round < ROUNDS; round++) {
		mu_guarantor_free(f->g);
		f->g = mu_guarantor_new(f->loop);
		mu_guarantor_skip_grace(f->g);
		memset(&row, 0, sizeof(row));
		budget = budgets[round % 3];
		spent = largest_turn = 0;
		outage = false;
		for (i = 0; i < HOMES; i++)
			l[i] = (struct mu_ledger){.budget = budget};
		for (step = 0; step < STEPS; step++) {
			i = (int)(mu_rand(&rng) % HOMES);
			if (mu_rand(&rng) % 10 == 0)
				outage = !outage;
			if (mu_rand(&rng) % 30 == 0)
				l[i] = (struct mu_ledger){.budget = budget};
			if (mu_rand(&rng) % 100 == 0) {
				mu_guarantor_free(f->g);
				f->g = mu_guarantor_new(f->loop);
			}
			if (!outage && mu_rand(&rng) % 8 == 0)
				give_back(&l[i], &row);
			tokens = 1 + mu_rand(&rng) % MAX_TOKENS;
			largest_turn =
			    tokens > largest_turn ? tokens : largest_turn;
			tokens = turn(f, &l[i], &row, outage, tokens, &rng);
			served_in_outage += outage ? tokens : 0;
			spent += tokens;
			assert_true(spent <= budget + largest_turn);
		}
	}
	assert_true(served_in_outage > 0);
}

/* A budget of two turns: one turn can be borrowed, as draws leave nothing of
 * it aside. */
static void
test_lends_a_turn_of_a_small_budget(void **state)
{
	struct fixture *f = *state;

	mu_guarantor_skip_grace(f->g);
	assert_true(lend(f, "p", 2 * MAX_TOKENS, MAX_TOKENS).given);
	assert_false(lend(f, "p", 2 * MAX_TOKENS, 1).given);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_lends_no_more_than_its_part),
	    T(test_lends_nothing_after_the_release),
	    T(test_gives_nothing_until_programs_of_before_have_ended),
	    T(test_lends_a_turn_of_a_small_budget),
	    T(test_any_order_keeps_the_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
