/*
 * epviews.h -- views of a service's endpoints, for one decision.
 */
#ifndef MU_EPVIEWS_H
#define MU_EPVIEWS_H

#include "board.h"
#include "dispatch.h"
#include "view.h"

#define MU_EPVIEWS_MAX 512

struct mu_epviews {
	struct mu_endpoint_view view[MU_EPVIEWS_MAX];
	struct mu_bd_endpoint *endpoint[MU_EPVIEWS_MAX];
	uint32_t count;
	uint32_t ndaemons; /* up and not leaving; at least 1 */
	uint32_t daemon_rank; /* of this daemon, in order of host names */
};

/* Copies the service's endpoints and counts the daemons that use them. */
void mu_epviews_fill(struct mu_epviews *views, struct mu_board *board,
    const struct mu_clock *clock, const char *host, const char *service);
/* Sets the latency of each endpoint relative to the service's median. */
void mu_epviews_set_latency_ratio(struct mu_epviews *views);
/*
 * Marks endpoints on which this call has failed as ejected, unless no other
 * endpoint is in service.
 */
void mu_epviews_exclude(
    struct mu_epviews *views, const struct mu_dispatch_request *req);
/*
 * Marks endpoints that a quarantine trial must not use as ejected and returns
 * the number of endpoints left.  A trial may use the endpoints reserved for
 * this daemon's trials, or any endpoint if none of these is live, but none in
 * in_trial: if an endpoint crashed under two trials, both would be blamed.
 */
uint32_t mu_epviews_keep_for_trial(struct mu_epviews *views,
    const struct mu_bd_endpoint *const in_trial[], uint32_t nin_trial);

#endif
