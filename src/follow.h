/*
 * follow.h -- follows a table of the store: reads its rows, then its changes.
 */
#ifndef MU_FOLLOW_H
#define MU_FOLLOW_H

#include "store.h"

struct mu_follow;

struct mu_follow_conf {
	const char *table;
	/* A request for changes waits this long for one to occur... */
	uint32_t wait_ms;
	/* ...and is repeated after this interval. */
	uint32_t poll_interval_ms;
	void *arg;
	/* Called before the first and after the last row of a complete read of
	 * the table. */
	void (*list_begin)(void *arg);
	void (*list_end)(void *arg);
	void (*row)(void *arg, const Mu__StoreRow *row);
};

/* NULL if out of memory. */
struct mu_follow *mu_follow_new(
    struct mu_loop *l, struct mu_store *s, const struct mu_follow_conf *conf);
/* Call after the store has been freed. */
void mu_follow_free(struct mu_follow *f);
/* Time since the last successful request; MU_US_NEVER if there was none. */
mu_us mu_follow_age(const struct mu_follow *f);

#endif
