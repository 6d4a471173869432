/*
 * refusal.h -- memory of requests that were refused as not run.
 *
 * A forwarded request is sent again when its link is lost, so an owner may
 * receive several copies of it.  Once one copy was refused, the caller knows
 * that the request did not run, and no later copy may run.  The numbers of
 * refused requests are therefore kept for a while.  Thread-safe.
 */
#ifndef MU_REFUSAL_H
#define MU_REFUSAL_H

#include <pthread.h>

#include "musher.h"

#define MU_REFUSALS_MAX 8192 /* a copy arrives within seconds */

struct mu_refusals {
	pthread_mutex_t lock;
	uint64_t request[MU_REFUSALS_MAX];
};

void mu_refusals_init(struct mu_refusals *r);
void mu_refusals_add(struct mu_refusals *r, uint64_t request);
bool mu_refusals_contains(struct mu_refusals *r, uint64_t request);

#endif
