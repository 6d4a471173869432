/*
 * choose.h -- which endpoint takes a request of the serving path, or whether
 * it waits or is refused.
 *
 * Pure: beliefs about the endpoints and the request's time go in, a decision
 * comes out.
 */
#ifndef MU_CHOOSE_H
#define MU_CHOOSE_H

#include "musher.h"

#define MU_CHOOSE_MAX 512 /* endpoints of one service */

/* An endpoint as this daemon believes it to be. */
struct mu_candidate {
	bool usable; /* listed, not leaving, not ejected, not tried */
	uint32_t sent; /* requests of this daemon there */
	double others; /* requests of other callers there, estimated */
	uint32_t slots; /* requests that it runs at once */
	bool warm; /* a connection to it is kept */
	bool same_domain; /* in this daemon's failure domain */
	bool suspect; /* it broke a request off and has not answered since */
	double slowdown; /* time a piece over the service's; 1: as others */
	uint32_t prefill_tokens; /* prompt tokens that it has to read */
};

struct mu_demand {
	mu_us call_time; /* usual time of a call of this service */
	mu_us token_prefill_time; /* time to read a prompt token */
	mu_us time_left; /* until the request is of no use */
	bool non_idempotent; /* it must not run again, so a lost answer fails it
			      */
};

enum mu_choice_kind {
	MU_CHOICE_SEND,
	MU_CHOICE_WAIT, /* every endpoint is full */
	MU_CHOICE_REFUSE /* it cannot be served in time, or by nobody */
};

struct mu_choice {
	enum mu_choice_kind kind;
	uint32_t index; /* SEND: the endpoint */
	mu_us cost; /* SEND: expected time until the answer's end */
	uint32_t retry_after_ms; /* REFUSE */
	bool no_endpoint; /* REFUSE: no endpoint is usable */
};

/* rng is the state of mu_rand(). */
struct mu_choice mu_choose(const struct mu_candidate *c, uint32_t n,
    const struct mu_demand *d, uint64_t *rng);
/*
 * Whether a request that waits with `ahead` others before it is refused now:
 * the load is a service whose places are all taken for longer than the request
 * can wait.
 */
struct mu_choice mu_choose_wait(const struct mu_candidate *c, uint32_t n,
    const struct mu_demand *d, uint32_t ahead);

/*
 * Whether a program that has had no turn yet may begin: the load is more
 * programs than the endpoints can bring to their end in time.  pressure is the
 * share of their places that are taken.
 */
bool mu_choose_admit(double utilization);

/* A request that waits for a place. */
struct mu_waiting {
	uint32_t priority; /* of its route; 0 is the most urgent */
	bool begun; /* its program has had a turn answered */
	mu_us slack; /* until its program should end */
	mu_us since;
};
/* Whether a goes before b: programs under way before new ones, then the one
 * with the least slack, so that what has been spent on a program is not lost.
 */
bool
mu_queue_rank_before(const struct mu_waiting *a, const struct mu_waiting *b);

#endif
