/* test_retry.c -- retry decisions, their limits, and reruns of streams. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "retry.h"

static const struct mu_retry_request lost_call = {
    .error = MU_E_ENDPOINT_LOST,
    .sent = MU_ATTEMPT_MAY_HAVE_RUN,
    .repeatable = true,
    .attempts = 1,
    .other_endpoint = true,
    .same_endpoint = true,
    .deadline = MU_US_NEVER,
    .random = 0.5,
};

static struct mu_retry_decision
decide(const struct mu_retry_request *q)
{
	struct mu_retry_budget b;

	mu_retry_budget_init(&b, 0.1);
	return mu_retry_decide(&mu_retry_policy_default, &b, q, 0);
}

static void
check_row(const struct mu_retry_request *q)
{
	struct mu_retry_decision d = decide(q);
	bool may_have_run =
	    q->sent == MU_ATTEMPT_MAY_HAVE_RUN || q->earlier_may_have_run;

	assert_string_not_equal(mu_retry_reason_name(d.reason), "internal");
	if (may_have_run && !q->repeatable)
		assert_int_equal(d.kind, MU_RETRY_FAIL_CALL);
	if (q->streamed_bytes > 0 && !q->can_replay)
		assert_int_equal(d.kind, MU_RETRY_FAIL_CALL);
	if (d.kind != MU_RETRY_FAIL_CALL)
		return;
	assert_int_equal(d.u.failure.error, q->error);
	if (may_have_run)
		assert_int_equal(d.u.failure.outcome, MU_OUTCOME_UNKNOWN);
	else if (d.reason != MU_RETRY_REASON_NOT_OWNER)
		assert_int_equal(d.u.failure.outcome, MU_OUTCOME_NOT_RUN);
}

/* All error types with all combinations of the inputs that decide. */
static void
test_whole_table(void **state)
{
	struct mu_retry_request q = lost_call;
	int error, sent, bits;

	(void)state;
	for (error = 1; error < MU_E_COUNT; error++) {
		for (sent = MU_ATTEMPT_NOT_SENT;
		     sent <= MU_ATTEMPT_MAY_HAVE_RUN; sent++) {
			for (bits = 0; bits < 64; bits++) {
				q.error = (enum mu_errtype)error;
				q.sent = (enum mu_attempt_progress)sent;
				q.repeatable = bits & 1;
				q.earlier_may_have_run = bits & 2;
				q.streamed_bytes = bits & 4 ? 100 : 0;
				q.can_replay = bits & 8;
				q.other_endpoint = bits & 16;
				q.same_endpoint = bits & 32;
				check_row(&q);
			}
		}
	}
}

static void
test_single_rows(void **state)
{
	struct mu_retry_request q = lost_call;
	struct mu_retry_decision d;

	(void)state;
	assert_int_equal(decide(&q).kind, MU_RETRY_OTHER_ENDPOINT);
	q.other_endpoint = false;
	assert_int_equal(decide(&q).kind, MU_RETRY_SAME_ENDPOINT);
	q = lost_call;
	q.repeatable = false;
	d = decide(&q);
	assert_int_equal(d.reason, MU_RETRY_REASON_MAY_HAVE_RUN);
	assert_int_equal(d.u.failure.retry_after_ms, 0);
	q.sent = MU_ATTEMPT_NOT_SENT;
	q.error = MU_E_CONNECT;
	assert_int_equal(decide(&q).reason, MU_RETRY_REASON_NOT_SENT);
	q.sent = MU_ATTEMPT_REFUSED;
	q.error = MU_E_OVERLOADED;
	assert_int_equal(decide(&q).kind, MU_RETRY_OTHER_ENDPOINT);
	q.error = MU_E_BAD_REQUEST;
	assert_int_equal(decide(&q).reason, MU_RETRY_REASON_PERMANENT);
	q.error = MU_E_STALE_EPOCH;
	d = decide(&q);
	assert_int_equal(d.reason, MU_RETRY_REASON_NOT_OWNER);
	assert_int_equal(d.u.failure.outcome, MU_OUTCOME_UNKNOWN);
}

