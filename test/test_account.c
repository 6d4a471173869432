/* test_account.c -- draws from the store with lost answers, outages, several
 * daemons and deaths of daemons; runs on a manual clock. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "account.h"
#include "ledger.h"
#include "memstore.h"

#define DAEMONS 2
#define MAX_TOKENS 289

struct daemon {
	struct mu_store *store;
	struct mu_reaper *reaper;
	struct mu_accounts *accounts;
};

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct daemon d[DAEMONS];
	struct mu_guarantor *guarantor; /* NULL: unreachable */
	bool other_alive;
	unsigned answers;
	enum mu_turn_start_status status;
};

static bool
alive(void *arg, uint64_t incarnation)
{
	struct fixture *f = arg;

	return f->other_alive && incarnation != 0;
}

static void
request_loan(
    void *arg, const struct mu_loan_request *q, mu_loan_fn fn, void *fn_arg)
{
	struct fixture *f = arg;
	struct mu_loan loan = {false, 0};

	if (f->guarantor != NULL)
		loan = q->amount > 0
			   ? mu_guarantor_lend(f->guarantor, q)
			   : mu_guarantor_release(f->guarantor, q->program);
	fn(fn_arg, &loan);
}

static void
start(struct fixture *f, int i, uint64_t incarnation)
{
	struct mu_store_backend b = {f->mem, mem_run};
	struct mu_accounts_conf c = {incarnation, f, alive, request_loan};

	f->d[i].store = mu_store_new(f->loop, &b);
	f->d[i].reaper = mu_reaper_new(f->loop, f->d[i].store);
	f->d[i].accounts =
	    mu_accounts_new(f->loop, f->d[i].store, f->d[i].reaper, &c);
}

static void
stop(struct fixture *f, int i)
{
	mu_accounts_free(f->d[i].accounts);
	mu_reaper_free(f->d[i].reaper);
	mu_store_free(f->d[i].store);
}

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	mu_clock_manual(&f->clock, MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	(void)mem_backend(f->mem, f->loop);
	f->guarantor = mu_guarantor_new(f->loop);
	mu_guarantor_skip_grace(f->guarantor);
	start(f, 0, 100);
	start(f, 1, 200);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 6000);
	stop(f, 0);
	stop(f, 1);
	mu_guarantor_free(f->guarantor);
	mem_free(f->mem);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
on_started(void *arg, enum mu_turn_start_status status)
{
	struct fixture *f = arg;

	f->answers++;
	f->status = status;
}

static enum mu_turn_start_status
reserve(struct fixture *f, int i, const char *turn, uint64_t budget, int ms)
{
	struct mu_reserve_request r = {"p", turn, budget, MAX_TOKENS, false,
	    mu_loop_now(f->loop) + ms * MU_US_PER_MS};
	unsigned before = f->answers;

	mu_accounts_reserve(f->d[i].accounts, &r, on_started, f);
	while (f->answers == before)
		run_ms(f->loop, &f->clock, 1);
	return f->status;
}

static void
settle(struct fixture *f, int i, const char *turn, uint64_t used)
{
	mu_accounts_settle(f->d[i].accounts, "p", turn, used);
}

static void
test_exact_to_the_last_turn(void **state)
{
	struct fixture *f = *state;
	uint64_t spent = 0;
	char turn[16];
	int i;

	for (i = 0; i < 100; i++) {
		(void)snprintf(turn, sizeof(turn), "t%d", i);
		if (reserve(f, 0, turn, 3500, 1000) != MU_START_OK)
			break;
		settle(f, 0, turn, 100);
		spent += 100;
	}
	assert_int_equal(f->status, MU_START_BUDGET_EXHAUSTED);
	assert_true(spent <= 3500 && spent > 3500 - MAX_TOKENS);
}

/* With a slow store, a draw whose answer was lost was counted twice: a turn
 * that continued after all daemons were killed got 402. */
static void
test_draw_without_answer_is_found_again(void **state)
{
	struct fixture *f = *state;

	/* Without loans the turn depends on the draw. */
	mu_guarantor_free(f->guarantor);
	f->guarantor = NULL;
	f->mem->fault = MEM_ANSWER_LOST;
	assert_int_equal(reserve(f, 0, "t1", 500, 300), MU_START_UNAVAILABLE);
	f->mem->fault = MEM_HEALTHY;
	assert_int_equal(reserve(f, 0, "t2", 500, 1000), MU_START_OK);
}

