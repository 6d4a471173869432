/*
 * dispatch.h -- admits a call, queues it and places it on an endpoint.
 *
 * Calls the decision modules admit.c, order.c, place.c, eject.c and retry.c
 * and keeps the state that they work on, one queue per service.
 */
#ifndef MU_DISPATCH_H
#define MU_DISPATCH_H

#include <jansson.h>

#include "board.h"
#include "endpoint.h"
#include "retry.h"
#include "text.h"
#include "view.h"

struct mu_dispatch;
struct mu_service_queue;

#define MU_DISPATCH_EXCLUDED_MAX 4 /* failed endpoints that a call avoids */

/* Request for an endpoint to run a call. */
struct mu_dispatch_request {
	const struct mu_service *service;
	const struct mu_text *text;
	struct mu_call_info call; /* home_endpoint, waited: set by dispatch */
	const char *home_addr; /* address of the home endpoint, or NULL */
	bool trial; /* alone on its endpoint, see quarantine.h */
	/* Addresses avoided while others are in service. */
	const char *excluded[MU_DISPATCH_EXCLUDED_MAX];
	unsigned nexcluded;
	json_t *why; /* receives the decisions and reasons; may be NULL */
	bool (*cancelled)(void *arg); /* polled while waiting; may be NULL */
	void *arg;
};

/*
 * Permit to run one call on an endpoint.  It occupies a concurrency slot until
 * mu_dispatch_release().
 */
struct mu_permit {
	struct mu_service_queue *queue;
	struct mu_bd_endpoint *endpoint;
	int32_t priority;
	uint64_t caller;
	mu_us granted_at;
	unsigned sent_index; /* index in endpoint->recent */
	bool trial; /* a trial: this daemon runs no other on the endpoint */
};

int mu_dispatch_open(struct mu_dispatch **d, struct mu_board *board,
    const struct mu_clock *clock, const char *host);
void mu_dispatch_close(struct mu_dispatch *d);

/*
 * Waits until the call may run.  Errors: OVERLOADED, RATE_LIMITED, DEADLINE,
 * NO_ENDPOINT, PROGRAM_ENDED, NOMEM; all mean that it has not run.
 */
int mu_dispatch_acquire(struct mu_dispatch *d, struct mu_dispatch_request *req,
    struct mu_permit *permit, struct mu_error *e);
/* Returns the permit.  r: result of the attempt; NULL: it was not sent. */
void mu_dispatch_release(struct mu_dispatch *d, struct mu_permit *permit,
    const struct mu_ep_result *r);
/*
 * Decides what to do after a failed attempt.  Sets the random value and the
 * expected time of an attempt in req.
 */
struct mu_retry_decision mu_dispatch_retry(struct mu_dispatch *d,
    const struct mu_service *s, struct mu_retry_request *req);
/* Reports the first attempt of a call, which adds to the retry budget. */
void
mu_dispatch_first_attempt(struct mu_dispatch *d, const struct mu_service *s);

#endif
