/*
 * admit.h -- whether a call may run now, waits in the daemon or is refused;
 * which waiting call is next; how many calls at once a service takes.
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

/* Counts of one service in this daemon. */
struct mu_admit_view {
	uint32_t running; /* calls sent and unanswered */
	uint32_t queued; /* calls waiting in this daemon */
	uint32_t limit; /* calls at once, from mu_limit_now() */
	uint32_t queue_max; /* calls waiting at once */
	uint32_t caller_running;
	uint32_t caller_queued;
	uint32_t caller_max; /* calls at once of one caller; 0: no limit */
	uint32_t callers; /* callers with a call running or waiting here */
	mu_us call_us; /* smoothed time of a call; 0: unknown */
	uint64_t own_tokens; /* firm prefixes of this daemon's programs */
	uint64_t
	    cache_max; /* caches of all endpoints in service; 0: no bound */
	uint32_t ndaemons; /* that share them */
	uint32_t nends; /* endpoints in service */
	double own_squares; /* sum of tokens * tokens over own_tokens */
	double idle_share; /* share of time that firm prefixes aren't used by a
			      running call, by tokens; 0: unknown */
	uint32_t blocked; /* calls waiting that mu_admit_blocks() holds back */
	mu_us start_gap_us; /* smoothed time between starts of such programs */
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

/* Decides on a call that has come or waited; now is the daemon's clock. */
struct mu_admission
mu_admit(const struct mu_admit_view *v, const struct mu_request *r, mu_us now);
/* Whether a program that has not begun has to wait until others end, since
 * its prefix would push theirs out. */
bool mu_admit_blocks(const struct mu_admit_view *v, const struct mu_request *r);
const char *mu_admit_reason_name(enum mu_admit_reason reason);

/* A call that waits in the daemon, for mu_admit_next(). */
struct mu_waiter {
	uint64_t caller;
	uint32_t caller_running; /* calls of its caller that run now */
	int32_t priority; /* from mu_order() */
	mu_us since; /* came at */
	mu_us deadline;
	bool blocked; /* by mu_admit_blocks(): not to be run now */
};

/* Index of the waiter to run next: the lowest priority, raised by the calls
 * that its caller has running, then the oldest.  -1 when none may run. */
int32_t mu_admit_next(const struct mu_waiter *w, uint32_t n);

/*
 * Concurrency limit of a service, found from latency by the gradient of the
 * least latency seen to the current one, as in Netflix's concurrency-limits
 * ("Performance Under Load", E. Hochman, T. Bozarth et al., 2018).
 * Latencies are per output token, so that long answers don't look slow.
 */
struct mu_limit {
	double limit; /* calls at once */
	double min_latency; /* smoothed least latency, microseconds */
	double latency; /* smoothed latency, microseconds */
	uint32_t min;
	uint32_t max;
	uint32_t samples;
};

void mu_limit_init(struct mu_limit *l, uint32_t start, uint32_t max);
/* Takes the latency of a call that ended with inflight calls at once. */
void mu_limit_sample(struct mu_limit *l, double latency_us, uint32_t inflight);
/* Takes an overload signal: an endpoint refused or a call timed out. */
void mu_limit_backoff(struct mu_limit *l);
uint32_t mu_limit_now(const struct mu_limit *l);

#endif
