/*
 * guarantor.h -- the part of programs' budgets that is lent without the store.
 *
 * Each program has one guarantor, the daemon of the whole fleet that
 * rendezvous hashing gives it.  A part of the program's budget is granted to
 * it from the start (ledger.h).  While the store is out, daemons borrow from
 * that part for their turns; a daemon that needs more than the rest of the
 * budget asks for its release, after which nothing is lent any more.
 *
 * Nothing of this is written down, so a daemon must know all that it or its
 * predecessor has lent.  One that joins a fleet, or starts again, neither
 * lends nor releases until the programs of before have ended: what a lost
 * guarantor might have lent counts as spent.
 */
#ifndef MU_GUARANTOR_H
#define MU_GUARANTOR_H

#include "loop.h"

struct mu_guarantor;

struct mu_loan {
	bool given;
	uint64_t lent; /* to all daemons, this loan included */
};

typedef void (*mu_loan_fn)(void *arg, const struct mu_loan *loan);

struct mu_guarantor *mu_guarantor_new(struct mu_loop *l);
void mu_guarantor_free(struct mu_guarantor *g);
/* The fleet has no past: there is nothing that was lent before. */
void mu_guarantor_skip_grace(struct mu_guarantor *g);
/* What a turn lacks. */
struct mu_loan_request {
	const char *program;
	uint64_t budget; /* tokens, of the whole program */
	uint64_t max_tokens; /* that the turn may use */
	uint64_t amount; /* to lend; 0: to release the guarantor's part */
	mu_us deadline;
};

struct mu_loan
mu_guarantor_lend(struct mu_guarantor *g, const struct mu_loan_request *q);
/* Releases what is left of the program's part. */
struct mu_loan
mu_guarantor_release(struct mu_guarantor *g, const char *program);

#endif
