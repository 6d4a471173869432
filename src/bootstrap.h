/*
 * bootstrap.h -- detects the first start of the fleet (bootstrap).
 *
 * On the first start nothing has been lent from budgets yet, so a guarantor
 * may lend at once (guarantor.h).
 */
#ifndef MU_BOOTSTRAP_H
#define MU_BOOTSTRAP_H

#include "store.h"

struct mu_bootstrap;

struct mu_bootstrap_conf {
	const char *table; /* table of daemon rows */
	const char *host;
	uint64_t incarnation;
	void *arg;
	/* Called once, when the table has been read. */
	void (*decided)(void *arg, bool first_start);
};

/* NULL if out of memory. */
struct mu_bootstrap *mu_bootstrap_new(struct mu_loop *l, struct mu_store *s,
    const struct mu_bootstrap_conf *conf);
/* Call after the store has been freed. */
void mu_bootstrap_free(struct mu_bootstrap *f);
/* Passes a row of the table; true if it was the fleet row, which only this
 * module uses. */
bool mu_bootstrap_on_row(struct mu_bootstrap *f, const Mu__StoreRow *row);
/* Passes a decoded daemon row. */
void mu_bootstrap_on_daemon(struct mu_bootstrap *f, const Mu__DaemonRow *row);
/* The table has been read completely. */
void mu_bootstrap_on_list_end(struct mu_bootstrap *f);

#endif
