/*
 * slots.h -- the slots that this daemon owns: claim, takeover, recovery,
 * hand-over and snapshots.
 */
#ifndef MU_SLOTS_H
#define MU_SLOTS_H

#include <pthread.h>

#include "board.h"
#include "journal.h"
#include "platform.h"
#include "program.h"

enum mu_slot_state {
	MU_SLOT_NOT_OWNED, /* another daemon's, or nobody's */
	MU_SLOT_RECOVERING, /* ours; its journal is being read */
	MU_SLOT_OWNED,
	MU_SLOT_HANDING /* ours; takes no new calls, waits for the last one */
};

/* One slot; lock covers everything in it. */
struct mu_slot {
	pthread_mutex_t lock;
	pthread_cond_t changed; /* state, end of a call, new seq */
	unsigned number;
	enum mu_slot_state state;
	uint64_t epoch;
	uint64_t rev; /* of the slot row */
	struct mu_programs programs;
	unsigned running; /* calls in progress */
	uint64_t snapshot_row; /* rows below it are in the snapshot */
	unsigned busy_rounds; /* hand-over wanted, but calls were running */
};

struct mu_slots;

struct mu_slots_conf {
	const char *host;
	uint64_t incarnation;
	unsigned count; /* of slots, equal on all daemons */
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
/* Stops the controller; the state stays until close. */
void mu_slots_set_stop(struct mu_slots *s);
void mu_slots_close(struct mu_slots *s);
void mu_slots_set_journal(struct mu_slots *s, struct mu_journal *j);

/* Slot of a program id; false when the id has no valid form. */
bool mu_slots_of(const struct mu_slots *s, const char *id, unsigned *slot);
/* A new program id in slot. */
void mu_slots_new_id(unsigned slot, char id[MU_ID_LEN + 1]);

/*
 * Locks the slot and returns it if this daemon owns it and may start work in
 * it; otherwise NULL with e set (NOT_OWNER: ask the owner).  Waits while the
 * slot is being recovered or handed over, until the deadline.
 */
struct mu_slot *mu_slots_enter(
    struct mu_slots *s, unsigned slot, mu_us deadline, struct mu_error *e);
/* Locks the slot while it is held at all; NULL when it is lost. */
struct mu_slot *
mu_slots_reenter(struct mu_slots *s, unsigned slot, uint64_t epoch);
void mu_slots_leave(struct mu_slot *slot);
/* Whether the lease holds for margin and the slot table was read since it was
 * gained: the look just before a call is sent (spec: Send). */
bool mu_slots_may_send(struct mu_slots *s, mu_us margin);
/* A random owned slot for a new program, or -1. */
int mu_slots_pick(struct mu_slots *s);

unsigned mu_slots_owned(struct mu_slots *s);
/* Calls fn for each owned slot with its lock held. */
void mu_slots_each(
    struct mu_slots *s, void (*fn)(void *arg, struct mu_slot *slot), void *arg);
/* Another daemon owns the slot now; drops it. Called by the journal. */
void mu_slots_lost(struct mu_slots *s, unsigned slot);
/* Reads the table again soon: a request met a stale view. */
void mu_slots_kick(struct mu_slots *s);

#endif
