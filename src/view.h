/*
 * view.h -- input of the decision modules: one service and one call.
 *
 * A view is this daemon's estimate of a service: the last report of each
 * endpoint with its age, and the calls that this daemon has sent and completed
 * there since.  Reports lag and other daemons send calls too, so every value
 * is approximate.  A view is plain data without pointers to shared state, and
 * the decision modules only read it.
 *
 * The home endpoint of a program is the endpoint that holds the program's
 * cached prefix; it has nothing to do with the home daemon of home.h.
 */
#ifndef MU_VIEW_H
#define MU_VIEW_H

#include "musher.h"

enum mu_endpoint_state {
	MU_ENDPOINT_LIVE,
	MU_ENDPOINT_LEAVING, /* leaving by the host list, or not on it */
	MU_ENDPOINT_DRAINED, /* drained by an operator */
	MU_ENDPOINT_EJECTED /* unreachable or failing */
};

enum mu_urgency {
	MU_URGENT, /* someone waits for the answer: triage, checks */
	MU_NORMAL
};

#define MU_NO_ENDPOINT (-1)

struct mu_endpoint_view {
	uint64_t id; /* hash that is the same in every daemon */
	mu_us report_age; /* since the report was valid; MU_US_NEVER: none */
	uint32_t running; /* reported: calls in the batch */
	uint32_t queued; /* reported: calls queued in the endpoint */
	uint32_t max_batch; /* reported; 0: unknown */
	uint32_t domain; /* identifies its failure domain */
	uint64_t cache_used; /* reported, tokens */
	uint64_t cache_max; /* reported, tokens; 0: no prefix cache */
	uint32_t own_in_flight; /* calls of this daemon running there */
	uint32_t sent_since; /* calls this daemon sent since the report */
	uint32_t done_since; /* calls of this daemon ended since the report */
	enum mu_endpoint_state state;
	uint64_t sent_tokens; /* uncached prompt tokens of sent_since */
	uint64_t own_tokens; /* of this daemon's keep_when_full prefixes */
	double prefill_us; /* prefill time per token; 0: unknown */
	double call_us; /* smoothed duration of a call; 0: unknown */
	/* Smoothed latency over the service's median; 1: unknown. */
	double latency_ratio;
};

struct mu_service_view {
	const struct mu_endpoint_view *endpoints;
	uint32_t nendpoints;
	uint32_t ndaemons; /* daemons that use the service; at least 1 */
	/* From the services text. */
	double weight_latency; /* of program latency */
	double weight_waste; /* of wasted cache */
};

/* What the decisions use of a call and of the program it belongs to. */
struct mu_call_info {
	uint64_t program; /* hash of the program's id */
	uint64_t caller; /* hash of the caller's name */
	uint32_t prompt_tokens; /* history and new input */
	uint32_t expect_output; /* tokens; 0: unknown */
	int32_t home_endpoint; /* index in the view, or MU_NO_ENDPOINT */
	uint32_t home_tokens; /* estimate of the prefix cached there */
	mu_us home_idle; /* since the prefix was last used */
	uint64_t attained; /* tokens served to the whole program so far */
	uint32_t calls; /* calls of the program so far */
	mu_us waited; /* since the call arrived */
	mu_us deadline; /* absolute; MU_US_NEVER: none */
	enum mu_urgency urgency;
};

/* Next value of a splitmix64 generator (Steele, Lea, Flood, "Fast splittable
 * pseudorandom number generators", 2014); *s is its state. */
static inline uint64_t
mu_rand(uint64_t *s)
{
	uint64_t z = (*s += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Uniform in [0, 1). */
static inline double
mu_rand_unit(uint64_t *s)
{
	return (double)(mu_rand(s) >> 11) * 0x1.0p-53;
}

#endif
