/*
 * guarantor.h -- lends a share of programs' budgets while the store is
 * unavailable.
 *
 * Each program has one guarantor, a daemon chosen among the whole fleet by
 * rendezvous hashing.  A share of the program's budget belongs to it from the
 * start (ledger.h).  While the store is unavailable, daemons borrow from that
 * share for their turns.  A daemon that needs more than the rest of the budget
 * requests its release, after which the guarantor lends nothing more.
 *
 * Loans are kept in memory only, so a guarantor must know all loans made by
 * itself and by its predecessor.  A daemon that joins a fleet or restarts
 * therefore neither lends nor releases during a grace period, until all
 * programs that may have borrowed earlier have ended.  What a lost guarantor
 * might have lent counts as spent.
 */
#ifndef MU_GUARANTOR_H
#define MU_GUARANTOR_H

#include "loop.h"

struct mu_guarantor;

struct mu_loan {
	bool given; /* the loan or release was granted */
	uint64_t lent; /* to all daemons, this loan included */
};

typedef void (*mu_loan_fn)(void *arg, const struct mu_loan *loan);

struct mu_guarantor *mu_guarantor_new(struct mu_loop *l);
void mu_guarantor_free(struct mu_guarantor *g);
/* Ends the grace period at the first start of the fleet, when nothing can have
 * been lent before. */
void mu_guarantor_skip_grace(struct mu_guarantor *g);
/* A request for the tokens that a turn lacks. */
struct mu_loan_request {
	const char *program;
	uint64_t budget; /* tokens, of the whole program */
	uint64_t max_tokens; /* that the turn may use */
	uint64_t amount; /* to lend; 0: release the guarantor's share */
	mu_us deadline;
};

/* Lends q->amount if that much is left of the share. */
struct mu_loan
mu_guarantor_lend(struct mu_guarantor *g, const struct mu_loan_request *q);
/* Releases the rest of the share to the program's row. */
struct mu_loan
mu_guarantor_release(struct mu_guarantor *g, const char *program);

#endif
