/*
 * admit.h -- admission control: whether a call may run now, is queued in the
 * daemon or is refused; which queued call runs next; and the concurrency limit
 * of a service.
 */
#ifndef MU_ADMIT_H
#define MU_ADMIT_H

#include "view.h"

#define MU_ADMIT_REASONS(X) \
	X(BELOW_LIMITS, "below the limits") \
	X(CACHES_FULL, "prefixes of programs in progress fill the caches") \
	X(LIMIT, "the service's concurrency limit is reached") \
	X(CALLER_LIMIT, "the caller's concurrency limit is reached") \
	X(QUEUE_FULL, "the queue is full") \
	X(CALLER_SHARE, "the caller is over its fair share of the queue") \
	X(DEADLINE_PAST, "the deadline has passed") \
	X(DEADLINE_NEAR, "the expected wait ends after the deadline")

enum mu_admit_reason {
#define X(sym, name) MU_ADMIT_##sym,
	MU_ADMIT_REASONS(X)
#undef X
	MU_ADMIT_REASON_COUNT
};

enum mu_admit_kind {
	MU_ADMIT_RUN,
	MU_ADMIT_QUEUE,
	MU_ADMIT_REFUSE
};

/* State of one service in this daemon. */
struct mu_admit_view {
	uint32_t running; /* calls sent and not answered yet */
	uint32_t queued; /* calls queued in this daemon */
	uint32_t limit; /* concurrency limit, from mu_limit_now() */
	uint32_t queue_max; /* capacity of the queue */
	uint32_t caller_running;
	uint32_t caller_queued;
	uint32_t caller_max; /* concurrency limit of a caller; 0: none */
	uint32_t callers; /* callers with a running or queued call */
	mu_us call_us; /* smoothed duration of a call; 0: unknown */
	uint64_t own_tokens; /* of this daemon's keep_when_full prefixes */
	uint64_t cache_max; /* of all endpoints in service; 0: no bound */
	uint32_t ndaemons; /* daemons that share the caches */
	uint32_t nendpoints; /* endpoints in service */
	double own_tokens_squared; /* sum over the same prefixes */
	/* Share of time, weighted by tokens, in which no running call uses
	 * these prefixes; 0: unknown. */
	double idle_share;
	uint32_t deferred; /* queued calls that mu_admit_must_defer() defers */
	/* Smoothed time between starts of programs that can be deferred. */
	mu_us program_start_interval_us;
};

struct mu_admission {
	enum mu_admit_kind kind;
	enum mu_admit_reason reason;
	union {
		struct {
			mu_us expect_us; /* expected wait */
		} queue;
		struct {
			enum mu_errtype type; /* OVERLOADED, RATE_LIMITED,
						 DEADLINE */
			uint32_t retry_after_ms;
		} refuse;
	} u;
};

/* Decides on a new or a queued call; now is the daemon's clock. */
struct mu_admission mu_admit(
    const struct mu_admit_view *v, const struct mu_call_info *r, mu_us now);
/*
 * Whether the call starts a new program that has to wait until others end,
 * since its prefix would evict theirs.
 */
bool mu_admit_must_defer(
    const struct mu_admit_view *v, const struct mu_call_info *r);
const char *mu_admit_reason_name(enum mu_admit_reason reason);

/* A call queued in the daemon, as mu_admit_next() sees it. */
struct mu_queued_call {
	uint64_t caller;
	uint32_t caller_running; /* running calls of its caller */
	int32_t priority; /* from mu_order() */
	mu_us since; /* time of arrival */
	mu_us deadline;
	bool deferred; /* by mu_admit_must_defer(): must not run now */
};

/*
 * Index of the call to run next: the lowest priority value, increased with
 * the number of calls that its caller has running, then the oldest.  Returns
 * -1 when none may run.
 */
int32_t mu_admit_next(const struct mu_queued_call *w, uint32_t n);

/*
 * Adaptive concurrency limit of a service.  It follows the gradient, the ratio
 * of the minimum latency to the current one, as in Netflix's concurrency-limits
 * ("Performance Under Load", E. Hochman, T. Bozarth et al., 2018).  Latencies
 * are per output token, so that long answers do not count as slow.
 */
struct mu_limit {
	double limit; /* concurrent calls */
	double min_latency; /* slowly rising minimum, microseconds */
	double latency; /* smoothed latency, microseconds */
	uint32_t min; /* bounds of limit */
	uint32_t max;
	uint32_t samples;
};

void mu_limit_init(struct mu_limit *l, uint32_t start, uint32_t max);
/* Adds the latency of a call that ended while inflight calls were running. */
void mu_limit_sample(struct mu_limit *l, double latency_us, uint32_t inflight);
/* Lowers the limit: an endpoint refused a call or a call timed out. */
void mu_limit_backoff(struct mu_limit *l);
uint32_t mu_limit_now(const struct mu_limit *l);

#endif
