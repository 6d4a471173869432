/* test_store.c -- operations on a store that is slow, busy, silent or loses
 * answers; with a manual clock. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "memstore.h"
#include "storepath.h"

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct mu_store *store;
	unsigned completed;
	Mu__StoreResult__Status status;
	mu_us completed_at;
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct mu_store_backend b;

	mu_clock_manual(&f->clock, MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	b = mem_backend(f->mem, f->loop);
	f->store = mu_store_new(f->loop, &b);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 5000); /* ends the attempts in progress */
	mu_store_free(f->store);
	mem_free(f->mem);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
on_done(void *arg, const Mu__StoreResult *r)
{
	struct fixture *f = arg;

	f->completed++;
	f->status = r->status;
	f->completed_at = mu_loop_now(f->loop);
}

static void
put_in_partition(
    struct fixture *f, const char *part, const char *key, mu_us timeout)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow row = MU__STORE_ROW__INIT, *rows[] = {&row};
	char table[] = "t", value[] = "v";

	row.table = table;
	row.part = (char *)(uintptr_t)part;
	row.key = (char *)(uintptr_t)key;
	row.value.data = (uint8_t *)value;
	row.value.len = 1;
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.n_put = 1;
	op.put = rows;
	mu_store_run(f->store, &op, mu_loop_now(f->loop) + timeout, on_done, f);
}

static void
put(struct fixture *f, const char *key, mu_us timeout)
{
	put_in_partition(f, "", key, timeout);
}

static void
test_timeout_follows_rtt_and_doubles(void **state)
{
	(void)state;
	assert_int_equal(mu_store_timeout_ms(1000, 0), 50);
	assert_int_equal(mu_store_timeout_ms(100000, 0), 500);
	assert_int_equal(mu_store_timeout_ms(1000, 2), 200);
	assert_int_equal(mu_store_timeout_ms(1000000, 9), 2000);
}

static void
test_healthy_store_completes_a_write(void **state)
{
	struct fixture *f = *state;

	put(f, "a", MU_US_PER_S);
	assert_int_equal(f->completed, 0);
	run_ms(f->loop, &f->clock, 10);
	assert_int_equal(f->completed, 1);
	assert_int_equal(f->status, MU__STORE_RESULT__STATUS__DONE);
	assert_true(mu_store_direct_available(f->store));
}

/* A lost answer delays the operation by one timeout, not until its deadline. */
static void
test_lost_answer_is_retried(void **state)
{
	struct fixture *f = *state;

	put(f, "a", MU_US_PER_S);
	run_ms(f->loop, &f->clock, 10);
	f->mem->fault = MEM_ANSWER_LOST;
	f->mem->fault_count = 1;
	put(f, "b", MU_US_PER_S);
	run_ms(f->loop, &f->clock, 80);
	assert_int_equal(f->completed, 2);
	assert_int_equal(f->status, MU__STORE_RESULT__STATUS__DONE);
}

/* The store becomes ninety times slower.  The answer of the first attempt must
 * count, so that the operation takes one round trip and not several. */
static void
test_slow_store_is_waited_for(void **state)
{
	struct fixture *f = *state;
	mu_us began;

	put(f, "a", MU_US_PER_S);
	run_ms(f->loop, &f->clock, 10);
	f->mem->delay = 455 * MU_US_PER_MS;
	began = mu_loop_now(f->loop);
	put(f, "b", 3 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 600);
	assert_int_equal(f->completed, 2);
	assert_true(f->completed_at - began < 500 * MU_US_PER_MS);
	assert_true(f->mem->writes <= 1 + 3);
}

static void
test_busy_store_is_retried_until_the_deadline(void **state)
{
	struct fixture *f = *state;

	f->mem->fault = MEM_BUSY;
	put(f, "a", 500 * MU_US_PER_MS);
	run_ms(f->loop, &f->clock, 450);
	assert_int_equal(f->completed, 0);
	run_ms(f->loop, &f->clock, 50);
	assert_int_equal(f->completed, 1);
	assert_int_equal(f->status, MU__STORE_RESULT__STATUS__REFUSED);
}

/* During an outage of seconds, many operations must cause no more attempts than
 * one would, and all complete soon after the store recovers. */
