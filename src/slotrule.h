/*
 * slotrule.h -- which slots this daemon claims, takes over or hands over.
 *
 * A pure function of the slot table and the hosts, so that daemons which see
 * the same rows agree without messages.  Where they see different rows the
 * table's checks decide; the rule only has to agree in the end.
 */
#ifndef MU_SLOTRULE_H
#define MU_SLOTRULE_H

#include "musher.h"

struct mu_slot_host {
	const char *name;
	bool live; /* in the host list, and heard (self: always) */
	bool leaving;
	bool lapsed; /* its lease lapsed on this daemon's clock */
};

struct mu_slot_view {
	const char *owner; /* NULL or "": no row yet */
	uint64_t epoch;
	bool held; /* owner is self, and this process holds it */
	/* owner is self, from an earlier process whose lease has lapsed */
	bool prior_process_lapsed;
};

enum mu_slot_action_kind {
	MU_SLOT_CLAIM, /* no row: put one with epoch 1 */
	MU_SLOT_TAKE_OVER, /* owner's lease lapsed: put epoch + 1 */
	MU_SLOT_HAND_OVER /* put `to` as owner with epoch + 1 */
};

struct mu_slot_action {
	enum mu_slot_action_kind kind;
	uint32_t slot;
	union {
		struct {
			uint64_t epoch; /* the new one */
		} claim, take_over;
		struct {
			uint64_t epoch; /* the new one */
			const char *to; /* borrowed from hosts */
		} hand_over;
	} u;
};

struct mu_slot_input {
	const struct mu_slot_view *slots;
	uint32_t nslots;
	const struct mu_slot_host *hosts;
	size_t nhosts;
	const char *self;
	uint32_t max_hand_over; /* hand-overs at once; 0: no bound */
};

/* Wire name of an action: "claim", "take_over" or "hand_over". */
const char *mu_slot_action_name(enum mu_slot_action_kind kind);
/*
 * Index in hosts of the host that should own slot, or -1 when none may.
 * Highest random weight (Thaler and Ravishankar, "Using name-based mappings
 * to increase hit rates", 1998).
 */
int
mu_slot_wanted(const struct mu_slot_host *hosts, size_t nhosts, uint32_t slot);
/*
 * Fills actions (room for cap) and returns how many; slots beyond cap wait
 * for the next round.
 */
size_t mu_slot_rule(
    const struct mu_slot_input *in, struct mu_slot_action *actions, size_t cap);

#endif
