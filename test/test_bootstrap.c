/* test_bootstrap.c -- which daemons are on the first start of their fleet. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "follow.h"
#include "bootstrap.h"
#include "memstore.h"

#define TABLE "daemons"
#define SECOND_MS 1000
#define DAEMONS 4

/* A daemon that follows the table of daemons. */
struct daemon {
	struct mu_store *store;
	struct mu_follow *follow;
	struct mu_bootstrap *bootstrap;
	bool decided;
	bool first_start;
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

	mem_free(f->mem);
	for (i = 0; i < f->ndaemons; i++) {
		mu_store_free(f->d[i].store);
		mu_follow_free(f->d[i].follow);
		mu_bootstrap_free(f->d[i].bootstrap);
	}
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
on_decided(void *arg, bool first_start)
{
	struct daemon *d = arg;

	assert_false(d->decided);
	d->decided = true;
	d->first_start = first_start;
}

static void
on_list_begin(void *arg)
{
	(void)arg;
}

static void
on_list_end(void *arg)
{
	struct daemon *d = arg;

	mu_bootstrap_on_list_end(d->bootstrap);
}

static void
on_row(void *arg, const Mu__StoreRow *row)
{
	struct daemon *d = arg;
	Mu__DaemonRow *r;

	if (mu_bootstrap_on_row(d->bootstrap, row))
		return;
	r = mu__daemon_row__unpack(NULL, row->value.len, row->value.data);
	assert_non_null(r);
	mu_bootstrap_on_daemon(d->bootstrap, r);
	mu__daemon_row__free_unpacked(r, NULL);
}

static struct daemon *
start_daemon(struct fixture *f, const char *host, uint64_t incarnation)
{
	struct daemon *d = &f->d[f->ndaemons++];
	struct mu_store_backend b = {f->mem, mem_run};
	struct mu_bootstrap_conf c = {TABLE, host, incarnation, d, on_decided};
	struct mu_follow_conf fc = {
	    TABLE, 200, 0, d, on_list_begin, on_list_end, on_row};

	d->store = mu_store_new(f->loop, &b);
	d->bootstrap = mu_bootstrap_new(f->loop, d->store, &c);
	d->follow = mu_follow_new(f->loop, d->store, &fc);
	return d;
}

/* Writes the row of a daemon, as it does itself once it has decided. */
static void
write_daemon_row(struct fixture *f, const char *host, uint64_t incarnation)
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
test_daemons_started_together_are_a_first_start(void **state)
{
	struct fixture *f = *state;
	struct daemon *a, *b;

	a = start_daemon(f, "a", 1);
	run_ms(f->loop, &f->clock, 100);
	write_daemon_row(f, "a", 1);
	b = start_daemon(f, "b", 2);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_true(a->first_start);
	assert_true(b->first_start);
}

static void
test_daemon_joining_later_is_no_first_start(void **state)
{
	struct fixture *f = *state;
	struct daemon *late;

	(void)start_daemon(f, "a", 1);
	run_ms(f->loop, &f->clock, 7 * SECOND_MS);
	late = start_daemon(f, "c", 3);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_true(late->decided);
	assert_false(late->first_start);
}

/* All hosts lost power before the bootstrap was closed.  A restarted daemon
 * must not count as a first start, and must close the bootstrap. */
static void
test_restarted_daemon_is_no_first_start(void **state)
{
	struct fixture *f = *state;
	struct daemon *restarted, *late;

	(void)start_daemon(f, "a", 1);
	run_ms(f->loop, &f->clock, SECOND_MS);
	write_daemon_row(f, "a", 1);
	restarted = start_daemon(f, "a", 2);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_true(restarted->decided);
	assert_false(restarted->first_start);
	late = start_daemon(f, "c", 3);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_false(late->first_start);
}

/* The store is unavailable at the time the bootstrap should be closed. */
static void
test_bootstrap_closes_after_an_outage(void **state)
{
	struct fixture *f = *state;
	struct daemon *late;

	(void)start_daemon(f, "a", 1);
	run_ms(f->loop, &f->clock, SECOND_MS);
	f->mem->fault = MEM_SILENT;
	run_ms(f->loop, &f->clock, 9 * SECOND_MS);
	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 4 * SECOND_MS);
	late = start_daemon(f, "c", 3);
	run_ms(f->loop, &f->clock, SECOND_MS);
	assert_true(late->decided);
	assert_false(late->first_start);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_daemons_started_together_are_a_first_start),
	    T(test_daemon_joining_later_is_no_first_start),
	    T(test_restarted_daemon_is_no_first_start),
	    T(test_bootstrap_closes_after_an_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
