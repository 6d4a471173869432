/*
 * budget.h -- budget of one program: tokens, calls and seconds.
 *
 * To reserve is to deduct what an attempt may use before it is sent; to settle
 * is to replace that by what it did use.  A child program's limits are deducted
 * from its parent.  The state is plain data without pointers, so that it can be
 * stored in the journal.  Invariant, for each unit: spent + reserved +
 * child_grants <= limit, unless an endpoint used more than it was allowed,
 * which is charged in full.
 */
#ifndef MU_BUDGET_H
#define MU_BUDGET_H

#include "musher.h"

struct mu_amount {
	uint64_t tokens; /* prompt and output tokens */
	uint64_t calls;
	uint64_t ms; /* time spent on endpoints */
};

struct mu_budget {
	struct mu_amount limit;
	struct mu_amount spent;
	struct mu_amount reserved; /* for attempts in progress */
	struct mu_amount child_grants; /* limits of running children */
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
		struct mu_amount granted; /* limit of the attempt */
		struct {
			enum mu_errtype error; /* MU_E_BUDGET */
			enum mu_budget_unit unit; /* first one exhausted */
		} refused;
	} u;
};

/* Wire name: "none", "tokens", "calls" or "seconds". */
const char *mu_budget_unit_name(enum mu_budget_unit unit);

void mu_budget_init(
    struct mu_budget *b, uint64_t tokens, uint64_t calls, uint64_t seconds);
/* Amount that can still be reserved. */
struct mu_amount mu_budget_left(const struct mu_budget *b);
/*
 * Reserves up to want, and at least need, for one attempt, whose max_tokens and
 * time limit the caller must then limit to the amount granted.  A call counts
 * once: its retries need and want 0 calls.
 */
struct mu_budget_result mu_budget_reserve(struct mu_budget *b,
    const struct mu_amount *need, const struct mu_amount *want);
/* Ends a reservation and charges what the attempt used. */
void mu_budget_settle(struct mu_budget *b, const struct mu_amount *granted,
    const struct mu_amount *used);
/*
 * Ends a reservation and charges all of it: the attempt may have run, but its
 * usage was not reported.
 */
void
mu_budget_settle_in_full(struct mu_budget *b, const struct mu_amount *granted);
/*
 * Charges all reservations of the last committed state after a takeover: the
 * previous owner's attempts may have used them.  Grants to children stay.
 */
void mu_budget_recover(struct mu_budget *b);
/* Deducts a child's limits from its parent; refused unless all fit. */
struct mu_budget_result mu_budget_grant_child(struct mu_budget *parent,
    const struct mu_amount *limit, struct mu_budget *child);
/* Ends a child's grant: charges what it spent and releases the rest. */
void
mu_budget_end_child(struct mu_budget *parent, const struct mu_budget *child);

#endif
