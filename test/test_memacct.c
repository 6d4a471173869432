/*
 * test_memacct.c -- account of the bytes held on behalf of others: what is
 * refused, what is dropped to make room, and that the counts return to zero.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "memacct.h"

#define MIB ((size_t)1 << 20)
#define KIB ((size_t)1 << 10)
#define LIMIT (24 * MIB)
#define HOLDERS 600

struct fixture {
	struct mu_acct a;
	struct mu_acct_holder h[HOLDERS];
	mu_us now;
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	unsigned i;

	mu_acct_init(&f->a, LIMIT);
	f->now = 100 * MU_US_PER_S;
	/* Each holder has its own client, unless a test changes that. */
	for (i = 0; i < HOLDERS; i++) {
		mu_acct_holder_init(&f->h[i], MU_ACCT_BODY, i, f);
		f->h[i].may_drop = true;
	}
	*state = f;
	return 0;
}

/* Each test gives all back: guards against counts that drift. */
static int
teardown(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	for (i = 0; i < HOLDERS; i++)
		mu_acct_give(&f->a, &f->h[i], SIZE_MAX);
	assert_int_equal(f->a.total, 0);
	assert_int_equal(f->a.large, 0);
	for (i = 0; i < MU_ACCT_USE_COUNT; i++)
		assert_int_equal(f->a.used[i], 0);
	assert_true(cds_list_empty(&f->a.holders));
	mu_acct_fini(&f->a);
	free(f);
	return 0;
}

static enum mu_acct_result
take(struct fixture *f, unsigned i, size_t n)
{
	return mu_acct_take(&f->a, &f->h[i], n, f->now);
}

static struct mu_acct_holder *
victim(struct fixture *f, unsigned i, size_t n)
{
	return mu_acct_victim(&f->a, &f->h[i], n, f->now);
}

/* Guards against a sum of large bodies that takes the room of small ones. */
static void
test_a_quarter_is_kept_for_small_holders(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	for (i = 0; i < 4; i++)
		assert_int_equal(take(f, i, 4 * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 4, 4 * MIB), MU_ACCT_NO_ROOM);
	assert_int_equal(take(f, 4, 2 * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 5, MU_ACCT_SMALL_BYTES + 1), MU_ACCT_NO_ROOM);
	for (i = 6; i < 6 + 6 * MIB / MU_ACCT_SMALL_BYTES; i++)
		assert_int_equal(take(f, i, MU_ACCT_SMALL_BYTES), MU_ACCT_OK);
	assert_int_equal(f->a.total, LIMIT);
	assert_int_equal(take(f, i, 1), MU_ACCT_NO_ROOM);
}

/* A chunked body starts small: it must not grow large in the small part. */
static void
test_growing_holder_becomes_large(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(take(f, 0, 18 * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 1, MU_ACCT_SMALL_BYTES), MU_ACCT_OK);
	assert_int_equal(take(f, 1, 1), MU_ACCT_NO_ROOM);
	mu_acct_give(&f->a, &f->h[0], 1 * MIB);
	assert_int_equal(take(f, 1, 1), MU_ACCT_OK);
	assert_int_equal(f->a.large, 17 * MIB + MU_ACCT_SMALL_BYTES + 1);
	mu_acct_give(&f->a, &f->h[1], 1);
	assert_int_equal(f->a.large, 17 * MIB);
}

static void
test_refused_bytes_are_not_counted(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(take(f, 0, LIMIT), MU_ACCT_NO_ROOM);
	assert_int_equal(take(f, 0, SIZE_MAX), MU_ACCT_NO_ROOM);
	assert_int_equal(take(f, 0, SIZE_MAX / 2), MU_ACCT_NO_ROOM);
	assert_int_equal(f->a.total, 0);
	assert_int_equal(take(f, 0, 0), MU_ACCT_OK);
	assert_true(cds_list_empty(&f->a.holders));
}

/* One address has all that nobody else asks for, and half of it otherwise. */
static void
test_share_of_a_client(void **state)
{
	struct fixture *f = *state;

	f->h[1].client_key = f->h[2].client_key = f->h[0].client_key;
	assert_int_equal(take(f, 0, 9 * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 1, 9 * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 3, 4 * MIB), MU_ACCT_NO_ROOM);
	mu_acct_give(&f->a, &f->h[1], 5 * MIB);
	/* Another waits for room: the room goes to it. */
	assert_int_equal(take(f, 2, 1 * MIB), MU_ACCT_SHARE);
	assert_int_equal(take(f, 2, 1), MU_ACCT_SHARE);
	assert_int_equal(take(f, 3, 4 * MIB), MU_ACCT_OK);
	mu_acct_give(&f->a, &f->h[3], 4 * MIB);
	/* Nobody has been refused for a while. */
	f->now += 2 * MU_US_PER_S;
	assert_int_equal(take(f, 2, 4 * MIB), MU_ACCT_OK);
}

