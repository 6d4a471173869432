/* test_quarantine.c -- a request can crash two endpoints at most. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "quarantine.h"

#define FP 77u
#define PEER 5u
#define S MU_US_PER_S

static struct mu_quarantine quar;

static int
setup(void **state)
{
	struct mu_quar_conf c = mu_quar_conf_default;

	(void)state;
	c.max_entries = 4;
	return mu_quar_init(&quar, &c);
}

static int
teardown(void **state)
{
	(void)state;
	mu_quar_fini(&quar);
	return 0;
}

static enum mu_quar_kind
kind_at(uint64_t fp, mu_us now)
{
	return mu_quar_check(&quar, fp, now).kind;
}

static void
run_and_die(uint64_t fp, uint64_t endpoint, mu_us now)
{
	assert_int_equal(mu_quar_attempt_start(&quar, fp, now), 0);
	mu_quar_attempt_end(&quar, fp, endpoint, MU_QUAR_ENDPOINT_DIED, now);
}

static void
apply_digest(const uint64_t *suspected, size_t ns, const uint64_t *quarantined,
    size_t nq, mu_us now)
{
	mu_quar_apply_digest(&quar, PEER, suspected, ns, quarantined, nq, now);
}

static void
test_fingerprint_is_of_service_and_body(void **state)
{
	uint64_t a = mu_quar_fingerprint("pantry", "{}", 2);

	(void)state;
	assert_true(a == mu_quar_fingerprint("pantry", "{}", 2));
	assert_true(a != mu_quar_fingerprint("smokehouse", "{}", 2));
	assert_true(a != mu_quar_fingerprint("pantry", "{ }", 3));
}

static void
test_second_death_quarantines(void **state)
{
	struct mu_quar_decision d;

	(void)state;
	assert_int_equal(kind_at(FP, 0), MU_QUAR_RUN);
	run_and_die(FP, 1, 0);
	d = mu_quar_check(&quar, FP, 0);
	assert_int_equal(d.kind, MU_QUAR_WAIT);
	assert_int_equal(d.u.wait.time, quar.conf.digest_wait);
	assert_int_equal(kind_at(FP, S), MU_QUAR_TRIAL);
	assert_int_equal(kind_at(FP + 1, S), MU_QUAR_RUN);
	run_and_die(FP, 2, S);
	d = mu_quar_check(&quar, FP, 2 * S);
	assert_int_equal(d.kind, MU_QUAR_REFUSE);
	assert_int_equal(d.u.refuse.error, MU_E_QUARANTINED);
	assert_int_equal(d.u.refuse.retry_after_ms, 599000);
	assert_int_equal(kind_at(FP, 602 * S), MU_QUAR_RUN);
}

/* A copy in flight when the first endpoint dies counts as the trial. */
static void
test_copy_in_flight_blocks_another(void **state)
{
	(void)state;
	assert_int_equal(mu_quar_attempt_start(&quar, FP, 0), 0);
	run_and_die(FP, 1, 0);
	assert_int_equal(
	    mu_quar_check(&quar, FP, 100 * S).reason, MU_QUAR_REASON_IN_FLIGHT);
	mu_quar_attempt_end(&quar, FP, 2, MU_QUAR_ENDPOINT_DIED, 100 * S);
	assert_int_equal(kind_at(FP, 101 * S), MU_QUAR_REFUSE);
}

/* If two attempts were allowed as a trial, only the first one starts. */
static void
test_one_trial_at_a_time(void **state)
{
	bool tracked;

	(void)state;
	run_and_die(FP, 1, 0);
	assert_int_equal(kind_at(FP, S), MU_QUAR_TRIAL);
	assert_int_equal(kind_at(FP, S), MU_QUAR_TRIAL);
	assert_int_equal(
	    mu_quar_attempt_start_checked(&quar, FP, S, &tracked).kind,
	    MU_QUAR_TRIAL);
	assert_true(tracked);
	assert_int_equal(
	    mu_quar_attempt_start_checked(&quar, FP, S, &tracked).kind,
	    MU_QUAR_WAIT);
	assert_false(tracked);
}

static void
test_two_calls_on_one_dead_endpoint_are_one_death(void **state)
{
	(void)state;
	assert_int_equal(mu_quar_attempt_start(&quar, FP, 0), 0);
	assert_int_equal(mu_quar_attempt_start(&quar, FP, 0), 0);
	mu_quar_attempt_end(&quar, FP, 1, MU_QUAR_ENDPOINT_DIED, 0);
	mu_quar_attempt_end(&quar, FP, 1, MU_QUAR_ENDPOINT_DIED, 10);
	assert_int_equal(kind_at(FP, 2 * S), MU_QUAR_TRIAL);
}

