/*
 * ends.h -- endpoints of one service as copied for one decision.
 */
#ifndef MU_EPVIEWS_H
#define MU_EPVIEWS_H

#include "board.h"
#include "dispatch.h"
#include "view.h"

#define MU_EPVIEWS_MAX 512

struct mu_epviews {
	struct mu_endview view[MU_EPVIEWS_MAX];
	struct mu_bd_endpoint *endpoint[MU_EPVIEWS_MAX];
	uint32_t count;
	uint32_t ndaemons;
	uint32_t daemon_rank; /* of this daemon among them */
};

/* Copies the service's endpoints, and how many daemons use them. */
void mu_epviews_fill(struct mu_epviews *views, struct mu_board *board,
    const struct mu_clock *clock, const char *host, const char *service);
/* Time of a call on each endpoint over the service's median. */
void mu_epviews_set_latency_ratio(struct mu_epviews *views);
/* Avoids endpoints that this call failed on, while others are in service. */
void mu_epviews_exclude(struct mu_epviews *views, const struct mu_ask *req);
/*
 * Leaves in service what a trial may use, and counts it: endpoints that no
 * other daemon uses for trials, or any if none of these is live, and of them
 * those without a trial.  Two trials on one endpoint would both be blamed for
 * its death.
 */
uint32_t mu_epviews_keep_for_trial(struct mu_epviews *views,
    const struct mu_bd_endpoint *const in_trial[], uint32_t nin_trial);

#endif