/* With a slow store and loans, only the last of several draws without an
 * answer was checked for, although the first had taken effect. */
static void
test_several_draws_without_answer(void **state)
{
	struct fixture *f = *state;

	f->mem->fault = MEM_ANSWER_LOST;
	mu_guarantor_free(f->guarantor);
	f->guarantor = NULL;
	assert_int_equal(reserve(f, 0, "t1", 500, 1000), MU_START_UNAVAILABLE);
	assert_int_equal(reserve(f, 0, "t2", 500, 1000), MU_START_UNAVAILABLE);
	f->mem->fault = MEM_HEALTHY;
	assert_int_equal(reserve(f, 0, "t3", 500, 1000), MU_START_OK);
}

/* A daemon drew for itself while the program's home did not answer, got no
 * answer to the draw and no further requests.  It kept the drawn tokens for as
 * long as it lived, and other daemons answered 503 as it might have returned
 * them. */
static void
test_draw_without_answer_is_given_back(void **state)
{
	struct fixture *f = *state;

	f->other_alive = true;
	f->mem->fault = MEM_ANSWER_LOST;
	mu_guarantor_free(f->guarantor);
	f->guarantor = NULL;
	assert_int_equal(reserve(f, 0, "t1", 500, 300), MU_START_UNAVAILABLE);
	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 2000);
	assert_int_equal(reserve(f, 1, "t2", 500, 1000), MU_START_OK);
}

/* A return without an answer is also repeated until it has one. */
static void
test_return_without_answer_is_made_again(void **state)
{
	struct fixture *f = *state;

	f->other_alive = true;
	assert_int_equal(reserve(f, 0, "t1", 500, 1000), MU_START_OK);
	f->mem->fault = MEM_SILENT;
	settle(f, 0, "t1", 0);
	run_ms(f->loop, &f->clock, 4000);
	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 2000);
	assert_int_equal(reserve(f, 1, "t2", 500, 1000), MU_START_OK);
	settle(f, 1, "t2", MAX_TOKENS);
	f->other_alive = false;
	assert_int_equal(
	    reserve(f, 0, "t3", 500, 1000), MU_START_BUDGET_EXHAUSTED);
}

/* The requesting daemon had stopped waiting for the home and drew for itself,
 * while the home kept a reservation that nobody would settle. */
static void
test_abandoned_reservation_is_given_back(void **state)
{
	struct fixture *f = *state;

	f->other_alive = true;
	assert_int_equal(reserve(f, 0, "t1", 500, 1000), MU_START_OK);
	/* Not 402, as the other daemon may still return its tokens. */
	assert_int_equal(reserve(f, 1, "t1b", 500, 1000), MU_START_UNAVAILABLE);
	settle(f, 0, "t1", 0);
	run_ms(f->loop, &f->clock, 1000);
	assert_int_equal(reserve(f, 1, "t1c", 500, 1000), MU_START_OK);
}

/* The store rejects the write, for example because it is full: the turn fails
 * at once, and the write is not retried in a loop. */
static void
test_draw_that_the_store_does_not_take(void **state)
{
	struct fixture *f = *state;
	mu_us began = mu_loop_now(f->loop);

	f->mem->fault = MEM_INVALID;
	assert_int_equal(reserve(f, 0, "t1", 500, 1000), MU_START_UNAVAILABLE);
	assert_true(mu_loop_now(f->loop) - began < 100 * MU_US_PER_MS);
	run_ms(f->loop, &f->clock, 2000);
	assert_int_equal(f->mem->calls, 1);
	f->mem->fault = MEM_HEALTHY;
	assert_int_equal(reserve(f, 0, "t2", 500, 1000), MU_START_OK);
}

static void
test_cancelled_while_it_waits(void **state)
{
	struct fixture *f = *state;
	struct mu_reserve_request r = {"p", "t1", 500, MAX_TOKENS, false,
	    mu_loop_now(f->loop) + 5 * MU_US_PER_S};

	f->mem->delay = 400 * MU_US_PER_MS;
	mu_accounts_reserve(f->d[0].accounts, &r, on_started, f);
	run_ms(f->loop, &f->clock, 100);
	settle(f, 0, "t1", 0);
	assert_int_equal(f->answers, 1);
	assert_int_equal(f->status, MU_START_UNAVAILABLE);
	assert_int_equal(reserve(f, 0, "t2", 500, 5000), MU_START_OK);
}

