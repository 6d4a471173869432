/*
 * refusal.h -- requests that were refused as not run.
 *
 * A request is copied when a link is lost.  A copy that was on its way when
 * another was refused must not run afterwards, as its caller was told that it
 * did not run; so the numbers of refused requests are remembered for a while.
 */
#ifndef MU_REFUSAL_H
#define MU_REFUSAL_H

#include <pthread.h>

#include "musher.h"

#define MU_REFUSALS_MAX 8192 /* entries; a copy lives for seconds at most */

struct mu_refusals {
	pthread_mutex_t lock;
	uint64_t request[MU_REFUSALS_MAX];
};

void mu_refusals_init(struct mu_refusals *r);
void mu_refusals_add(struct mu_refusals *r, uint64_t request);
bool mu_refusals_has(struct mu_refusals *r, uint64_t request);

#endif
