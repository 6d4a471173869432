/*
 * slots_private.h -- private state of slots.c, takeover.c and snapshot.c.
 */
#ifndef MU_SLOTS_PRIVATE_H
#define MU_SLOTS_PRIVATE_H

#include "lease.h"
#include "slotrule.h"
#include "slots.h"

#define INCARNATION_LEN 17 /* 16 hex digits and a NUL */

/* A host's lease row as this daemon watches it. */
struct watched_lease {
	struct cds_list_head node;
	char host[MU_NAME_LEN];
	struct mu_lease_watch lease;
};

/* A slot row as last read. */
struct slot_row {
	char owner[MU_NAME_LEN];
	char incarnation[INCARNATION_LEN]; /* empty: handed over, not adopted */
	uint64_t epoch;
	uint64_t rev;
};

struct mu_slots {
	/* mu_journal_lease()'s late, as of the last round that read the table
	 * with the lease held; atomic. */
	uint64_t verified_late_count;
	struct mu_slots_conf conf;
	struct mu_slot *slot;
	/* Controller's own; no lock. */
	struct slot_row *table;
	struct cds_list_head watched_leases;
	mu_us leases_read_at; /* when the leases were last read */
	bool lease_read_failed; /* a read has failed since */
	/* Under lock. */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool refresh_requested;
	bool stopping;
	bool started;
	pthread_t controller;
};

/* One round of the controller: read, decide, act. */
void mu_slots_reconcile(struct mu_slots *s);
/* Forgets the slot's programs; its lock is held. */
void mu_slot_drop(struct mu_slot *slot);
/* Reads snapshot and journal of a slot whose row is ours. */
int mu_slot_recover(struct mu_slots *s, struct mu_slot *slot, uint64_t epoch,
    uint64_t rev, struct mu_error *e);
/* Writes a snapshot of each slot whose journal has grown long. */
void mu_slots_snapshot(struct mu_slots *s);

#endif
