/* test_follow.c -- following a table: pages, changes, dropped history. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "follow.h"
#include "memstore.h"

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct mu_store *store;
	struct mu_follow *follow;
	unsigned lists, rows, removed;
	char last[256];
};

static void
on_list_begin(void *arg)
{
	(void)arg;
}

static void
on_list_end(void *arg)
{
	((struct fixture *)arg)->lists++;
}

static void
on_row(void *arg, const Mu__StoreRow *row)
{
	struct fixture *f = arg;

	if (row->removed)
		f->removed++;
	else
		f->rows++;
	strncpy(f->last, row->key, sizeof(f->last) - 1);
}

static void
put(struct fixture *f, const char *key)
{
	f->mem->ver++;
	mem_put(f->mem, "t", "", key, "v", 1);
}

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct mu_follow_conf c = {
	    "t", 0, 400, f, on_list_begin, on_list_end, on_row};
	struct mu_store_backend b;

	mu_clock_manual(&f->clock, MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	b = mem_backend(f->mem, f->loop);
	f->store = mu_store_new(f->loop, &b);
	put(f, "a");
	put(f, "b");
	put(f, "c");
	f->follow = mu_follow_new(f->loop, f->store, &c);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	f->mem->fault = MEM_HEALTHY;
	mem_cancel_pending(f->mem);
	mu_store_free(f->store);
	mu_follow_free(f->follow);
	mem_free(f->mem);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
test_list_then_changes(void **state)
{
	struct fixture *f = *state;

	assert_true(mu_follow_age(f->follow) == MU_US_NEVER);
	run_ms(f->loop, &f->clock, 20);
	assert_int_equal(f->lists, 1);
	assert_int_equal(f->rows, 3);
	put(f, "d");
	run_ms(f->loop, &f->clock, 450);
	assert_int_equal(f->rows, 4);
	assert_string_equal(f->last, "d");
	f->mem->ver++;
	f->mem->row[0].removed = true;
	f->mem->row[0].ver = f->mem->ver;
	run_ms(f->loop, &f->clock, 450);
	assert_int_equal(f->removed, 1);
	assert_true(mu_follow_age(f->follow) < 500 * MU_US_PER_MS);
}

static void
test_pages(void **state)
{
	struct fixture *f = *state;

	f->mem->page = 2;
	run_ms(f->loop, &f->clock, 50);
	assert_int_equal(f->lists, 1);
	assert_int_equal(f->rows, 3);
}

static void
test_history_gone_rereads_the_table(void **state)
{
	struct fixture *f = *state;

	run_ms(f->loop, &f->clock, 20);
	put(f, "d");
	f->mem->fault = MEM_HISTORY_GONE;
	f->mem->fault_count = 1;
	run_ms(f->loop, &f->clock, 450);
	assert_int_equal(f->lists, 2);
	assert_int_equal(f->rows, 3 + 4);
}

static void
test_resumes_after_an_outage(void **state)
{
	struct fixture *f = *state;

	run_ms(f->loop, &f->clock, 20);
	f->mem->fault = MEM_BUSY;
	run_ms(f->loop, &f->clock, 5000);
	put(f, "d");
	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 600);
	assert_string_equal(f->last, "d");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_list_then_changes),
	    T(test_pages),
	    T(test_history_gone_rereads_the_table),
	    T(test_resumes_after_an_outage),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
