/*
 * founding.h -- whether this fleet of daemons is starting for the first time.
 *
 * A daemon of a fleet without a past knows all that was ever lent from
 * budgets, namely nothing (guarantor.h).
 */
#ifndef MU_FOUNDING_H
#define MU_FOUNDING_H

#include "store.h"

struct mu_founding;

struct mu_founding_conf {
	const char *table; /* of the daemons' rows */
	const char *host;
	uint64_t incarnation;
	void *arg;
	/* Called once, when the table has been read. */
	void (*decided)(void *arg, bool first_start);
};

/* NULL when memory is short. */
struct mu_founding *mu_founding_new(
    struct mu_loop *l, struct mu_store *s, const struct mu_founding_conf *conf);
/* After the store has been freed. */
void mu_founding_free(struct mu_founding *f);
/* A row of the table; true when it is this module's own. */
bool mu_founding_row(struct mu_founding *f, const Mu__StoreRow *row);
/* A daemon's row, decoded. */
void mu_founding_daemon(struct mu_founding *f, const Mu__DaemonRow *row);
/* The table has been read as a whole. */
void mu_founding_listed(struct mu_founding *f);

#endif
