/*
 * follow.h -- follows a table of the store: its rows first, then its changes.
 */
#ifndef MU_FOLLOW_H
#define MU_FOLLOW_H

#include "store.h"

struct mu_follow;

struct mu_follow_conf {
	const char *table;
	/* Changes are asked for with a call that waits this long for one... */
	uint32_t wait_ms;
	/* ...and again after this time. */
	uint32_t poll_interval_ms;
	void *arg;
	/* A whole reading of the table begins and has ended. */
	void (*list_begin)(void *arg);
	void (*list_end)(void *arg);
	void (*row)(void *arg, const Mu__StoreRow *row);
};

/* NULL when memory is short. */
struct mu_follow *mu_follow_new(
    struct mu_loop *l, struct mu_store *s, const struct mu_follow_conf *conf);
/* After the store has been freed. */
void mu_follow_free(struct mu_follow *f);
/* Time since the table was last heard of; MU_US_NEVER: not yet. */
mu_us mu_follow_age(const struct mu_follow *f);

#endif