/* Being refused itself doesn't limit a client to its share. */
static void
test_own_refusal_is_not_another_client(void **state)
{
	struct fixture *f = *state;

	f->h[1].client_key = f->h[0].client_key;
	assert_int_equal(take(f, 0, 17 * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 1, 4 * MIB), MU_ACCT_NO_ROOM);
	assert_int_equal(take(f, 1, 1 * MIB), MU_ACCT_OK);
	/* Two clients were refused, the other one before. */
	assert_int_equal(take(f, 5, 4 * MIB), MU_ACCT_NO_ROOM);
	assert_int_equal(take(f, 1, 4 * MIB), MU_ACCT_SHARE);
	assert_int_equal(take(f, 0, 8 * MIB), MU_ACCT_SHARE);
}

static void
test_only_stalled_holders_are_dropped(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	for (i = 0; i < 4; i++)
		assert_int_equal(take(f, i, 4 * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 4, 4 * MIB), MU_ACCT_NO_ROOM);
	assert_null(victim(f, 4, 4 * MIB));
	f->now += MU_ACCT_STALL_US;
	for (i = 0; i < 3; i++)
		mu_acct_progress(&f->h[i], f->now);
	assert_ptr_equal(victim(f, 4, 4 * MIB), &f->h[3]);
	mu_acct_progress(&f->h[3], f->now);
	assert_null(victim(f, 4, 4 * MIB));
	/* A request that was passed on can't be dropped. */
	f->now += MU_ACCT_STALL_US;
	for (i = 0; i < 4; i++)
		f->h[i].may_drop = false;
	assert_null(victim(f, 4, 4 * MIB));
}

static void
test_order_of_victims(void **state)
{
	static const size_t bytes[] = {4, 2, 3, 3};
	struct fixture *f = *state;
	struct mu_acct_holder *v;
	unsigned i;

	/* 1 and 2 are of the address that holds the most. */
	f->h[2].client_key = f->h[1].client_key;
	for (i = 0; i < 4; i++)
		assert_int_equal(take(f, i, bytes[i] * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 4, 6 * MIB), MU_ACCT_OK);
	f->h[4].may_drop = false;
	f->now += MU_ACCT_STALL_US;
	v = victim(f, 5, 4 * MIB);
	assert_ptr_equal(v, &f->h[2]);
	mu_acct_give(&f->a, v, SIZE_MAX);
	v = victim(f, 5, 4 * MIB);
	assert_ptr_equal(v, &f->h[0]);
	mu_acct_give(&f->a, v, SIZE_MAX);
	assert_int_equal(take(f, 5, 4 * MIB), MU_ACCT_OK);
}

/* Guards against dropping bodies that don't make the room that is lacking. */
static void
test_nothing_is_dropped_in_vain(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	assert_int_equal(take(f, 0, 16 * MIB), MU_ACCT_OK);
	f->h[0].may_drop = false;
	assert_int_equal(take(f, 1, 1 * MIB), MU_ACCT_OK);
	for (i = 2; i < 10; i++)
		assert_int_equal(take(f, i, 10 * KIB), MU_ACCT_OK);
	f->now += MU_ACCT_STALL_US;
	assert_int_equal(take(f, 20, 4 * MIB), MU_ACCT_NO_ROOM);
	assert_null(victim(f, 20, 4 * MIB));
	/* Small holders don't make room for a large one, the large one does. */
	assert_int_equal(take(f, 20, 1536 * KIB), MU_ACCT_NO_ROOM);
	assert_ptr_equal(victim(f, 20, 1536 * KIB), &f->h[1]);
}