/* Only what a dead daemon had drawn counts as spent. */
static void
test_other_daemon_goes_on_after_a_death(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(reserve(f, 0, "t1", 3500, 1000), MU_START_OK);
	assert_int_equal(reserve(f, 1, "t2", 3500, 1000), MU_START_OK);
	settle(f, 1, "t2", 100);
	assert_int_equal(reserve(f, 1, "t3", 3500, 1000), MU_START_OK);
}

static void
test_leaving_daemon_gives_back(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(reserve(f, 0, "t1", 600, 1000), MU_START_OK);
	mu_accounts_drain(f->d[0].accounts);
	settle(f, 0, "t1", 50);
	run_ms(f->loop, &f->clock, 100);
	assert_int_equal(reserve(f, 1, "t2", 600, 1000), MU_START_OK);
	settle(f, 1, "t2", 250);
	assert_int_equal(reserve(f, 1, "t3", 600, 1000), MU_START_OK);
}

static void
test_only_programs_that_have_begun(void **state)
{
	struct fixture *f = *state;
	struct mu_reserve_request r = {"p", "t1", 3500, MAX_TOKENS, true,
	    mu_loop_now(f->loop) + MU_US_PER_S};

	mu_accounts_reserve(f->d[0].accounts, &r, on_started, f);
	assert_int_equal(f->status, MU_START_NEW_PROGRAM);
	assert_int_equal(f->mem->writes, 0);
	assert_int_equal(reserve(f, 0, "t2", 3500, 1000), MU_START_OK);
	settle(f, 0, "t2", 60);
	r.turn = "t3";
	mu_accounts_reserve(f->d[0].accounts, &r, on_started, f);
	run_ms(f->loop, &f->clock, 20);
	assert_int_equal(f->status, MU_START_OK);
	settle(f, 0, "t3", 0);
}

/* The row of an idle program is removed, unless another daemon has drawn from
 * it since. */
static void
test_row_goes_with_its_program(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(reserve(f, 0, "t1", 3500, 1000), MU_START_OK);
	settle(f, 0, "t1", 50);
	run_ms(f->loop, &f->clock, 1000);
	assert_int_equal(reserve(f, 1, "t2", 3500, 1000), MU_START_OK);
	mu_clock_advance(&f->clock, 100 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 100);
	mu_clock_advance(&f->clock, 100 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 100);
	/* The second daemon still has a turn in progress. */
	assert_false(f->mem->row[0].removed);
	settle(f, 1, "t2", 50);
	mu_clock_advance(&f->clock, 100 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 100);
	mu_clock_advance(&f->clock, 100 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 100);
	assert_true(f->mem->row[0].removed);
}

static void
test_remembers_where_prompts_are_cached(void **state)
{
	struct fixture *f = *state;
	struct mu_cache_location at = {"e1", 900}, found;
	char child[] = "child", parent[] = "parent";
	char *parts[] = {child, parent};

	assert_int_equal(reserve(f, 0, "t1", 3500, 1000), MU_START_OK);
	mu_accounts_set_cached(f->d[0].accounts, "p", "parent", &at);
	mu_accounts_find_cached(f->d[0].accounts, "p", parts, 2, &found);
	assert_string_equal(found.endpoint, "e1");
	assert_int_equal(found.held, 900);
	mu_accounts_find_cached(f->d[0].accounts, "p", parts, 1, &found);
	assert_string_equal(found.endpoint, "");
	settle(f, 0, "t1", 0);
}

/* Runs turns until one is refused or max have run; returns the tokens used. */
static uint64_t
run_turns(struct fixture *f, int i, uint64_t budget, uint64_t used, int max)
{
	uint64_t spent = 0;
	char turn[16];
	int n;

	for (n = 0; n < max; n++) {
		(void)snprintf(turn, sizeof(turn), "r%d.%d", i, n);
		if (reserve(f, i, turn, budget, 1000) != MU_START_OK)
			break;
		settle(f, i, turn, used);
		spent += used;
	}
	return spent;
}

/* The store becomes unavailable during a draw: the turn gets a loan before its
 * deadline. */
