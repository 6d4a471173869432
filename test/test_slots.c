/*
 * test_slots.c -- claim, takeover, recovery, hand-over, snapshots.
 *
 * Runs the controllers of two daemons on one table in memory, round by round;
 * each has a clock that the test advances.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <sodium.h>

#include "fakeplatform.h"
#include "slots_private.h"

#define SLOTS 8
#define LEASE_MS 60
#define WAIT_MS 20000 /* timeout of the test */

struct daemon {
	struct mu_clock clk;
	struct mu_board board;
	struct mu_journal *journal;
	struct mu_slots *slots;
	const char *host;
};

static struct daemon a, b;

static void
on_slot_lost(void *arg, unsigned slot)
{
	mu_slots_ownership_lost(((struct daemon *)arg)->slots, slot);
}

static void
on_lease_taken(void *arg)
{
	(void)arg;
}

/* Publishes a fleet of the given hosts, all up. */
static void
set_fleet(struct daemon *d, const char *const *hosts, const char *leaving)
{
	struct mu_bd_fleet *f = calloc(1, sizeof(*f));

	f->daemons = calloc(4, sizeof(*f->daemons));
	for (; *hosts != NULL; hosts++) {
		(void)snprintf(
		    f->daemons[f->ndaemons].host, MU_NAME_LEN, "%s", *hosts);
		f->daemons[f->ndaemons].up = true;
		f->daemons[f->ndaemons].leaving =
		    leaving != NULL && strcmp(leaving, *hosts) == 0;
		f->ndaemons++;
	}
	mu_board_set_fleet(&d->board, f);
}

static const char *const only_a[] = {"a", NULL};
static const char *const only_b[] = {"b", NULL};
static const char *const a_and_b[] = {"a", "b", NULL};

static void
start(struct daemon *d, const char *host, uint64_t incarnation)
{
	struct mu_slots_conf sc = {0};
	struct mu_journal_conf jc = {0};

	memset(d, 0, sizeof(*d));
	d->host = host;
	mu_clock_manual(&d->clk, MU_US_PER_S);
	mu_board_init(&d->board);
	sc.host = host;
	sc.incarnation = incarnation;
	sc.count = SLOTS;
	sc.lease_ms = LEASE_MS;
	sc.poll_ms = 1000;
	sc.clock = &d->clk;
	sc.board = &d->board;
	assert_int_equal(mu_slots_open(&d->slots, &sc), 0);
	jc.host = host;
	jc.incarnation = incarnation;
	jc.lease_ms = LEASE_MS;
	jc.renew_ms = LEASE_MS / 3;
	jc.buffer = 16;
	jc.clock = &d->clk;
	jc.arg = d;
	jc.on_slot_lost = on_slot_lost;
	jc.on_lease_taken = on_lease_taken;
	assert_int_equal(mu_journal_open(&d->journal, NULL, &jc), 0);
	mu_slots_set_journal(d->slots, d->journal);
}

static void
stop(struct daemon *d)
{
	mu_journal_close(d->journal);
	mu_slots_close(d->slots);
	mu_board_clear(&d->board);
}

/* Advances the clock until the journal has renewed the lease. */
static void
renew(struct daemon *d)
{
	mu_us left;

	mu_clock_advance(&d->clk, LEASE_MS / 3 * MU_US_PER_MS);
	do
		left = mu_journal_lease_left(d->journal);
	while (left < LEASE_MS * MU_US_PER_MS);
}

/* Creates a durable program in the slot; returns its id. */
static void
make_program(struct daemon *d, unsigned number, char id[MU_ID_LEN + 1])
{
	struct mu_slot *slot;
	struct mu_ticket *t;
	struct mu_budget budget;
	struct mu_error e;
	json_t *record;

	mu_budget_init(&budget, 1000, 10, 60);
	mu_slots_new_id(number, id);
	slot = mu_slots_lock(d->slots, number, MU_US_NEVER, &e);
	assert_non_null(slot);
	record = mu_record_create(id, "cook", "", &budget);
	t = mu_journal_append(
	    d->journal, number, json_incref(record), MU_TICKET_FAIL_FAST, &e);
	assert_non_null(t);
	assert_int_equal(mu_record_apply(&slot->programs, record, &e), 0);
	json_decref(record);
	mu_slot_unlock(slot);
	mu_clock_advance(&d->clk, 1);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_DURABLE);
	mu_ticket_unref(t);
}