/* A client over its share makes room among its own bodies only. */
static void
test_client_over_its_share_drops_its_own(void **state)
{
	struct fixture *f = *state;

	f->h[2].client_key = f->h[1].client_key = f->h[0].client_key;
	assert_int_equal(take(f, 0, 10 * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 1, 1 * MIB), MU_ACCT_OK);
	assert_int_equal(take(f, 3, 6 * MIB), MU_ACCT_OK);
	f->now += MU_ACCT_STALL_US;
	mu_acct_progress(&f->h[0], f->now);
	assert_int_equal(take(f, 4, 4 * MIB), MU_ACCT_NO_ROOM);
	assert_int_equal(take(f, 2, 4 * MIB), MU_ACCT_SHARE);
	assert_null(victim(f, 2, 4 * MIB));
	assert_ptr_equal(victim(f, 2, 1536 * KIB), &f->h[1]);
	/* Another's request drops that address's first, too. */
	assert_ptr_equal(victim(f, 4, 4 * MIB), &f->h[1]);
}

static void
test_forced_bytes_count_beyond_the_limit(void **state)
{
	struct fixture *f = *state;

	mu_acct_force(&f->a, &f->h[0], 2 * LIMIT, f->now);
	assert_int_equal(f->a.total, 2 * LIMIT);
	assert_int_equal(take(f, 1, 1), MU_ACCT_NO_ROOM);
	mu_acct_give(&f->a, &f->h[0], SIZE_MAX);
	assert_int_equal(take(f, 1, 1), MU_ACCT_OK);
}

static void
test_uses_are_counted_apart(void **state)
{
	struct fixture *f = *state;

	f->h[1].use = MU_ACCT_ANSWER;
	assert_int_equal(take(f, 0, 5), MU_ACCT_OK);
	assert_int_equal(take(f, 1, 7), MU_ACCT_OK);
	assert_int_equal(f->a.used[MU_ACCT_BODY], 5);
	assert_int_equal(f->a.used[MU_ACCT_ANSWER], 7);
	assert_string_equal(mu_acct_use_name(MU_ACCT_STORE), "store");
}

/* Random takes and gives: the sums agree with the holders. */
static void
test_random_order(void **state)
{
	struct fixture *f = *state;
	size_t sum, large;
	unsigned i, k;

	srand(45);
	for (k = 0; k < 20000; k++) {
		i = (unsigned)rand() % HOLDERS;
		f->h[i].client_key = f->h[i].bytes > 0 ? f->h[i].client_key
						       : (uint64_t)rand() % 50;
		if (rand() % 3 > 0)
			(void)take(f, i, (size_t)rand() % (200 * KIB));
		else
			mu_acct_give(&f->a, &f->h[i],
			    rand() % 2 > 0 ? SIZE_MAX : f->h[i].bytes / 2);
		f->now += 10 * MU_US_PER_MS;
	}
	for (sum = large = i = 0; i < HOLDERS; i++) {
		sum += f->h[i].bytes;
		if (f->h[i].bytes > MU_ACCT_SMALL_BYTES)
			large += f->h[i].bytes;
	}
	assert_int_equal(f->a.total, sum);
	assert_int_equal(f->a.large, large);
	assert_in_range(sum, 1, LIMIT);
}

static void
test_default_limits(void **state)
{
	static const struct {
		uint64_t memory, descriptors;
		size_t body_memory;
		uint32_t connections;
	} cases[] = {
	    {96 * MIB, 3075, 24 * MIB, 384},
	    {64 * MIB, 3075, 24 * MIB, 256},
	    {512 * MIB, 65536, 128 * MIB, 2048},
	    {32768 * MIB, 65536, 8192 * MIB, 4096},
	    {32768 * MIB, 1024, 8192 * MIB, 512},
	    {96 * MIB, 600, 24 * MIB, 88},
	    {96 * MIB, 64, 24 * MIB, 16},
	    {96 * MIB, UINT64_MAX, 24 * MIB, 384},
	};
	struct mu_acct_limits l;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		mu_acct_default_limits(
		    cases[i].memory, cases[i].descriptors, &l);
		assert_int_equal(l.body_memory, cases[i].body_memory);
		assert_int_equal(l.max_connections, cases[i].connections);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_a_quarter_is_kept_for_small_holders),
	    T(test_growing_holder_becomes_large),
	    T(test_refused_bytes_are_not_counted),
	    T(test_share_of_a_client),
	    T(test_own_refusal_is_not_another_client),
	    T(test_only_stalled_holders_are_dropped),
	    T(test_order_of_victims),
	    T(test_nothing_is_dropped_in_vain),
	    T(test_client_over_its_share_drops_its_own),
	    T(test_forced_bytes_count_beyond_the_limit),
	    T(test_uses_are_counted_apart),
	    T(test_random_order),
	    cmocka_unit_test(test_default_limits),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
