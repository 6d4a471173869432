/* test_founding.c -- which daemons belong to a fleet that has no past. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "follow.h"
#include "founding.h"
#include "memstore.h"

#define TABLE "daemons"
#define SECOND_MS 1000
#define DAEMONS 4

/* A daemon that reads the table and decides. */
struct daemon {
	struct mu_store *store;
	struct mu_follow *follow;
	struct mu_founding *founding;
	bool decided;
	bool founder;
};

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct daemon d[DAEMONS];
	size_t ndaemons;
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	mu_clock_manual(&f->clock, MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	(void)mem_backend(f->mem, f->loop);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;
	size_t i;

	mem_clear(f->mem);
	for (i = 0; i < f->ndaemons; i++) {
		mu_store_free(f->d[i].store);
		mu_follow_free(f->d[i].follow);
		mu_founding_free(f->d[i].founding);
	}
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
on_decided(void *arg, bool founder)
{
	struct daemon *d = arg;

	assert_false(d->decided);
	d->decided = true;
	d->founder = founder;
}

static void
on_begin(void *arg)
{
	(void)arg;
}

static void
on_end(void *arg)
{
	struct daemon *d = arg;

	mu_founding_listed(d->founding);
}

static void
on_row(void *arg, const Mu__StoreRow *row)
{
	struct daemon *d = arg;
	Mu__DaemonRow *r;

	if (mu_founding_row(d->founding, row))
		return;
	r = mu__daemon_row__unpack(NULL, row->value.len, row->value.data);
	assert_non_null(r);
	mu_founding_daemon(d->founding, r);
	mu__daemon_row__free_unpacked(r, NULL);
}

static struct daemon *
start(struct fixture *f, const char *host, uint64_t incarnation)
{
	struct daemon *d = &f->d[f->ndaemons++];
	struct mu_store_backend b = {f->mem, mem_run};
	struct mu_founding_conf c = {TABLE, host, incarnation, d, on_decided};
	struct mu_follow_conf fc = {TABLE, 200, 0, d, on_begin, on_end, on_row};

	d->store = mu_store_new(f->loop, &b);
	d->founding = mu_founding_new(f->loop, d->store, &c);
	d->follow = mu_follow_new(f->loop, d->store, &fc);
	return d;
}

/* What a daemon writes of itself once it has decided. */
static void
announce(struct fixture *f, const char *host, uint64_t incarnation)
{
	Mu__DaemonRow r = MU__DAEMON_ROW__INIT;
	uint8_t value[64];

	r.host = (char *)(uintptr_t)host;
	r.incarnation = incarnation;
	f->mem->ver++;
	mem_put(
	    f->mem, TABLE, "", host, value, mu__daemon_row__pack(&r, value));
}

static void
test_those_that_start_together_are_founders(void **state)
{
	struct fixture *f = *state;
	struct daemon *a, *b;

	a = start(f, "a", 1);
	run_ms(f->loop, &f->clock, 100);
	announce(f, "a", 1);
	b = start(f, "b", 2);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_true(a->founder);
	assert_true(b->founder);
}

static void
test_one_that_joins_later_is_none(void **state)
{
	struct fixture *f = *state;
	struct daemon *late;

	(void)start(f, "a", 1);
	run_ms(f->loop, &f->clock, 7 * SECOND_MS);
	late = start(f, "c", 3);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_true(late->decided);
	assert_false(late->founder);
}

/* All lost power before the founding was closed: a daemon that starts again is
 * no founder, and closes it. */
static void
test_one_that_starts_again_is_none(void **state)
{
	struct fixture *f = *state;
	struct daemon *again, *late;

	(void)start(f, "a", 1);
	run_ms(f->loop, &f->clock, SECOND_MS);
	announce(f, "a", 1);
	again = start(f, "a", 2);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_true(again->decided);
	assert_false(again->founder);
	late = start(f, "c", 3);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_false(late->founder);
}

/* The store is out while the founding should be closed. */
static void
test_closes_after_an_outage(void **state)
{
	struct fixture *f = *state;
	struct daemon *late;

	(void)start(f, "a", 1);
	run_ms(f->loop, &f->clock, SECOND_MS);
	f->mem->fault = MEM_SILENT;
	run_ms(f->loop, &f->clock, 9 * SECOND_MS);
	f->mem->fault = MEM_WELL;
	run_ms(f->loop, &f->clock, 4 * SECOND_MS);
	late = start(f, "c", 3);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_true(late->decided);
	assert_false(late->founder);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_those_that_start_together_are_founders),
	    T(test_one_that_joins_later_is_none),
	    T(test_one_that_starts_again_is_none),
	    T(test_closes_after_an_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