static void
test_draw_is_left_for_a_loan(void **state)
{
	struct fixture *f = *state;

	f->mem->fault = MEM_SILENT;
	assert_int_equal(reserve(f, 0, "t1", 3500, 800), MU_START_OK);
	settle(f, 0, "t1", 60);
}

/* The store is unavailable, the guarantor lends nothing, and the repetition of
 * a draw without an answer takes longer than the next turn may wait: the turn
 * must fail at its deadline. */
static void
test_turn_behind_a_slow_write_is_told_in_time(void **state)
{
	struct fixture *f = *state;
	mu_us began;

	mu_guarantor_free(f->guarantor);
	f->guarantor = NULL;
	f->mem->fault = MEM_SILENT;
	assert_int_equal(reserve(f, 0, "t1", 3500, 800), MU_START_UNAVAILABLE);
	run_ms(f->loop, &f->clock, 600);
	began = mu_loop_now(f->loop);
	assert_int_equal(reserve(f, 0, "t2", 3500, 800), MU_START_UNAVAILABLE);
	assert_true(mu_loop_now(f->loop) - began <= 802 * MU_US_PER_MS);
}

/* Programs that start while the store is unavailable for seconds are served
 * from loans.  Without loans, each of their turns waited for the store and
 * failed. */
static void
test_program_begins_during_an_outage(void **state)
{
	struct fixture *f = *state;
	uint64_t spent;

	f->mem->fault = MEM_SILENT;
	spent = run_turns(f, 0, 3500, 60, 10);
	assert_int_equal(spent, 10 * 60);
	/* Together with the loans, within the budget. */
	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 3000);
	spent += run_turns(f, 0, 3500, 60, 100);
	spent += run_turns(f, 1, 3500, 60, 100);
	assert_int_equal(f->status, MU_START_BUDGET_EXHAUSTED);
	assert_true(spent <= 3500);
	assert_true(spent > 3500 - 2 * MAX_TOKENS);
}

/* The daemon that had borrowed and the guarantor both died. */
static void
test_loans_of_the_dead_count_as_spent(void **state)
{
	struct fixture *f = *state;
	uint64_t spent;

	f->mem->fault = MEM_SILENT;
	spent = run_turns(f, 0, 3500, MAX_TOKENS, 100);
	assert_true(spent > mu_ledger_guarantor_share(3500) - MAX_TOKENS);
	f->mem->fault = MEM_HEALTHY;
	mu_guarantor_free(f->guarantor);
	f->guarantor = NULL;
	stop(f, 0);
	start(f, 0, 300);
	spent += run_turns(f, 0, 3500, MAX_TOKENS, 100);
	spent += run_turns(f, 1, 3500, MAX_TOKENS, 100);
	assert_int_equal(f->status, MU_START_BUDGET_EXHAUSTED);
	assert_true(spent <= 3500 + MAX_TOKENS);
}

/* Another daemon can draw the released share after the guarantor is lost. */
static void
test_release_is_written_down(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(run_turns(f, 0, 3500, 100, 30), 3000);
	run_ms(f->loop, &f->clock, 1000);
	mu_guarantor_free(f->guarantor);
	f->guarantor = NULL;
	assert_int_equal(reserve(f, 1, "t1", 3500, 1000), MU_START_OK);
	settle(f, 1, "t1", MAX_TOKENS);
}

/* A budget of two turns keeps nothing aside for loans. */
static void
test_small_budget_without_its_guarantor(void **state)
{
	struct fixture *f = *state;

	mu_guarantor_free(f->guarantor);
	f->guarantor = NULL;
	assert_int_equal(
	    reserve(f, 0, "t1", 2 * MAX_TOKENS, 1000), MU_START_OK);
	settle(f, 0, "t1", MAX_TOKENS);
	assert_int_equal(
	    reserve(f, 0, "t2", 2 * MAX_TOKENS, 1000), MU_START_OK);
	settle(f, 0, "t2", MAX_TOKENS);
}

/* Some partitions of the store do not answer for seconds, among them the one
 * with the program's row, and its budget holds only a few turns.  The first
 * turn goes on after two unanswered attempts, the others at once with the rest
 * of the loan. */