static void
test_attempts_are_bounded(void **state)
{
	struct mu_retry_request q = lost_call;

	(void)state;
	q.attempts = mu_retry_policy_default.max_attempts;
	assert_int_equal(decide(&q).reason, MU_RETRY_REASON_ATTEMPTS);
}

/* A retry that would exceed the deadline fails at once instead. */
static void
test_deadline(void **state)
{
	struct mu_retry_request q = lost_call;
	struct mu_retry_decision d;

	(void)state;
	q.expected_time = 100 * MU_US_PER_MS;
	q.deadline = 100 * MU_US_PER_MS;
	d = decide(&q);
	assert_int_equal(d.reason, MU_RETRY_REASON_DEADLINE);
	assert_true(d.u.failure.retry_after_ms > 0);
	q.deadline = 110 * MU_US_PER_MS;
	q.random = 0.99;
	d = decide(&q);
	assert_int_equal(d.kind, MU_RETRY_OTHER_ENDPOINT);
	assert_int_equal(d.u.retry.backoff_ms, 10);
	q.other_endpoint = false;
	q.endpoint_retry_after_ms = 20;
	assert_int_equal(decide(&q).reason, MU_RETRY_REASON_DEADLINE);
}

static void
test_retry_budget_is_a_share_of_calls(void **state)
{
	struct mu_retry_budget b;
	int i, retries = 0;

	(void)state;
	mu_retry_budget_init(&b, 0.1);
	for (i = 0; i < 1000; i++) {
		mu_retry_budget_count_call(&b);
		if (mu_retry_decide(&mu_retry_policy_default, &b, &lost_call, 0)
			.kind != MU_RETRY_FAIL_CALL)
			retries++;
	}
	/* A tenth of the calls plus the capacity of the bucket. */
	assert_in_range(retries, 100, 111);
	mu_retry_budget_init(&b, 0);
	assert_int_equal(
	    mu_retry_decide(&mu_retry_policy_default, &b, &lost_call, 0).reason,
	    MU_RETRY_REASON_RETRY_BUDGET);
}

static void
test_backoff_doubles_to_its_cap(void **state)
{
	const struct mu_retry_policy p = {10, 50, 300};

	(void)state;
	assert_int_equal(mu_retry_backoff_bound_ms(&p, 1), 50);
	assert_int_equal(mu_retry_backoff_bound_ms(&p, 3), 200);
	assert_int_equal(mu_retry_backoff_bound_ms(&p, 4), 300);
	assert_int_equal(mu_retry_backoff_bound_ms(&p, UINT32_MAX), 300);
	assert_int_equal(mu_retry_backoff_ms(&p, 3, 0.0), 0);
	assert_in_range(mu_retry_backoff_ms(&p, 3, 0.999), 199, 199);
}

static void
test_rerun_is_matched_with_what_was_sent(void **state)
{
	struct mu_replay r;
	size_t skip = 0;

	(void)state;
	mu_replay_init(&r, "salt 2.5%", 9);
	assert_int_equal(
	    mu_replay_feed(&r, "salt", 4, &skip), MU_REPLAY_MATCHING);
	assert_false(mu_replay_complete(&r));
	assert_int_equal(
	    mu_replay_feed(&r, " 2.5% by", 8, &skip), MU_REPLAY_NEW_TEXT);
	assert_int_equal(skip, 5);
	assert_true(mu_replay_complete(&r));
	mu_replay_init(&r, "salt 2.5%", 9);
	assert_int_equal(
	    mu_replay_feed(&r, "salt 3", 6, &skip), MU_REPLAY_DIFFERS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_whole_table),
	    cmocka_unit_test(test_single_rows),
	    cmocka_unit_test(test_attempts_are_bounded),
	    cmocka_unit_test(test_deadline),
	    cmocka_unit_test(test_retry_budget_is_a_share_of_calls),
	    cmocka_unit_test(test_backoff_doubles_to_its_cap),
	    cmocka_unit_test(test_rerun_is_matched_with_what_was_sent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
