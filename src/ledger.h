/*
 * ledger.h -- token budget of one program at one daemon.
 *
 * The program's row in the store counts the tokens granted to daemons, used or
 * not.  A daemon draws a share of the budget with a conditional write of that
 * row and then spends it without the store.  The sum of all grants never
 * exceeds the budget, however many daemons draw at the same time.  What a
 * daemon had drawn when it died counts as spent.
 *
 * One share of every budget belongs to the program's guarantor (guarantor.h)
 * from the start and is not counted in the row.  The guarantor lends from it
 * to daemons that cannot draw because the store is unavailable, and releases
 * the rest on request.  Until the release, draws leave that share alone,
 * except for as much as the largest turn may use.  A program may therefore
 * exceed its budget by at most one turn.
 *
 * Pure: no I/O, no clock.
 */
#ifndef MU_LEDGER_H
#define MU_LEDGER_H

#include "musher.h"

struct mu_ledger {
	uint64_t budget; /* tokens, of the whole program */
	uint64_t granted; /* to all daemons, as last seen in the row */
	uint64_t drawn; /* by this daemon, loans included */
	uint64_t borrowed; /* part of drawn that is not in the row: loans */
	uint64_t spent; /* part of drawn used by turns that ended */
	uint64_t reserved; /* part of drawn held for turns in progress */
	uint64_t largest_turn; /* largest reservation requested */
	bool released; /* the guarantor released its share */
	uint64_t lent; /* by the guarantor to all daemons until then */
};

enum mu_ledger_action {
	MU_LEDGER_RESERVED,
	MU_LEDGER_DRAW, /* draw from the row, then retry */
	MU_LEDGER_RELEASE, /* request the guarantor's release, then retry */
	MU_LEDGER_EXHAUSTED
};

struct mu_ledger_decision {
	enum mu_ledger_action action;
	uint64_t draw; /* DRAW: tokens to draw */
	uint64_t shortfall; /* DRAW, RELEASE: tokens missing for the turn */
};

/* Tokens of a budget that belong to the guarantor. */
uint64_t mu_ledger_guarantor_share(uint64_t budget);
/* Tokens that the guarantor may lend to turns of at most max_tokens each.  It
 * is at least one turn: with a budget so small, draws leave nothing aside for
 * loans. */
uint64_t mu_ledger_lendable(uint64_t budget, uint64_t max_tokens);
/* Reserves max_tokens for a turn. */
struct mu_ledger_decision
mu_ledger_reserve(struct mu_ledger *l, uint64_t max_tokens);
/* Reserves all unreserved tokens of this daemon if they are at least
 * `minimum`; returns the number reserved, else 0. */
uint64_t mu_ledger_reserve_rest(struct mu_ledger *l, uint64_t minimum);
/* Records a draw of amount; the row now counts granted tokens. */
void mu_ledger_drawn(struct mu_ledger *l, uint64_t amount, uint64_t granted);
/* Records a loan. */
void mu_ledger_borrowed(struct mu_ledger *l, uint64_t amount);
/* Records the release of the guarantor's share, of which it had lent this
 * much. */
void mu_ledger_released(struct mu_ledger *l, uint64_t lent);
/* Ends a turn's reservation of `reserved` tokens, of which it used `used`. */
void mu_ledger_settle(struct mu_ledger *l, uint64_t reserved, uint64_t used);
/* Whether the row counts tokens drawn by other daemons. */
bool mu_ledger_others_drew(const struct mu_ledger *l);

/*
 * Tokens to give back to the row, out of those neither used nor reserved: all
 * of them when the daemon shuts down, else only when the budget is nearly
 * drawn.
 */
uint64_t mu_ledger_returnable(const struct mu_ledger *l, bool leaving);
/* Records the return of amount; the row now counts granted tokens. */
void mu_ledger_returned(struct mu_ledger *l, uint64_t amount, uint64_t granted);

#endif
