/*
 * slotrule.h -- which slots this daemon claims, takes over or hands over.
 *
 * A pure function of the slot table and the hosts, so daemons that read the
 * same rows agree without exchanging messages.  When they read different rows,
 * the row checks of the transactions decide; the rule only has to agree
 * eventually.
 */
#ifndef MU_SLOTRULE_H
#define MU_SLOTRULE_H

#include "musher.h"

struct mu_slot_host {
	const char *name;
	bool live; /* on the host list, peer link up (self: always) */
	bool leaving;
	bool lapsed; /* its lease lapsed by this daemon's clock */
};

struct mu_slot_view {
	const char *owner; /* NULL or "": no row yet */
	uint64_t epoch;
	bool held; /* owner is self, and this process holds it */
	/* owner is self, from an earlier process whose lease has lapsed */
	bool prior_process_lapsed;
};

enum mu_slot_action_kind {
	MU_SLOT_CLAIM, /* no row: insert one with epoch 1 */
	MU_SLOT_TAKE_OVER, /* owner's lease lapsed: become owner at epoch + 1 */
	MU_SLOT_HAND_OVER /* make `to` the owner at epoch + 1 */
};

struct mu_slot_action {
	enum mu_slot_action_kind kind;
	uint32_t slot;
	union {
		struct {
			uint64_t epoch; /* new epoch */
		} claim, take_over;
		struct {
			uint64_t epoch; /* new epoch */
			const char *to; /* points into hosts */
		} hand_over;
	} u;
};

struct mu_slot_input {
	const struct mu_slot_view *slots;
	uint32_t nslots;
	const struct mu_slot_host *hosts;
	size_t nhosts;
	const char *self;
	uint32_t max_hand_over; /* most hand-overs to return; 0: no limit */
};

/* Wire name of an action: "claim", "take_over" or "hand_over". */
const char *mu_slot_action_name(enum mu_slot_action_kind kind);
/*
 * Index in hosts of the host that should own slot, or -1 when none may.
 * Highest random weight (Thaler and Ravishankar, "Using name-based mappings
 * to increase hit rates", 1998).
 */
int mu_slot_preferred_host(
    const struct mu_slot_host *hosts, size_t nhosts, uint32_t slot);
/*
 * Stores up to cap actions and returns their number; slots that do not fit are
 * left to the next round.
 */
size_t mu_slot_rule(
    const struct mu_slot_input *in, struct mu_slot_action *actions, size_t cap);

#endif