static bool
has_program(struct daemon *d, unsigned number, const char *id)
{
	struct mu_slot *slot;
	struct mu_error e;
	bool found;

	slot = mu_slots_lock(d->slots, number, 0, &e);
	if (slot == NULL)
		return false;
	found = mu_program_find(&slot->programs, id) != NULL;
	mu_slot_unlock(slot);
	return found;
}

static void
setup_two(void)
{
	fake_reset();
	start(&a, "a", 1);
	start(&b, "b", 2);
	renew(&a);
	renew(&b);
	set_fleet(&a, only_a, NULL);
	set_fleet(&b, only_b, NULL);
	mu_slots_reconcile(a.slots);
	assert_int_equal(mu_slots_count_owned(a.slots), SLOTS);
}

static void
teardown_two(void)
{
	stop(&a);
	stop(&b);
	fake_reset();
}

static void
test_ids_name_their_slot(void **state)
{
	char id[MU_ID_LEN + 1];
	unsigned n;

	(void)state;
	setup_two();
	mu_slots_new_id(5, id);
	assert_true(mu_slots_parse_id(a.slots, id, &n));
	assert_int_equal(n, 5);
	mu_slots_new_id(SLOTS, id);
	assert_false(mu_slots_parse_id(a.slots, id, &n));
	assert_false(mu_slots_parse_id(a.slots, "", &n));
	assert_false(mu_slots_parse_id(a.slots, "0000zz", &n));
	teardown_two();
}

static void
test_no_takeover_while_the_lease_moves(void **state)
{
	int i;

	(void)state;
	setup_two();
	for (i = 0; i < 10; i++) {
		renew(&a);
		mu_slots_reconcile(b.slots);
		renew(&b);
	}
	assert_int_equal(mu_slots_count_owned(b.slots), 0);
	assert_int_equal(mu_slots_count_owned(a.slots), SLOTS);
	teardown_two();
}

static void
test_takeover_recovers_programs(void **state)
{
	char id[MU_ID_LEN + 1];

	(void)state;
	setup_two();
	make_program(&a, 3, id);
	/* The clock of a stops from here on, so a renews nothing. */
	mu_slots_reconcile(b.slots);
	renew(&b);
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), 0);
	mu_clock_advance(&b.clk, LEASE_MS * MU_US_PER_MS);
	renew(&b);
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), SLOTS);
	assert_true(has_program(&b, 3, id));
	teardown_two();
}

/* Slots are taken over and handed back before their first owner notices. */
static void
test_handed_back_before_it_was_missed(void **state)
{
	char id[MU_ID_LEN + 1];

	(void)state;
	setup_two();
	mu_slots_reconcile(b.slots);
	mu_clock_advance(&b.clk, LEASE_MS * MU_US_PER_MS);
	renew(&b);
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), SLOTS);
	make_program(&b, 1, id);
	renew(&a);
	set_fleet(&a, a_and_b, "b");
	set_fleet(&b, a_and_b, "b");
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), 0);
	mu_slots_reconcile(a.slots);
	assert_int_equal(mu_slots_count_owned(a.slots), SLOTS);
	assert_true(has_program(&a, 1, id));
	teardown_two();
}

static void
test_frozen_owner_loses_its_write(void **state)
{
	char id[MU_ID_LEN + 1];
	struct mu_slot *slot;
	struct mu_ticket *t;
	struct mu_error e;

	(void)state;
	setup_two();
	make_program(&a, 3, id);
	mu_slots_reconcile(b.slots);
	mu_clock_advance(&b.clk, LEASE_MS * MU_US_PER_MS);
	renew(&b);
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), SLOTS);
	slot = mu_slots_lock(a.slots, 3, MU_US_NEVER, &e);
	assert_non_null(slot);
	t = mu_journal_append(
	    a.journal, 3, mu_record_end(id), MU_TICKET_BUFFER, &e);
	mu_slot_unlock(slot);
	mu_clock_advance(&a.clk, 1);
	assert_int_equal(mu_ticket_wait(t, WAIT_MS), MU_TICKET_SLOT_LOST);
	mu_ticket_unref(t);
	while (mu_slots_lock(a.slots, 3, 0, &e) != NULL)
		mu_slot_unlock(&a.slots->slot[3]);
	assert_int_equal(e.type, MU_E_NOT_OWNER);
	teardown_two();
}

