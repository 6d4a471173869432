/* test_uphead.c -- what the head of an endpoint's answer says about it. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "uphead.h"

/* Guards against a status that HTTP doesn't have, such as 000, in an answer. */
static void
test_statuses(void **state)
{
	int s;

	(void)state;
	for (s = -1; s < 1100; s++) {
		if (s < 100 || s == 101 || s > 599)
			assert_int_equal(mu_head_kind(s), MU_HEAD_INVALID);
		else
			assert_int_equal(mu_head_kind(s),
			    s < 200 ? MU_HEAD_INTERIM : MU_HEAD_FINAL);
		assert_int_equal(mu_head_has_body(s), s != 204 && s != 304);
	}
}

/* The line is checked alike wherever reads end within it. */
static void
test_status_line_in_two_parts(void **state)
{
	static const struct {
		const char *line; /* after its first letter */
		bool ok;
	} cases[] = {{"TTP/1.1 200 OK\r\n", true}, {"TTP/1.0 599\n", true},
	    {"TTP/1.1 0200 OK\r\n", false}, {"TTP/1.1 20 OK\r\n", false},
	    {"TTP/2.0 200 OK\r\n", false}, {"TTP/1.1\r\n", false}};
	struct mu_status_line l;
	size_t i, n, len;
	bool ok;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		len = strlen(cases[i].line);
		for (n = 0; n <= len; n++) {
			mu_status_line_begin(&l);
			ok = mu_status_line_check(&l, cases[i].line, n) &&
			     mu_status_line_check(
				 &l, cases[i].line + n, len - n);
			assert_int_equal(ok, cases[i].ok);
		}
	}
}

/* Guards against an overflow: the time may have any number of digits. */
static void
test_keep_alive(void **state)
{
	static const struct {
		const char *value;
		mu_us time;
	} cases[] = {{"timeout=5", 5 * MU_US_PER_S},
	    {"max=3, timeout=7", 7 * MU_US_PER_S}, {"max=3", -1},
	    {"timeout=99999999999999", 3600 * MU_US_PER_S},
	    {"timeout=99999999999999999999999", 3600 * MU_US_PER_S},
	    {"timeout=-9223372036854775808", 0}, {"timeout=x", 0}};
	struct mu_header h = {"keep-alive", NULL};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		h.value = cases[i].value;
		assert_int_equal(mu_head_keep_alive(&h, 1, -1), cases[i].time);
	}
	assert_int_equal(mu_head_keep_alive(&h, 0, -1), -1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_statuses),
	    cmocka_unit_test(test_status_line_in_two_parts),
	    cmocka_unit_test(test_keep_alive),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
