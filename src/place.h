/*
 * place.h -- which endpoint runs a call.
 */
#ifndef MU_PLACE_H
#define MU_PLACE_H

#include "view.h"

/* X(symbol, name shown by `musherctl explain`) */
#define MU_PLACE_REASONS(X) \
	X(HOME, "prefix is held there") \
	X(NEW, "new program: least cost of the sampled endpoints") \
	X(MOVED_LOAD, "home is overloaded beyond the cost of recomputing") \
	X(MOVED_SLOW, "home is slow") \
	X(MOVED_UNAVAILABLE, "home is gone, leaving, drained or ejected") \
	X(ONLY, "the only endpoint in service") \
	X(FULL, "every endpoint is at its bound") \
	X(NONE, "no endpoint in service")

enum mu_place_reason {
#define X(sym, name) MU_PLACE_##sym,
	MU_PLACE_REASONS(X)
#undef X
	MU_PLACE_REASON_COUNT
};

enum mu_place_kind {
	MU_PLACED,
	MU_PLACE_WAIT,
	MU_PLACE_REFUSE
};

/* Costs weighed for one endpoint, microseconds of delay. */
struct mu_placement_cost {
	double queue; /* until it enters the batch */
	double recompute; /* prefix tokens missing there */
	double batch; /* slower steps in a fuller batch or on a slow one */
	double eviction; /* prefixes of others that it would evict */
	double total;
};

struct mu_placement {
	enum mu_place_kind kind;
	enum mu_place_reason reason;
	struct mu_placement_cost cost; /* of the endpoint chosen, if any */
	struct mu_placement_cost
	    home_cost; /* of the home, if it is in service */
	union {
		struct {
			uint32_t index; /* in the view */
		} placed;
		struct {
			mu_us us; /* ask again after this time */
		} wait;
		struct {
			enum mu_errtype type;
			uint32_t retry_after_ms;
		} refuse;
	} u;
};

/*
 * Decides where a call runs.  Pure but for *rng, the state of mu_rand(),
 * with which each daemon samples on its own.  Never fails; NO_ENDPOINT is
 * returned as a refusal.
 */
struct mu_placement
mu_place(const struct mu_view *v, const struct mu_request *r, uint64_t *rng);
/* Calls believed to be at endpoint e now: its report, corrected. */
double mu_estimated_load(const struct mu_view *v, uint32_t e);
/* Name of a reason; never NULL. */
const char *mu_place_reason_name(enum mu_place_reason reason);

#endif
