/* test_journal.c -- group commit, lost answers, leases and lost slots. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <sodium.h>

#include "fakeplatform.h"
#include "journal.h"
#include "wait.h"

#define SLOT 3
#define WAIT_MS 20000 /* bounds the test's duration */
#define LEASE_MS 1000000
#define RENEW_MS 500 /* a renewal is due when a test's clock starts */

static struct mu_clock test_clock;
static int lost_slot, lease_taken;

static void
on_slot_lost(void *arg, unsigned slot)
{
	(void)arg;
	__atomic_store_n(&lost_slot, (int)slot, __ATOMIC_RELEASE);
}

static void
on_lease_taken(void *arg)
{
	(void)arg;
	__atomic_store_n(&lease_taken, 1, __ATOMIC_RELEASE);
}

static struct mu_journal *
open_journal(uint32_t renew_ms)
{
	struct mu_journal_conf c = {0};
	struct mu_journal *j;

	lost_slot = -1;
	lease_taken = 0;
	c.host = "a";
	c.incarnation = 7;
	c.lease_ms = LEASE_MS;
	c.renew_ms = renew_ms;
	c.buffer = 4;
	c.clock = &test_clock;
	c.on_slot_lost = on_slot_lost;
	c.on_lease_taken = on_lease_taken;
	mu_clock_manual(&test_clock, MU_US_PER_S);
	assert_int_equal(mu_journal_open(&j, NULL, &c), 0);
	return j;
}

/* Opens a journal that owns SLOT through a row in the table. */
static struct mu_journal *
open_owner(void)
{
	struct mu_journal *j;
	char key[MU_KEY_SIZE];

	fake_reset();
	mu_slot_key(key, SLOT);
	j = open_journal(LEASE_MS / 3);
	mu_journal_add_slot(j, SLOT, fake_write(key, "{}"), 0);
	while (!mu_journal_platform_ok(j))
		continue;
	return j;
}

static struct mu_ticket *
append(struct mu_journal *j, const char *text, enum mu_ticket_policy policy)
{
	struct mu_error e;

	return mu_journal_append(
	    j, SLOT, json_pack("{s:s}", "t", text), policy, &e);
}

static size_t
journal_rows(void)
{
	struct mu_rows rows;
	struct mu_error e;
	size_t n;

	mu_platform_list(NULL, "j/", NULL, 1000, &rows, &e);
	n = rows.count;
	mu_rows_clear(&rows);
	return n;
}

static void
test_commit_and_lease(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t = append(j, "x", MU_TICKET_FAIL_FAST);

	(void)state;
	assert_non_null(t);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(t);
	assert_int_equal(journal_rows(), 1);
	/* The lease counts from before the send, on the holder's clock. */
	assert_int_equal(
	    mu_journal_lease_left(j), (mu_us)LEASE_MS * MU_US_PER_MS);
	mu_clock_advance(&test_clock, (mu_us)LEASE_MS * MU_US_PER_MS);
	assert_int_equal(mu_journal_lease_left(j), 0);
	mu_journal_close(j);
	fake_reset();
}

static void
test_lost_answer_is_committed_once(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t;

	(void)state;
	fake_mode(FAKE_COMMIT_ANSWER_LOST, 1);
	t = append(j, "x", MU_TICKET_FAIL_FAST);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(t);
	t = append(j, "y", MU_TICKET_FAIL_FAST);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(t);
	assert_int_equal(journal_rows(), 2);
	mu_journal_close(j);
	fake_reset();
}

static void
test_answer_lost_of_a_write_that_did_not_run(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t;

	(void)state;
	fake_mode(FAKE_COMMIT_DROPPED, 3);
	t = append(j, "x", MU_TICKET_FAIL_FAST);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(t);
	assert_int_equal(journal_rows(), 1);
	mu_journal_close(j);
	fake_reset();
}

static void
test_refused_at_once_or_kept(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t, *kept;
	struct mu_error e;

	(void)state;
	fake_mode(FAKE_COMMIT_NOT_RUN, -1);
	t = append(j, "intent", MU_TICKET_FAIL_FAST);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_REFUSED);
	mu_ticket_unref(t);
	/* The outage is known by now: refused without a write. */
	t = mu_journal_append(
	    j, SLOT, json_pack("{s:s}", "t", "x"), MU_TICKET_FAIL_FAST, &e);
	assert_null(t);
	assert_int_equal(e.type, MU_E_PLATFORM_DOWN);
	assert_int_equal(e.outcome, MU_OUTCOME_NOT_RUN);
	assert_true(e.retry_after_ms > 0);
	kept = append(j, "turn", MU_TICKET_BUFFER);
	assert_non_null(kept);
	assert_int_equal(mu_ticket_wait(kept, 1), MU_TICKET_PENDING);
	fake_mode(FAKE_OK, 0);
	mu_clock_advance(&test_clock, MU_US_PER_S);
	assert_int_equal(mu_ticket_wait(kept, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(kept);
	assert_int_equal(journal_rows(), 1);
	mu_journal_close(j);
	fake_reset();
}

static void
test_buffer_is_bounded(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t[4];
	int i;

	(void)state;
	fake_mode(FAKE_COMMIT_NOT_RUN, -1);
	t[0] = append(j, "intent", MU_TICKET_FAIL_FAST);
	assert_int_equal(mu_ticket_wait(t[0], WAIT_MS), MU_TICKET_REFUSED);
	mu_ticket_unref(t[0]);
	for (i = 0; i < 4; i++) {
		assert_true(mu_journal_can_buffer(j));
		t[i] = append(j, "turn", MU_TICKET_BUFFER);
		assert_non_null(t[i]);
	}
	assert_false(mu_journal_can_buffer(j));
	mu_journal_close(j);
	for (i = 0; i < 4; i++)
		mu_ticket_unref(t[i]);
	fake_reset();
}

static void
test_new_owner_makes_records_lost(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t;
	char key[MU_KEY_SIZE];

	(void)state;
	mu_slot_key(key, SLOT);
	fake_write(key, "{\"owner\":\"b\"}");
	t = append(j, "x", MU_TICKET_BUFFER);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_SLOT_LOST);
	mu_ticket_unref(t);
	assert_int_equal(journal_rows(), 0);
	assert_null(append(j, "y", MU_TICKET_BUFFER));
	mu_journal_close(j);
	assert_int_equal(lost_slot, SLOT);
	fake_reset();
}

