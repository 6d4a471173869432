/*
 * budget.h -- budget of one program: tokens, calls and seconds.
 *
 * What an attempt may use is reserved before it is sent and settled after;
 * a child program's limits are set aside in its parent.  The state is plain
 * data that goes into the program's journal record whole.  Invariant, for
 * each unit: spent + reserved + granted <= limit, unless an endpoint used more
 * than it was allowed, which is then charged in full.
 */
#ifndef MU_BUDGET_H
#define MU_BUDGET_H

#include "musher.h"

struct mu_amount {
	uint64_t tokens; /* prompt and output tokens */
	uint64_t calls;
	uint64_t ms; /* time on endpoints, milliseconds */
};

struct mu_budget {
	struct mu_amount limit;
	struct mu_amount spent;
	struct mu_amount reserved; /* for attempts in progress */
	struct mu_amount child_grants; /* set aside for children that live */
};

enum mu_budget_unit {
	MU_BUDGET_NONE,
	MU_BUDGET_TOKENS,
	MU_BUDGET_CALLS,
	MU_BUDGET_SECONDS
};

enum mu_budget_kind {
	MU_BUDGET_GRANTED,
	MU_BUDGET_REFUSED
};

struct mu_budget_result {
	enum mu_budget_kind kind;
	union {
		struct mu_amount granted; /* the attempt must keep within it */
		struct {
			enum mu_errtype error; /* MU_E_BUDGET */
			enum mu_budget_unit unit; /* the first that ran out */
		} refused;
	} u;
};

/* Wire name: "none", "tokens", "calls" or "seconds". */
const char *mu_budget_unit_name(enum mu_budget_unit unit);

void mu_budget_init(
    struct mu_budget *b, uint64_t tokens, uint64_t calls, uint64_t seconds);
/* What may still be reserved. */
struct mu_amount mu_budget_left(const struct mu_budget *b);
/*
 * Reserves up to want, and at least need, for one attempt.  A call counts
 * once: its retries need and want 0 calls.  Cut the attempt's max_tokens and
 * time limit to what was granted.
 */
struct mu_budget_result mu_budget_reserve(struct mu_budget *b,
    const struct mu_amount *need, const struct mu_amount *want);
/* Ends a reservation with what the attempt used. */
void mu_budget_settle(struct mu_budget *b, const struct mu_amount *granted,
    const struct mu_amount *used);
/*
 * Ends a reservation whose use isn't known (the attempt may have run, no
 * usage came): all of it is charged.
 */
void
mu_budget_settle_in_full(struct mu_budget *b, const struct mu_amount *granted);
/*
 * After a takeover, on the state as last committed: what its last owner had
 * reserved may be used up, so it is charged.  Grants to children stay.
 */
void mu_budget_recover(struct mu_budget *b);
/* Sets limits for a child aside; exact, all or nothing. */
struct mu_budget_result mu_budget_grant_child(struct mu_budget *parent,
    const struct mu_amount *limit, struct mu_budget *child);
/* The child has ended: charges what it spent and frees the rest. */
void
mu_budget_end_child(struct mu_budget *parent, const struct mu_budget *child);

#endif
