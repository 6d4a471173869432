/* test_error.c -- errors, clock, arena and addresses. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "musher.h"

static void
test_every_error_has_name_and_status(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < MU_E_COUNT; i++) {
		assert_non_null(mu_errname(i));
		assert_in_range(mu_errstatus(i), 200, 599);
	}
	assert_string_equal(mu_errname(MU_E_COUNT), "internal");
}

static void
test_fail_fills_error(void **state)
{
	struct mu_error e;

	(void)state;
	assert_int_equal(
	    mu_fail(&e, MU_E_BUDGET, MU_OUTCOME_NOT_RUN, 7, "%s left", "0"),
	    MU_E_BUDGET);
	assert_string_equal(e.message, "0 left");
	assert_int_equal(e.retry_after_ms, 7);
	assert_int_equal(
	    mu_fail(NULL, MU_E_BUDGET, MU_OUTCOME_DONE, 0, "x"), MU_E_BUDGET);
}

static void
test_manual_clock_moves_only_when_advanced(void **state)
{
	struct mu_clock c;

	(void)state;
	mu_clock_manual(&c, 5);
	assert_int_equal(mu_now(&c), 5);
	mu_clock_advance(&c, MU_US_PER_S);
	assert_int_equal(mu_now(&c), 5 + MU_US_PER_S);
}

static void
test_arena_gives_zeroed_aligned_memory(void **state)
{
	struct mu_arena *a = mu_arena_new();
	unsigned char *p;
	size_t i, n;

	(void)state;
	for (n = 1; n < 20000; n = n * 3) {
		p = mu_arena_alloc(a, n);
		assert_non_null(p);
		assert_int_equal((uintptr_t)p % 16, 0);
		for (i = 0; i < n; i++)
			assert_int_equal(p[i], 0);
		memset(p, 0xff, n);
	}
	assert_string_equal(mu_arena_printf(a, "%d-%s", 4, "x"), "4-x");
	mu_arena_free(a);
}

static void
test_addr_parse(void **state)
{
	char ip[MU_ADDR_LEN];
	uint16_t port;

	(void)state;
	assert_int_equal(mu_addr_parse("127.0.0.1:8080", ip, &port), 0);
	assert_string_equal(ip, "127.0.0.1");
	assert_int_equal(port, 8080);
	assert_int_not_equal(mu_addr_parse("localhost:80", ip, &port), 0);
	assert_int_not_equal(mu_addr_parse("127.0.0.1", ip, &port), 0);
	assert_int_not_equal(mu_addr_parse("127.0.0.1:0", ip, &port), 0);
	assert_int_not_equal(mu_addr_parse("127.0.0.1:65536", ip, &port), 0);
	assert_int_not_equal(mu_addr_parse("127.0.0.1:+80", ip, &port), 0);
	assert_int_not_equal(mu_addr_parse("127.0.0.1: 80", ip, &port), 0);
	/* 2 to the power of 64, less 80 */
	assert_int_not_equal(
	    mu_addr_parse("127.0.0.1:-18446744073709551536", ip, &port), 0);
	assert_int_not_equal(mu_addr_parse("127.0.0.1:70000", ip, &port), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_every_error_has_name_and_status),
	    cmocka_unit_test(test_fail_fills_error),
	    cmocka_unit_test(test_manual_clock_moves_only_when_advanced),
	    cmocka_unit_test(test_arena_gives_zeroed_aligned_memory),
	    cmocka_unit_test(test_addr_parse),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
