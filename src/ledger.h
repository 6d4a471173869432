/*
 * ledger.h -- token budget of one program at one daemon.
 *
 * The program's row in the store counts the tokens that were granted to
 * daemons, used or not.  A daemon draws a share of the budget by a conditional
 * write of that row and then spends it without the store.  Whoever draws,
 * the sum of all grants stays within the budget, so no daemon has to be the
 * only one, and what a dead daemon had drawn counts as spent.
 *
 * A part of every budget is granted to the program's guarantor from the start,
 * without a row (guarantor.h).  It lends from that part to daemons that cannot
 * draw because the store is out, and releases the rest to a daemon that needs
 * it.  Until then draws leave that part alone, but for as much as the largest
 * turn may use: a program may exceed its budget by no more than that.  Pure.
 */
#ifndef MU_LEDGER_H
#define MU_LEDGER_H

#include "musher.h"

struct mu_ledger {
	uint64_t budget; /* tokens, of the whole program */
	uint64_t granted; /* to all daemons, as the row last said */
	uint64_t drawn; /* by this daemon, and borrowed */
	uint64_t borrowed; /* of drawn, from the guarantor: not in the row */
	uint64_t spent; /* of drawn */
	uint64_t reserved; /* of drawn, for turns in progress */
	uint64_t largest_turn; /* largest reservation asked for */
	bool released; /* the guarantor lends no more... */
	uint64_t lent; /* ...and had lent this much, to all daemons */
};

enum mu_ledger_action {
	MU_LEDGER_RESERVED,
	MU_LEDGER_DRAW, /* draw first, then ask again */
	MU_LEDGER_RELEASE, /* ask the guarantor for its part, then again */
	MU_LEDGER_EXHAUSTED
};

struct mu_ledger_decision {
	enum mu_ledger_action action;
	uint64_t draw; /* DRAW: tokens to draw */
	uint64_t shortfall; /* DRAW, RELEASE: tokens that the turn lacks */
};

/* Tokens of a budget that are the guarantor's. */
uint64_t mu_ledger_guarantor_share(uint64_t budget);
/* Tokens that it may lend to turns of which none uses more than most: never
 * less than one turn, as draws of a budget so small leave nothing out. */
uint64_t mu_ledger_lendable(uint64_t budget, uint64_t max_tokens);
/* Reserves most tokens for a turn. */
struct mu_ledger_decision
mu_ledger_reserve(struct mu_ledger *l, uint64_t max_tokens);
/* Reserves all that this daemon has left, at least `least`; returns the tokens
 * reserved, 0 when there are fewer. */
uint64_t mu_ledger_reserve_rest(struct mu_ledger *l, uint64_t minimum);
/* The row now says granted; amount of it was drawn by this daemon just now. */
void mu_ledger_drawn(struct mu_ledger *l, uint64_t amount, uint64_t granted);
/* The guarantor has lent amount. */
void mu_ledger_borrowed(struct mu_ledger *l, uint64_t amount);
/* The guarantor has released its part and had lent this much of it. */
void mu_ledger_released(struct mu_ledger *l, uint64_t lent);
/* A turn has ended that had reserved most and used used. */
void mu_ledger_settle(struct mu_ledger *l, uint64_t reserved, uint64_t used);
/* Whether the row counts tokens that others have drawn. */
bool mu_ledger_others_drew(const struct mu_ledger *l);

/*
 * Tokens drawn that are not used or reserved and should be given back: all of
 * them when the daemon leaves, else only when the budget is nearly drawn.
 */
uint64_t mu_ledger_returnable(const struct mu_ledger *l, bool leaving);
/* amount was given back and the row now says granted. */
void mu_ledger_returned(struct mu_ledger *l, uint64_t amount, uint64_t granted);

#endif