static void
test_new_process_takes_its_own_slots_at_once(void **state)
{
	char id[MU_ID_LEN + 1];
	struct daemon restarted;

	(void)state;
	setup_two();
	make_program(&a, 2, id);
	start(&restarted, "a", 9);
	set_fleet(&restarted, only_a, NULL);
	renew(&restarted);
	mu_slots_reconcile(restarted.slots);
	assert_int_equal(mu_slots_count_owned(restarted.slots), SLOTS);
	assert_true(has_program(&restarted, 2, id));
	stop(&restarted);
	teardown_two();
}

/* No lease lapses in an outage, as its holder could not renew it either. */
static void
test_no_takeover_after_an_outage(void **state)
{
	(void)state;
	setup_two();
	mu_slots_reconcile(b.slots);
	fake.unreadable = true;
	mu_clock_advance(&b.clk, LEASE_MS * MU_US_PER_MS);
	mu_slots_reconcile(b.slots);
	fake.unreadable = false;
	renew(&b);
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), 0);
	/* The holder stays down, so its lease lapses after the outage. */
	mu_clock_advance(&b.clk, LEASE_MS * MU_US_PER_MS);
	renew(&b);
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), SLOTS);
	teardown_two();
}

static void
test_lost_answer_to_a_takeover(void **state)
{
	char id[MU_ID_LEN + 1];

	(void)state;
	setup_two();
	make_program(&a, 3, id);
	mu_slots_reconcile(b.slots);
	mu_clock_advance(&b.clk, LEASE_MS * MU_US_PER_MS);
	renew(&b);
	fake_mode(FAKE_COMMIT_ANSWER_LOST, 1);
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), SLOTS);
	assert_true(has_program(&b, 3, id));
	teardown_two();
}

static void
test_hand_over_keeps_programs(void **state)
{
	char id[SLOTS][MU_ID_LEN + 1];
	unsigned i, moved = 0;

	(void)state;
	setup_two();
	for (i = 0; i < SLOTS; i++)
		make_program(&a, i, id[i]);
	set_fleet(&a, a_and_b, "a");
	set_fleet(&b, a_and_b, "a");
	MU_ATOMIC_STORE(a.board.leaving, true);
	mu_slots_reconcile(a.slots);
	assert_int_equal(mu_slots_count_owned(a.slots), 0);
	mu_slots_reconcile(b.slots);
	for (i = 0; i < SLOTS; i++)
		moved += has_program(&b, i, id[i]);
	assert_int_equal(moved, SLOTS);
	teardown_two();
}

/* While a holder is paused, its slot is taken over, changed and handed back:
 * its state in memory is outdated, so it must reread the slot. */
static void
test_woken_holder_reads_its_slot_again(void **state)
{
	char id[MU_ID_LEN + 1];
	struct mu_error e;

	(void)state;
	setup_two();
	mu_slots_reconcile(b.slots);
	mu_clock_advance(&b.clk, LEASE_MS * MU_US_PER_MS);
	renew(&b);
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), SLOTS);
	make_program(&b, 3, id);
	/* a resumes and renews its lease, but has not reread the table. */
	mu_clock_advance(&a.clk, 2 * LEASE_MS * MU_US_PER_MS);
	renew(&a);
	assert_null(mu_slots_lock(a.slots, 3, 0, &e));
	assert_int_equal(e.type, MU_E_NOT_OWNER);
	set_fleet(&b, a_and_b, "b");
	MU_ATOMIC_STORE(b.board.leaving, true);
	mu_slots_reconcile(b.slots);
	assert_int_equal(mu_slots_count_owned(b.slots), 0);
	assert_null(mu_slots_lock(a.slots, 3, 0, &e));
	mu_slots_reconcile(a.slots);
	assert_true(has_program(&a, 3, id));
	teardown_two();
}