static void
test_outage_costs_few_calls_and_ends_at_once(void **state)
{
	struct fixture *f = *state;
	unsigned i, calls;
	mu_us recovered_at;

	put(f, "a", MU_US_PER_S);
	run_ms(f->loop, &f->clock, 10);
	f->mem->fault = MEM_BUSY;
	for (i = 0; i < 200; i++)
		put(f, "b", 20 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 1000);
	assert_true(mu_store_unavailable(f->store));
	calls = f->mem->calls;
	run_ms(f->loop, &f->clock, 3000);
	assert_true(f->mem->calls - calls < 100);
	assert_int_equal(f->completed, 1);
	f->mem->fault = MEM_HEALTHY;
	recovered_at = mu_loop_now(f->loop);
	run_ms(f->loop, &f->clock, 400);
	assert_int_equal(f->completed, 201);
	assert_true(f->completed_at - recovered_at < 250 * MU_US_PER_MS);
}

static bool
relay_available(void *arg)
{
	(void)arg;
	return true;
}

#define FLEET 40 /* daemons */
#define PROGRAMS 10 /* of each daemon */
#define FLEET_PARTITIONS 16
#define FLEET_LIMIT \
	1000 /* calls of all daemons that the store takes a second */

/* Each program writes once a second, and again at once when that failed. */
static void
run_programs(struct fixture *program, int n)
{
	char part[8];
	int i;

	for (i = 0; i < n; i++) {
		if (program[i].completed == 0 ||
		    (program[i].status == MU__STORE_RESULT__STATUS__DONE &&
			mu_loop_now(program[i].loop) - program[i].completed_at <
			    MU_US_PER_S))
			continue;
		program[i].completed = 0;
		(void)snprintf(part, sizeof(part), "p%d", i % FLEET_PARTITIONS);
		put_in_partition(&program[i], part, "a", 160 * MU_US_PER_MS);
	}
}

/* Guards against a fleet whose attempts alone are more than an overloaded store
 * takes, which kept it refusing all operations for ever: forty daemons after an
 * outage of two seconds. */
static void
test_fleet_recovers_from_an_overloaded_store(void **state)
{
	struct fixture *f = *state,
		       *program = calloc(FLEET * PROGRAMS, sizeof(*program));
	struct mu_store *store[FLEET];
	struct mu_store_backend b = {f->mem, mem_run};
	struct mu_store_relay relay = {f->mem, relay_available, mem_run};
	unsigned served = 0;
	int i, ms;

	f->mem->fault = MEM_BUSY;
	f->mem->rate_limit = FLEET_LIMIT;
	for (i = 0; i < FLEET; i++) {
		store[i] = mu_store_new(f->loop, &b);
		mu_store_set_relay(store[i], &relay);
	}
	for (i = 0; i < FLEET * PROGRAMS; i++) {
		program[i].loop = f->loop;
		program[i].store = store[i / PROGRAMS];
		program[i].completed = 1;
		program[i].status = MU__STORE_RESULT__STATUS__REFUSED;
	}
	for (ms = 0; ms < 10000; ms += 10) {
		if (ms == 2000)
			f->mem->fault = MEM_HEALTHY;
		run_programs(program, FLEET * PROGRAMS);
		run_ms(f->loop, &f->clock, 10);
	}
	for (i = 0; i < FLEET * PROGRAMS; i++)
		served += program[i].completed > 0 &&
			  program[i].status == MU__STORE_RESULT__STATUS__DONE;
	assert_true(served > FLEET * PROGRAMS * 9 / 10);
	run_ms(f->loop, &f->clock, 1000);
	for (i = 0; i < FLEET; i++)
		mu_store_free(store[i]);
	free(program);
}

static void
test_silent_store_gives_unknown(void **state)
{
	struct fixture *f = *state;

	f->mem->fault = MEM_SILENT;
	put(f, "a", 800 * MU_US_PER_MS);
	run_ms(f->loop, &f->clock, 900);
	assert_int_equal(f->completed, 1);
	assert_int_equal(f->status, MU__STORE_RESULT__STATUS__UNKNOWN);
}

