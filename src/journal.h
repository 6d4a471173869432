/*
 * journal.h -- group commit of history, budget and intents, and the lease.
 *
 * Records of all slots that this daemon owns are gathered into one table
 * transaction at a time, conditional on the slot rows (and so on the epochs)
 * and on this daemon's lease row, which each transaction renews.
 *
 * Rows: "slot/NNNN" the owner, "lease/HOST" the lease, "j/NNNN/N..." the
 * records of one transaction for one slot.
 */
#ifndef MU_JOURNAL_H
#define MU_JOURNAL_H

#include <jansson.h>

#include "musher.h"
#include "platform.h"

#define MU_KEY_LEN 128

struct mu_journal;

enum mu_ticket_state {
	MU_TICKET_PENDING, /* not settled: may be, or become, durable */
	MU_TICKET_DONE, /* durable */
	MU_TICKET_REFUSED, /* not durable and never will be */
	MU_TICKET_LOST /* the slot has another owner */
};

/* What to do with a record while the platform is down. */
enum mu_ticket_policy {
	MU_TICKET_REFUSE, /* refuse at once, unless a write is in doubt */
	MU_TICKET_KEEP /* keep until it can be written */
};

struct mu_ticket;

struct mu_journal_conf {
	const char *host;
	uint64_t incarnation;
	uint32_t lease_ms;
	uint32_t renew_ms;
	uint32_t buffer; /* records kept while the platform is down */
	const struct mu_clock *clock;
	void *arg;
	/* A transaction found that the slot has another owner. */
	void (*on_lost)(void *arg, unsigned slot);
	/* The lease row is held by another process of the same host name. */
	void (*on_usurped)(void *arg);
};

int mu_journal_open(struct mu_journal **j, struct mu_platform *p,
    const struct mu_journal_conf *conf);
/* Writes what is pending if the platform answers, then stops. */
void mu_journal_close(struct mu_journal *j);

/* From now on records of slot are conditional on its row's revision. */
void mu_journal_own(
    struct mu_journal *j, unsigned slot, uint64_t rev, uint64_t next_row);
/* Drops the slot; its pending records end as LOST. */
void mu_journal_disown(struct mu_journal *j, unsigned slot);
/* Records of slot that are not settled. */
unsigned mu_journal_pending(struct mu_journal *j, unsigned slot);
/* Number of the next journal row of slot. */
uint64_t mu_journal_next_row(struct mu_journal *j, unsigned slot);

/*
 * Queues a record (takes the reference).  Returns a ticket, or NULL with e
 * set when it is refused at once.
 */
struct mu_ticket *mu_journal_append(struct mu_journal *j, unsigned slot,
    json_t *record, enum mu_ticket_policy policy, struct mu_error *e);
/* Waits until the ticket is settled or wait_ms have passed. */
enum mu_ticket_state mu_ticket_wait(struct mu_ticket *t, uint32_t wait_ms);
void mu_ticket_unref(struct mu_ticket *t);

/* Time left on the lease as its holder must count it; 0 when lapsed. */
mu_us mu_journal_lease_left(struct mu_journal *j);
/* The same; *late is raised by each renewal that was known only after the lease
 * had ended: others may own the slots since, so the table must be read. */
mu_us mu_journal_lease(struct mu_journal *j, uint64_t *late_renewals);
/* True while the last transaction was answered. */
bool mu_journal_platform_ok(struct mu_journal *j);
/* Whether a turn that runs now can be kept until it is written. */
bool mu_journal_accepts(struct mu_journal *j);
/* Shortest time between two transactions, so that all daemons together stay
 * within the platform's write budget. */
void mu_journal_set_gap(struct mu_journal *j, uint32_t min_interval_ms);

void mu_slot_key(char key[MU_KEY_LEN], unsigned slot);
void mu_lease_key(char key[MU_KEY_LEN], const char *host);
void mu_journal_key(char key[MU_KEY_LEN], unsigned slot, uint64_t row);

#endif
