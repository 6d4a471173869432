/*
 * place.h -- selection of the endpoint that runs a call.
 */
#ifndef MU_PLACE_H
#define MU_PLACE_H

#include "view.h"

/*
 * X(symbol, text shown by `musherctl explain`).  "home" in the texts is the
 * home endpoint, see view.h.
 */
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

/* Estimated cost of a call on one endpoint, microseconds of delay. */
struct mu_placement_cost {
	double queue; /* wait until the call enters the batch */
	double recompute; /* prefill of prompt tokens not cached there */
	double batch; /* slower decoding in a fuller batch or a slow endpoint */
	double eviction; /* recomputing other programs' evicted prefixes */
	double total;
};

struct mu_placement {
	enum mu_place_kind kind;
	enum mu_place_reason reason;
	struct mu_placement_cost cost; /* of the selected or best endpoint */
	/* Of the home endpoint; 0 if it is not in service. */
	struct mu_placement_cost home_cost;
	union {
		struct {
			uint32_t index; /* in the view */
		} placed;
		struct {
			mu_us us; /* retry after this time */
		} wait;
		struct {
			enum mu_errtype type;
			uint32_t retry_after_ms;
		} refuse;
	} u;
};

/*
 * Selects an endpoint for a call.  Has no side effects other than advancing
 * *rng, the state of mu_rand(), which differs between daemons.  Never fails:
 * without an endpoint in service it returns a refusal with NO_ENDPOINT.
 */
struct mu_placement mu_place(const struct mu_service_view *v,
    const struct mu_call_info *r, uint64_t *rng);
/*
 * Estimated number of calls on endpoint e: the last report, corrected by the
 * calls that this daemon has sent and completed since.
 */
double mu_estimated_load(const struct mu_service_view *v, uint32_t e);
/* Text of a reason; never NULL. */
const char *mu_place_reason_name(enum mu_place_reason reason);

#endif
