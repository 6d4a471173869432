/*
 * founding.h -- detects the first start of the fleet (bootstrap).
 *
 * On the first start nothing has been lent from budgets yet, so a guarantor
 * may lend at once (guarantor.h).
 */
#ifndef MU_FOUNDING_H
#define MU_FOUNDING_H

#include "store.h"

struct mu_founding;

struct mu_founding_conf {
	const char *table; /* table of daemon rows */
	const char *host;
	uint64_t incarnation;
	void *arg;
	/* Called once, when the table has been read. */
	void (*decided)(void *arg, bool first_start);
};

/* NULL if out of memory. */
struct mu_founding *mu_founding_new(
    struct mu_loop *l, struct mu_store *s, const struct mu_founding_conf *conf);
/* Call after the store has been freed. */
void mu_founding_free(struct mu_founding *f);
/* Passes a row of the table; true if it was the fleet row, which only this
 * module uses. */
bool mu_founding_row(struct mu_founding *f, const Mu__StoreRow *row);
/* Passes a decoded daemon row. */
void mu_founding_daemon(struct mu_founding *f, const Mu__DaemonRow *row);
/* The table has been read completely. */
void mu_founding_listed(struct mu_founding *f);

#endif
