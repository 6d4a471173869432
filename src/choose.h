/*
 * choose.h -- selects the endpoint for a request of the serving path, or
 * decides that the request is queued or rejected.
 *
 * Pure functions of the state of the endpoints and the time left for the
 * request; the only side effect is on the random state.
 */
#ifndef MU_CHOOSE_H
#define MU_CHOOSE_H

#include "musher.h"

#define MU_CHOOSE_MAX 512 /* endpoints of one service */

/* An endpoint's state as known to this daemon. */
struct mu_candidate {
	bool usable; /* listed, not leaving, not ejected, not tried */
	uint32_t sent; /* requests of this daemon in progress there */
	double others; /* estimated requests of other daemons there */
	uint32_t slots; /* concurrency slots: requests run in parallel */
	bool warm; /* an idle connection to it is open */
	bool same_domain; /* in this daemon's failure domain */
	bool suspect; /* aborted a request and has not answered one since */
	double slowdown; /* ratio of its chunk time to the service's */
	uint32_t prefill_tokens; /* prompt tokens not cached there */
};

struct mu_demand {
	mu_us call_time; /* smoothed average for this service */
	mu_us token_prefill_time; /* to process one prompt token */
	mu_us time_left; /* until the request's deadline */
	/* Runs at most once, so an incomplete answer fails the request. */
	bool non_idempotent;
};

enum mu_choice_kind {
	MU_CHOICE_SEND,
	MU_CHOICE_QUEUE, /* every usable endpoint is full */
	MU_CHOICE_REJECT /* no endpoint is usable, or not in time */
};

struct mu_choice {
	enum mu_choice_kind kind;
	uint32_t index; /* SEND: index of the candidate */
	mu_us cost; /* SEND: expected time to complete the answer */
	uint32_t retry_after_ms; /* REJECT */
	bool no_endpoint; /* REJECT: no endpoint is usable */
};

/* Returns SEND, QUEUE, or REJECT with no_endpoint.  rng: state of mu_rand(). */
struct mu_choice mu_choose(const struct mu_candidate *c, uint32_t n,
    const struct mu_demand *d, uint64_t *rng);
/*
 * Returns QUEUE or REJECT for a request with `ahead` others queued before it.
 * Rejects it when its deadline would pass before a slot becomes free and the
 * call ends.
 */
struct mu_choice mu_choose_queue(const struct mu_candidate *c, uint32_t n,
    const struct mu_demand *d, uint32_t ahead);

/* Sort key of a request that is queued for capacity. */
struct mu_queue_rank {
	uint32_t priority; /* of its route; 0 is the most urgent */
	bool program_started; /* part of a started program */
	mu_us program_deadline; /* time at which its program should end */
	mu_us arrived_at; /* arrival time */
};
/* Whether a is served before b: started programs before new ones, so that the
 * work spent on them is not wasted, then by priority, program deadline and
 * arrival. */
bool mu_queue_rank_before(
    const struct mu_queue_rank *a, const struct mu_queue_rank *b);

#endif
