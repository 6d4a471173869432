/*
 * slots.h -- ownership of slots: claim, takeover, recovery, hand-over and
 * snapshots.
 *
 * Programs are divided among a fixed number of slots; a program's id contains
 * its slot.  A row of the platform's table names each slot's owner and its
 * epoch, which grows with each change of owner.
 */
#ifndef MU_SLOTS_H
#define MU_SLOTS_H

#include <pthread.h>

#include "board.h"
#include "journal.h"
#include "platform.h"
#include "program.h"

enum mu_slot_state {
	MU_SLOT_NOT_OWNED, /* owned by another daemon or by none */
	MU_SLOT_RECOVERING, /* owned here; its journal is being read */
	MU_SLOT_OWNED,
	MU_SLOT_HANDING_OVER /* owned here until handed over; no new calls */
};

/* A slot; lock protects all other fields. */
struct mu_slot {
	pthread_mutex_t lock;
	pthread_cond_t changed; /* new state, call ended, new seq */
	unsigned number;
	enum mu_slot_state state;
	uint64_t epoch;
	uint64_t rev; /* of the slot row */
	struct mu_programs programs;
	unsigned running; /* calls in progress */
	uint64_t snapshot_row; /* journal rows below it are in the snapshot */
	unsigned busy_rounds; /* rounds in which calls delayed a hand-over */
};

struct mu_slots;

struct mu_slots_conf {
	const char *host;
	uint64_t incarnation;
	unsigned count; /* number of slots, equal on all daemons */
	uint32_t lease_ms;
	uint32_t poll_ms;
	const struct mu_clock *clock;
	struct mu_board *board;
	struct mu_platform *platform;
	struct mu_journal *journal;
};

int mu_slots_open(struct mu_slots **s, const struct mu_slots_conf *conf);
/* Starts the controller; the journal must be open. */
int mu_slots_start(struct mu_slots *s);
/* Stops the controller; the state of the slots is kept until close. */
void mu_slots_stop(struct mu_slots *s);
void mu_slots_close(struct mu_slots *s);
void mu_slots_set_journal(struct mu_slots *s, struct mu_journal *j);

/* Extracts the slot from a program id; false when the id is malformed. */
bool
mu_slots_parse_id(const struct mu_slots *s, const char *id, unsigned *slot);
/* Generates the id of a new program in slot. */
void mu_slots_new_id(unsigned slot, char id[MU_ID_LEN + 1]);

/*
 * Locks the slot and returns it if this daemon owns it and may start work in
 * it; otherwise returns NULL with e set (NOT_OWNER: query the owner).  Waits
 * until the deadline while the slot is being recovered or handed over.
 */
struct mu_slot *mu_slots_lock(
    struct mu_slots *s, unsigned slot, mu_us deadline, struct mu_error *e);
/* Locks the slot if this daemon still holds it at epoch, even while it is being
 * handed over; otherwise returns NULL. */
struct mu_slot *
mu_slots_lock_at_epoch(struct mu_slots *s, unsigned slot, uint64_t epoch);
void mu_slot_unlock(struct mu_slot *slot);
/* Whether the lease is valid for longer than margin and the slot table was read
 * since it was gained; checked just before a call is sent (spec: Send). */
bool mu_slots_may_send(struct mu_slots *s, mu_us margin);
/* A random owned slot for a new program; -1 if none is owned. */
int mu_slots_pick_owned(struct mu_slots *s);

unsigned mu_slots_count_owned(struct mu_slots *s);
/* Calls fn for each owned slot with its lock held. */
void mu_slots_for_each_owned(
    struct mu_slots *s, void (*fn)(void *arg, struct mu_slot *slot), void *arg);
/* Drops a slot that another daemon owns now.  Called by the journal. */
void mu_slots_ownership_lost(struct mu_slots *s, unsigned slot);
/* Makes the controller reread the table at once, as what it read last is out of
 * date. */
void mu_slots_request_refresh(struct mu_slots *s);

#endif
