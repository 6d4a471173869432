/*
 * test_dispatch.c -- the dispatcher around the decision modules.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "dispatch.h"

#define RETRY_SHARE 0.2 /* retries allowed per call */

static struct mu_retry_decision
retry_lost_call(struct mu_dispatch *d, const struct mu_service *s)
{
	struct mu_retry_request q = {.error = MU_E_ENDPOINT_LOST,
	    .sent = MU_ATTEMPT_MAY_HAVE_RUN,
	    .repeatable = true,
	    .can_replay = true,
	    .attempts = 1,
	    .other_endpoint = true,
	    .same_endpoint = true,
	    .deadline = MU_US_NEVER};

	mu_dispatch_first_attempt(d, s);
	return mu_dispatch_retry(d, s, &q);
}

/* The first call of a service may be retried; a share of 0 allows none. */
static void
test_first_call_is_retried(void **state)
{
	struct mu_service s = {
	    .name = (char *)"new", .retry_budget = RETRY_SHARE};
	struct mu_service none = {.name = (char *)"none"};
	struct mu_dispatch *d;
	struct mu_board board;
	struct mu_clock clock;

	(void)state;
	memset(&board, 0, sizeof(board));
	mu_clock_manual(&clock, 0);
	assert_int_equal(mu_dispatch_open(&d, &board, &clock, "entry-1"), 0);
	assert_int_equal(retry_lost_call(d, &s).kind, MU_RETRY_OTHER_ENDPOINT);
	assert_int_equal(retry_lost_call(d, &none).kind, MU_RETRY_FAIL_CALL);
	mu_dispatch_close(d);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_first_call_is_retried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