static void
test_whole_answer_clears(void **state)
{
	uint64_t fps[MU_QUAR_DIGEST_MAX];

	(void)state;
	run_and_die(FP, 1, 0);
	assert_int_equal(mu_quar_list_suspected(&quar, fps, 0), 1);
	assert_true(fps[0] == FP);
	assert_int_equal(mu_quar_attempt_start(&quar, FP, 2 * S), 0);
	mu_quar_attempt_end(&quar, FP, 2, MU_QUAR_COMPLETED, 3 * S);
	assert_int_equal(kind_at(FP, 3 * S), MU_QUAR_RUN);
	assert_int_equal(mu_quar_list_suspected(&quar, fps, 3 * S), 0);
	assert_int_equal(quar.entries, 0);
}

static void
test_suspicion_expires(void **state)
{
	(void)state;
	run_and_die(FP, 1, 0);
	assert_int_equal(kind_at(FP, 61 * S), MU_QUAR_RUN);
	run_and_die(FP, 2, 61 * S);
	assert_int_equal(kind_at(FP, 63 * S), MU_QUAR_TRIAL);
}

static void
test_peer_accuses_and_clears(void **state)
{
	const uint64_t fp = FP;

	(void)state;
	apply_digest(&fp, 1, NULL, 0, 0);
	assert_int_equal(
	    mu_quar_check(&quar, FP, 0).reason, MU_QUAR_REASON_PEER_SUSPECTS);
	apply_digest(NULL, 0, NULL, 0, S);
	assert_int_equal(kind_at(FP, S), MU_QUAR_RUN);
	apply_digest(NULL, 0, &fp, 1, 2 * S);
	assert_int_equal(mu_quar_check(&quar, FP, 2 * S).reason,
	    MU_QUAR_REASON_PEER_QUARANTINES);
	/* Without further heartbeats the peer's report counts until expiry. */
	assert_int_equal(kind_at(FP, 601 * S), MU_QUAR_REFUSE);
	assert_int_equal(kind_at(FP, 603 * S), MU_QUAR_RUN);
}

static void
test_deaths_on_two_daemons_quarantine(void **state)
{
	uint64_t fps[MU_QUAR_DIGEST_MAX];
	const uint64_t fp = FP;

	(void)state;
	run_and_die(FP, 1, 0);
	apply_digest(&fp, 1, NULL, 0, S / 2);
	assert_int_equal(kind_at(FP, 2 * S), MU_QUAR_REFUSE);
	assert_int_equal(mu_quar_list_quarantined(&quar, fps, 2 * S), 1);
	assert_int_equal(mu_quar_list_suspected(&quar, fps, 2 * S), 0);
}

static void
test_table_is_bounded_and_keeps_the_worst(void **state)
{
	uint64_t fp;

	(void)state;
	run_and_die(1, 1, 0);
	run_and_die(1, 2, 2 * S);
	for (fp = 2; fp < 40; fp++)
		run_and_die(fp, 1, 3 * S);
	assert_int_equal(quar.entries, 4);
	assert_int_equal(kind_at(1, 3 * S), MU_QUAR_REFUSE);
	assert_int_equal(quar.evicted, 36 - 1);
}

/* Three daemons, ten endpoints: each endpoint has trials of one daemon. */
static void
test_trial_endpoints_are_disjoint(void **state)
{
	size_t rank, i, daemons;

	(void)state;
	for (i = 0; i < 10; i++) {
		daemons = 0;
		for (rank = 0; rank < 3; rank++)
			daemons += mu_quar_trial_allowed(rank, 3, i, 10);
		assert_int_equal(daemons, 1);
	}
	assert_true(mu_quar_trial_allowed(6, 7, 2, 4));
	assert_true(mu_quar_trial_allowed(0, 0, 0, 0));
}

#define T(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_fingerprint_is_of_service_and_body),
	    T(test_second_death_quarantines),
	    T(test_copy_in_flight_blocks_another),
	    T(test_one_trial_at_a_time),
	    T(test_two_calls_on_one_dead_endpoint_are_one_death),
	    T(test_whole_answer_clears),
	    T(test_suspicion_expires),
	    T(test_peer_accuses_and_clears),
	    T(test_deaths_on_two_daemons_quarantine),
	    T(test_table_is_bounded_and_keeps_the_worst),
	    T(test_trial_endpoints_are_disjoint),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
