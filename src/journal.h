/*
 * journal.h -- journal with group commit, and the daemon's lease.
 *
 * The journal makes changes to program history, budgets and intents durable in
 * the platform's table.  Records of all slots that this daemon owns are
 * batched into one transaction at a time.  The transaction is conditional on
 * the slot rows (and so on the epochs) and on this daemon's lease row, which
 * every transaction renews.
 *
 * A slot is a shard of the programs; its row names the owning daemon, and
 * every change of owner raises its epoch.  The lease is the time during which
 * the other daemons may not take over this daemon's slots.
 *
 * Rows: "slot/NNNN" holds the owner, "lease/HOST" the lease, and "j/NNNN/N..."
 * the records that one transaction wrote for one slot.
 */
#ifndef MU_JOURNAL_H
#define MU_JOURNAL_H

#include <jansson.h>

#include "musher.h"
#include "platform.h"

#define MU_KEY_SIZE 128

struct mu_journal;

enum mu_ticket_state {
	MU_TICKET_PENDING, /* not settled: may be, or become, durable */
	MU_TICKET_DURABLE,
	MU_TICKET_REFUSED, /* not durable, and never will be */
	MU_TICKET_SLOT_LOST /* another owner has the slot, or journal closed */
};

/* What happens to a record while the platform is unavailable. */
enum mu_ticket_policy {
	/* Refuse at once, unless the outcome of a write is still unknown. */
	MU_TICKET_FAIL_FAST,
	/* Buffer until it can be written. */
	MU_TICKET_BUFFER
};

struct mu_ticket;

struct mu_journal_conf {
	const char *host;
	uint64_t incarnation;
	uint32_t lease_ms;
	uint32_t renew_ms;
	uint32_t buffer; /* records buffered during a platform outage */
	const struct mu_clock *clock;
	void *arg;
	/* Called when a transaction finds that the slot has another owner. */
	void (*on_slot_lost)(void *arg, unsigned slot);
	/* Called when another process of this host name holds the lease. */
	void (*on_lease_taken)(void *arg);
};

int mu_journal_open(struct mu_journal **j, struct mu_platform *p,
    const struct mu_journal_conf *conf);
/* Writes the pending records if the platform is available, then stops. */
void mu_journal_close(struct mu_journal *j);

/*
 * Adds a slot that this daemon owns.  Its records are conditional on rev, the
 * revision of its row.
 */
void mu_journal_add_slot(
    struct mu_journal *j, unsigned slot, uint64_t rev, uint64_t next_row);
/* Removes a slot; its queued records become MU_TICKET_SLOT_LOST. */
void mu_journal_remove_slot(struct mu_journal *j, unsigned slot);
/* Number of unsettled records of the slot. */
unsigned mu_journal_pending(struct mu_journal *j, unsigned slot);
/* Number of the slot's next journal row. */
uint64_t mu_journal_next_row(struct mu_journal *j, unsigned slot);

/*
 * Queues a record and takes over the caller's reference to it.  Returns a
 * ticket, or NULL with e set when the record is refused at once.
 */
struct mu_ticket *mu_journal_append(struct mu_journal *j, unsigned slot,
    json_t *record, enum mu_ticket_policy policy, struct mu_error *e);
/* Waits until the ticket is settled or wait_ms have passed. */
enum mu_ticket_state mu_ticket_wait(struct mu_ticket *t, uint32_t wait_ms);
void mu_ticket_unref(struct mu_ticket *t);

/*
 * Time left on the lease, counted from before its renewal was sent; 0 when it
 * has lapsed.
 */
mu_us mu_journal_lease_left(struct mu_journal *j);
/*
 * As mu_journal_lease_left().  *late_renewals counts the renewals whose
 * confirmation arrived after the lease had ended: other daemons may have taken
 * over slots in between, so the table must be reread.
 */
mu_us mu_journal_lease_status(struct mu_journal *j, uint64_t *late_renewals);
/* Whether the platform answered the last transaction. */
bool mu_journal_platform_ok(struct mu_journal *j);
/*
 * Whether the record of a turn that runs now can be buffered until it is
 * written.
 */
bool mu_journal_can_buffer(struct mu_journal *j);
/*
 * Sets the minimum interval between two transactions, which keeps all daemons
 * together within the platform's write budget.
 */
void
mu_journal_set_commit_interval(struct mu_journal *j, uint32_t min_interval_ms);

void mu_slot_key(char key[MU_KEY_SIZE], unsigned slot);
void mu_lease_key(char key[MU_KEY_SIZE], const char *host);
void mu_journal_key(char key[MU_KEY_SIZE], unsigned slot, uint64_t row);

#endif