/* Slots are handed over to a host that should no longer own them when it reads
 * the table: it recovers them all the same and hands them back. */
static void
test_hand_over_to_a_host_not_wanted(void **state)
{
	char id[MU_ID_LEN + 1];

	(void)state;
	setup_two();
	make_program(&a, 1, id);
	set_fleet(&a, a_and_b, "a");
	mu_slots_reconcile(a.slots);
	assert_int_equal(mu_slots_count_owned(a.slots), 0);
	set_fleet(&a, a_and_b, "b");
	set_fleet(&b, a_and_b, "b");
	mu_slots_reconcile(b.slots);
	mu_slots_reconcile(a.slots);
	assert_int_equal(mu_slots_count_owned(a.slots), SLOTS);
	assert_true(has_program(&a, 1, id));
	teardown_two();
}

static void
test_busy_slot_is_not_handed_over(void **state)
{
	struct mu_slot *slot;
	struct mu_error e;

	(void)state;
	setup_two();
	slot = mu_slots_lock(a.slots, 4, MU_US_NEVER, &e);
	slot->running++;
	mu_slot_unlock(slot);
	set_fleet(&a, a_and_b, "a");
	MU_ATOMIC_STORE(a.board.leaving, true);
	mu_slots_reconcile(a.slots);
	assert_int_equal(mu_slots_count_owned(a.slots), 1);
	/* New calls are rejected as not run in the meantime. */
	assert_null(mu_slots_lock(a.slots, 4, 0, &e));
	assert_int_equal(e.outcome, MU_OUTCOME_NOT_RUN);
	slot = mu_slots_lock_at_epoch(a.slots, 4, a.slots->slot[4].epoch);
	assert_non_null(slot);
	slot->running--;
	mu_slot_unlock(slot);
	mu_slots_reconcile(a.slots);
	assert_int_equal(mu_slots_count_owned(a.slots), 0);
	teardown_two();
}

static void
test_snapshot_shortens_the_journal(void **state)
{
	char id[MU_ID_LEN + 1], first_id[MU_ID_LEN + 1];
	struct mu_rows rows;
	struct mu_error e;
	int i;

	(void)state;
	setup_two();
	make_program(&a, 1, first_id);
	for (i = 0; i < 200; i++)
		make_program(&a, 1, id);
	renew(&a);
	mu_slots_reconcile(a.slots);
	mu_platform_list(NULL, "j/0001/", NULL, 1000, &rows, &e);
	assert_int_equal(rows.count, 0);
	mu_rows_clear(&rows);
	make_program(&a, 1, id);
	mu_slots_reconcile(b.slots);
	mu_clock_advance(&b.clk, LEASE_MS * MU_US_PER_MS);
	renew(&b);
	mu_slots_reconcile(b.slots);
	assert_true(has_program(&b, 1, first_id));
	assert_true(has_program(&b, 1, id));
	teardown_two();
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_ids_name_their_slot),
	    cmocka_unit_test(test_no_takeover_while_the_lease_moves),
	    cmocka_unit_test(test_takeover_recovers_programs),
	    cmocka_unit_test(test_handed_back_before_it_was_missed),
	    cmocka_unit_test(test_frozen_owner_loses_its_write),
	    cmocka_unit_test(test_new_process_takes_its_own_slots_at_once),
	    cmocka_unit_test(test_no_takeover_after_an_outage),
	    cmocka_unit_test(test_lost_answer_to_a_takeover),
	    cmocka_unit_test(test_hand_over_keeps_programs),
	    cmocka_unit_test(test_woken_holder_reads_its_slot_again),
	    cmocka_unit_test(test_hand_over_to_a_host_not_wanted),
	    cmocka_unit_test(test_busy_slot_is_not_handed_over),
	    cmocka_unit_test(test_snapshot_shortens_the_journal),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