static void
test_row_in_a_part_that_is_down(void **state)
{
	struct fixture *f = *state;
	uint64_t reserved, spent = 0;
	mu_us began = mu_loop_now(f->loop);
	unsigned n;

	f->mem->fault = MEM_SILENT;
	assert_int_equal(
	    reserve(f, 0, "t0", 3 * MAX_TOKENS, 1000), MU_START_OK);
	assert_true(mu_loop_now(f->loop) - began <= 200 * MU_US_PER_MS);
	settle(f, 0, "t0", 20);
	spent += 20;
	for (n = 1; n < 10; n++) {
		began = mu_loop_now(f->loop);
		if (reserve(f, 0, "t", 3 * MAX_TOKENS, 1000) != MU_START_OK)
			break;
		assert_true(mu_loop_now(f->loop) - began < 20 * MU_US_PER_MS);
		reserved = mu_accounts_reserved(f->d[0].accounts, "p", "t");
		assert_true(
		    reserved >= MAX_TOKENS / 4 && reserved <= MAX_TOKENS);
		settle(f, 0, "t", 20);
		spent += 20;
	}
	assert_int_equal(n, 10);
	/* With all later turns, within the budget plus one turn. */
	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 3000);
	spent += run_turns(f, 0, 3 * MAX_TOKENS, MAX_TOKENS, 100);
	spent += run_turns(f, 1, 3 * MAX_TOKENS, MAX_TOKENS, 100);
	assert_int_equal(f->status, MU_START_BUDGET_EXHAUSTED);
	assert_true(spent <= 3 * MAX_TOKENS + MAX_TOKENS);
}

/* Far too few tokens are left for a turn: it is refused. */
static void
test_too_little_is_left(void **state)
{
	struct fixture *f = *state;

	f->mem->fault = MEM_SILENT;
	assert_int_equal(
	    reserve(f, 0, "t0", 3 * MAX_TOKENS, 1000), MU_START_OK);
	settle(f, 0, "t0", MAX_TOKENS - 20);
	assert_int_equal(
	    reserve(f, 0, "t1", 3 * MAX_TOKENS, 500), MU_START_UNAVAILABLE);
}

/* With a store that loses answers: a return took effect without an answer,
 * another daemon drew the returned tokens, and the first daemon, whose
 * repetition met the other's row, used them too. */
static void
test_return_without_answer_is_not_used_again(void **state)
{
	struct fixture *f = *state;
	uint64_t spent = 20;

	assert_int_equal(
	    reserve(f, 0, "t1", 2 * MAX_TOKENS, 1000), MU_START_OK);
	settle(f, 0, "t1", 20);
	run_ms(f->loop, &f->clock, 390);
	f->mem->fault = MEM_ANSWER_LOST;
	f->mem->fault_count = 1;
	run_ms(f->loop, &f->clock, 20);
	assert_int_equal(
	    f->mem->fault, MEM_HEALTHY); /* the return is in flight */
	assert_int_equal(
	    reserve(f, 1, "t2", 2 * MAX_TOKENS, 1000), MU_START_OK);
	settle(f, 1, "t2", MAX_TOKENS);
	spent += MAX_TOKENS;
	run_ms(f->loop, &f->clock, 100);
	spent += run_turns(f, 0, 2 * MAX_TOKENS, MAX_TOKENS, 10);
	spent += run_turns(f, 1, 2 * MAX_TOKENS, MAX_TOKENS, 10);
	assert_true(spent <= 2 * MAX_TOKENS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_draw_is_left_for_a_loan),
	    T(test_turn_behind_a_slow_write_is_told_in_time),
	    T(test_program_begins_during_an_outage),
	    T(test_loans_of_the_dead_count_as_spent),
	    T(test_release_is_written_down),
	    T(test_small_budget_without_its_guarantor),
	    T(test_row_in_a_part_that_is_down),
	    T(test_too_little_is_left),
	    T(test_return_without_answer_is_not_used_again),
	    T(test_exact_to_the_last_turn),
	    T(test_draw_without_answer_is_found_again),
	    T(test_several_draws_without_answer),
	    T(test_draw_without_answer_is_given_back),
	    T(test_return_without_answer_is_made_again),
	    T(test_abandoned_reservation_is_given_back),
	    T(test_draw_that_the_store_does_not_take),
	    T(test_cancelled_while_it_waits),
	    T(test_other_daemon_goes_on_after_a_death),
	    T(test_leaving_daemon_gives_back),
	    T(test_only_programs_that_have_begun),
	    T(test_remembers_where_prompts_are_cached),
	    T(test_row_goes_with_its_program),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
