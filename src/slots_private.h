/*
 * slots_private.h -- state shared by slots.c, takeover.c and snapshot.c.
 */
#ifndef MU_SLOTS_PRIVATE_H
#define MU_SLOTS_PRIVATE_H

#include "lease.h"
#include "slotrule.h"
#include "slots.h"

#define INCARNATION_LEN 17 /* 16 hex digits and a NUL */

/* Lease row of a host, as watched by this daemon. */
struct watched_lease {
	struct cds_list_head node;
	char host[MU_NAME_LEN];
	struct mu_lease_watch lease;
};

/* A slot row as last read.  incarnation is empty after a hand-over, until the
 * new owner adopts the slot. */
struct slot_row {
	char owner[MU_NAME_LEN];
	char incarnation[INCARNATION_LEN];
	uint64_t epoch;
	uint64_t rev;
};

struct mu_slots {
	/* Late renewals, by mu_journal_lease_status(), when the table was last
	 * read with the lease held.  While the journal counts more, the table
	 * must be reread before work may start.  Atomic. */
	uint64_t verified_late_count;
	struct mu_slots_conf conf;
	struct mu_slot *slot;
	/* Used by the controller only, without a lock. */
	struct slot_row *table;
	struct cds_list_head watched_leases;
	mu_us leases_read_at;
	bool lease_read_failed; /* since leases_read_at */
	/* Protected by lock. */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool refresh_requested;
	bool stopping;
	bool started;
	pthread_t controller;
};

/* Runs one round of the controller: reads the rows, decides and acts. */
void mu_slots_reconcile(struct mu_slots *s);
/* Gives the slot up and frees its programs; its lock is held. */
void mu_slot_drop(struct mu_slot *slot);
/* Rebuilds a slot, whose row names this process, from snapshot and journal. */
int mu_slot_recover(struct mu_slots *s, struct mu_slot *slot, uint64_t epoch,
    uint64_t rev, struct mu_error *e);
/* Writes a snapshot of each slot whose journal has grown long. */
void mu_slots_snapshot(struct mu_slots *s);

#endif