/* The store rejects this daemon but serves a peer. */
static void
test_goes_through_a_peer(void **state)
{
	struct fixture *f = *state;
	struct memstore *peer = calloc(1, sizeof(*peer));
	struct mu_store_relay relay = {peer, relay_available, mem_run};

	(void)mem_backend(peer, f->loop);
	mu_store_set_relay(f->store, &relay);
	f->mem->fault = MEM_BUSY;
	put(f, "a", MU_US_PER_S);
	run_ms(f->loop, &f->clock, 200);
	assert_int_equal(f->completed, 1);
	assert_int_equal(f->status, MU__STORE_RESULT__STATUS__DONE);
	assert_int_equal(peer->writes, 1);
	assert_false(mu_store_unavailable(f->store));
	relay.run = NULL;
	mu_store_set_relay(f->store, &relay);
	run_ms(f->loop, &f->clock, 3000);
	mem_free(peer);
}

/* Some partitions are silent for seconds.  Operations on the others must not be
 * delayed, the silent ones must receive few attempts, and operations queued for
 * them must complete soon after recovery. */
static void
test_part_that_is_down_holds_up_no_other(void **state)
{
	static const char *const healthy[] = {
	    "p4", "p5", "p6", "p7", "p8", "p9"};
	struct fixture *f = *state;
	unsigned i, calls, down = 4;
	mu_us began, slowest = 0;
	char key[16];

	f->mem->fault = MEM_SILENT;
	f->mem->down[0] = "p0";
	f->mem->down[1] = "p1";
	f->mem->down[2] = "p2";
	f->mem->down[3] = "p3";
	f->mem->ndown = down;
	for (i = 0; i < down; i++)
		put_in_partition(f, f->mem->down[i], "waits", 20 * MU_US_PER_S);
	calls = f->mem->calls;
	for (i = 0; i < 100; i++) {
		began = mu_loop_now(f->loop);
		(void)snprintf(key, sizeof(key), "k%u", i);
		put_in_partition(f, healthy[i % 6], key, MU_US_PER_S);
		run_ms(f->loop, &f->clock, 40);
		assert_int_equal(f->completed, i + 1);
		if (f->completed_at - began > slowest)
			slowest = f->completed_at - began;
	}
	assert_true(slowest < 20 * MU_US_PER_MS);
	assert_true(f->mem->calls - calls - 100 < 200);
	assert_true(mu_store_direct_available(f->store));
	assert_true(mu_store_partition_suspect(f->store, "t", "p0"));
	assert_false(mu_store_partition_suspect(f->store, "t", "p4"));
	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 250);
	assert_int_equal(f->completed, 100 + down);
}

/* The store is silent to this daemon for seconds but serves a peer.  After the
 * switch to the relay, operations must not wait for a direct attempt to time
 * out again. */
static void
test_silent_store_is_bypassed_through_a_peer(void **state)
{
	struct fixture *f = *state;
	struct memstore *peer = calloc(1, sizeof(*peer));
	struct mu_store_relay relay = {peer, relay_available, mem_run};
	mu_us began, slowest = 0;
	unsigned i;
	char key[16];

	(void)mem_backend(peer, f->loop);
	mu_store_set_relay(f->store, &relay);
	f->mem->fault = MEM_SILENT;
	for (i = 0; i < 100; i++) {
		began = mu_loop_now(f->loop);
		(void)snprintf(key, sizeof(key), "k%u", i);
		put_in_partition(
		    f, i % 2 == 0 ? "a" : "b", key, 3 * MU_US_PER_S);
		run_ms(f->loop, &f->clock, 300);
		assert_int_equal(f->completed, i + 1);
		if (f->completed_at - began > slowest)
			slowest = f->completed_at - began;
	}
	assert_true(slowest < 250 * MU_US_PER_MS);
	relay.run = NULL;
	mu_store_set_relay(f->store, &relay);
	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 3000);
	mem_free(peer);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_timeout_follows_rtt_and_doubles),
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_healthy_store_completes_a_write),
	    T(test_lost_answer_is_retried),
	    T(test_slow_store_is_waited_for),
	    T(test_busy_store_is_retried_until_the_deadline),
	    T(test_outage_costs_few_calls_and_ends_at_once),
	    T(test_fleet_recovers_from_an_overloaded_store),
	    T(test_silent_store_gives_unknown),
	    T(test_goes_through_a_peer),
	    T(test_part_that_is_down_holds_up_no_other),
	    T(test_silent_store_is_bypassed_through_a_peer),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
