/*
 * dispatch.h -- admits a call, waits its turn and places it on an endpoint.
 *
 * The shell around admit.c, order.c, place.c, eject.c and retry.c: it keeps
 * the figures that they decide on, one lane for each service.
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

#define MU_ASK_TRIED 4 /* endpoints that one call avoids after failures */

/* A call that asks for an endpoint. */
struct mu_ask {
	const struct mu_service *service;
	const struct mu_text *text;
	struct mu_request request; /* home and home_idle are filled here */
	const char *home; /* address that holds its prefix, or NULL */
	bool trial; /* run alone on an endpoint of this daemon's, see
		       quarantine.h */
	const char *tried[MU_ASK_TRIED]; /* avoided if others are in service */
	unsigned ntried;
	json_t *why; /* object that gets the decisions and reasons */
	bool (*cancelled)(void *arg);
	void *arg;
};

/* Leave to run one call on an endpoint; give it back with release. */
struct mu_grant {
	struct mu_service_queue *queue;
	struct mu_bd_endpoint *endpoint;
	int32_t priority;
	uint64_t caller;
	mu_us granted_at;
	unsigned sent_index; /* index in endpoint->recent */
	bool trial; /* no other trial of this daemon's runs on the endpoint */
};

int mu_dispatch_open(struct mu_dispatch **d, struct mu_board *board,
    const struct mu_clock *clock, const char *host);
void mu_dispatch_close(struct mu_dispatch *d);

/* Waits until the call may run.  Errors: OVERLOADED, RATE_LIMITED, DEADLINE,
 * NO_ENDPOINT; all mean not run. */
int mu_dispatch_acquire(struct mu_dispatch *d, struct mu_ask *req,
    struct mu_grant *permit, struct mu_error *e);
/* r: how the attempt ended; NULL: it was not sent. */
void mu_dispatch_release(struct mu_dispatch *d, struct mu_grant *permit,
    const struct mu_ep_result *r);
/* What to do after a failed attempt; q->random is filled here. */
struct mu_retry_decision mu_dispatch_retry(struct mu_dispatch *d,
    const struct mu_service *s, struct mu_retry_request *req);
/* A call's first attempt starts; it earns its share of retries. */
void mu_dispatch_first(struct mu_dispatch *d, const struct mu_service *s);

#endif