/*
 * A record that is queued while its slot is lost and acquired again must not
 * be written: the new ownership has read the journal without it.
 */
static void
test_record_of_an_earlier_ownership(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t;
	char key[MU_KEY_SIZE];

	(void)state;
	fake_mode(FAKE_COMMIT_NOT_RUN, -1);
	t = append(j, "old", MU_TICKET_BUFFER);
	while (mu_journal_platform_ok(j))
		continue;
	mu_slot_key(key, SLOT);
	mu_journal_add_slot(j, SLOT, fake_write(key, "{}"), 0);
	fake_mode(FAKE_OK, -1);
	mu_clock_advance(&test_clock, MU_US_PER_S);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_SLOT_LOST);
	mu_ticket_unref(t);
	assert_int_equal(journal_rows(), 0);
	while (!mu_journal_platform_ok(j))
		continue;
	t = append(j, "new", MU_TICKET_FAIL_FAST);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(t);
	mu_journal_close(j);
	fake_reset();
}

static void
test_takeover_during_a_lost_answer(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t;
	char key[MU_KEY_SIZE];

	(void)state;
	/* The write took effect, its answer was lost, the slot moved. */
	fake_mode(FAKE_COMMIT_ANSWER_LOST, 1);
	t = append(j, "x", MU_TICKET_FAIL_FAST);
	while (journal_rows() == 0)
		continue;
	mu_slot_key(key, SLOT);
	fake_write(key, "{\"owner\":\"b\"}");
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(t);
	mu_journal_close(j);
	fake_reset();
}

/* A record of an earlier epoch must not be written under a later one. */
static void
test_record_of_an_earlier_epoch_is_lost(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t;
	char key[MU_KEY_SIZE];

	(void)state;
	mu_slot_key(key, SLOT);
	fake_mode(FAKE_COMMIT_NOT_RUN, -1);
	t = append(j, "x", MU_TICKET_BUFFER);
	assert_int_equal(mu_ticket_wait(t, 1), MU_TICKET_PENDING);
	mu_journal_add_slot(j, SLOT, fake_write(key, "{\"owner\":\"a\"}"), 0);
	fake_mode(FAKE_OK, 0);
	mu_clock_advance(&test_clock, MU_US_PER_S);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_SLOT_LOST);
	mu_ticket_unref(t);
	assert_int_equal(journal_rows(), 0);
	t = append(j, "y", MU_TICKET_BUFFER);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(t);
	mu_journal_close(j);
	fake_reset();
}

static void
test_two_processes_of_one_name(void **state)
{
	struct mu_journal *j = open_owner();
	struct mu_ticket *t = append(j, "x", MU_TICKET_BUFFER);

	(void)state;
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(t);
	fake_write("lease/a", "{\"counter\":9,\"token\":\"other\"}");
	t = append(j, "y", MU_TICKET_BUFFER);
	assert_non_null(t);
	while (!__atomic_load_n(&lease_taken, __ATOMIC_ACQUIRE))
		continue;
	assert_int_equal(mu_journal_lease_left(j), 0);
	assert_int_equal(journal_rows(), 1);
	mu_journal_close(j);
	mu_ticket_unref(t);
	fake_reset();
}

/*
 * An earlier process of the same host still renews its lease, at the same
 * interval as its successor.  A successor that retries only after the interval
 * conflicts with a renewal each time.  The clock does not advance in this
 * test, so such a successor would wait for ever.
 */
static void
test_successor_follows_renewals_at_once(void **state)
{
	struct mu_journal *j;
	int polls = WAIT_MS;

	(void)state;
	fake_reset();
	fake_write("lease/a", "{\"counter\":3,\"token\":\"other\"}");
	fake_mode(FAKE_CONCURRENT_WRITE, 3);
	j = open_journal(RENEW_MS);
	while (mu_journal_lease_left(j) == 0 && polls-- > 0)
		mu_sleep_ms(1);
	assert_int_equal(
	    mu_journal_lease_left(j), (mu_us)LEASE_MS * MU_US_PER_MS);
	assert_false(__atomic_load_n(&lease_taken, __ATOMIC_ACQUIRE));
	mu_journal_close(j);
	fake_reset();
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_commit_and_lease),
	    cmocka_unit_test(test_lost_answer_is_committed_once),
	    cmocka_unit_test(test_answer_lost_of_a_write_that_did_not_run),
	    cmocka_unit_test(test_refused_at_once_or_kept),
	    cmocka_unit_test(test_buffer_is_bounded),
	    cmocka_unit_test(test_new_owner_makes_records_lost),
	    cmocka_unit_test(test_record_of_an_earlier_ownership),
	    cmocka_unit_test(test_takeover_during_a_lost_answer),
	    cmocka_unit_test(test_record_of_an_earlier_epoch_is_lost),
	    cmocka_unit_test(test_two_processes_of_one_name),
	    cmocka_unit_test(test_successor_follows_renewals_at_once),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
