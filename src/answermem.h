/*
 * answermem.h -- memory that answers of endpoints take while they are received
 * and handled.  Thread-safe; one account for the process.
 */
#ifndef MU_ANSWERMEM_H
#define MU_ANSWERMEM_H

#include "memacct.h"

/* What one answer holds. */
struct mu_answermem {
	struct mu_acct_holder holder;
	size_t received; /* bytes of the body */
};

/* Sets the limit of the process, once, before the first answer.  Without one
 * there is always room. */
void mu_answermem_set_limit(size_t bytes);
/* endpoint: its address, which gets at most half of the limit while others need
 * room. */
void mu_answermem_init(struct mu_answermem *m, const char *endpoint);
/* Counts n more received bytes; false if there is no room for what is made of
 * them.  Small answers always have room. */
bool mu_answermem_add(struct mu_answermem *m, size_t n);
/* The answer's memory is freed. */
void mu_answermem_release(struct mu_answermem *m);

#endif
