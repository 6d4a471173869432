/*
 * retry.h -- what to do after an attempt failed.
 *
 * Pure: the failure, what is known of the call and the time go in; a decision
 * with its reason comes out.  docs/design/retries.md has the whole table.
 */
#ifndef MU_RETRY_H
#define MU_RETRY_H

#include "endpoint.h"
#include "musher.h"

/* Retries of one service as a share of its calls: a token bucket. */
struct mu_retry_budget {
	double share; /* retries earned by a call, 0..1 */
	double tokens;
	double cap;
};

void mu_retry_budget_init(struct mu_retry_budget *b, double share);
/* The share may change with the services text; what is earned stays. */
void mu_retry_budget_set(struct mu_retry_budget *b, double share);
/* A call's first attempt starts: earns its share. */
void mu_retry_budget_call(struct mu_retry_budget *b);

struct mu_retry_policy {
	uint32_t max_attempts; /* of one call, the first included */
	uint32_t
	    backoff_base_ms; /* bound of the first backoff; doubles each time */
	uint32_t backoff_max_ms; /* largest bound */
};

extern const struct mu_retry_policy mu_retry_policy_default;

struct mu_retry_request {
	enum mu_errtype error; /* of the attempt that failed */
	enum mu_sent sent; /* how far that attempt got */
	uint32_t advised_ms; /* the endpoint's Retry-After; 0: none */
	bool repeatable; /* by the text and by the caller */
	bool earlier_maybe; /* an earlier attempt may have run */
	uint64_t streamed; /* bytes of the answer the caller has already */
	bool replay; /* all of them are kept, so a rerun can be matched */
	uint32_t attempts; /* made so far, the failed one included */
	bool other_endpoint; /* another endpoint of the service may be tried */
	bool same_endpoint; /* the same one may (not ejected, not dead) */
	mu_us expected; /* time that one more attempt takes; 0: not known */
	mu_us deadline; /* of the call; MU_US_NEVER: none */
	double random; /* 0 <= random < 1, for the jitter */
};

enum mu_retry_kind {
	MU_RETRY_OTHER_ENDPOINT,
	MU_RETRY_SAME_ENDPOINT,
	MU_RETRY_ANSWER
};

/* X(symbol, wire name) */
#define MU_RETRY_REASONS(X) \
	X(NOT_SENT, "not_sent") \
	X(REFUSED_BY_ENDPOINT, "refused_by_endpoint") \
	X(REPEATABLE, "repeatable") \
	X(MAY_HAVE_RUN, "may_have_run") \
	X(PERMANENT, "permanent_failure") \
	X(NOT_OWNER, "not_owner") \
	X(STREAM_NOT_KEPT, "stream_not_kept") \
	X(ATTEMPTS, "attempts_used_up") \
	X(DEADLINE, "deadline_too_near") \
	X(NO_ENDPOINT, "no_endpoint_left") \
	X(RETRY_BUDGET, "retry_budget_empty")

enum mu_retry_reason {
#define X(sym, name) MU_RETRY_WHY_##sym,
	MU_RETRY_REASONS(X)
#undef X
	MU_RETRY_WHY_COUNT
};

struct mu_retry_decision {
	enum mu_retry_kind kind;
	enum mu_retry_reason reason;
	union {
		struct {
			uint32_t backoff_ms; /* wait before the next attempt */
		} again; /* OTHER_ENDPOINT and SAME */
		struct {
			enum mu_errtype error;
			enum mu_outcome outcome; /* not_run or unknown */
			uint32_t
			    retry_after_ms; /* 0: asking again won't help */
		} answer;
	} u;
};

/* Wire name of a reason; never NULL. */
const char *mu_retry_reason_name(enum mu_retry_reason reason);
/* "other_endpoint", "same_endpoint" or "answer". */
const char *mu_retry_kind_name(enum mu_retry_kind kind);
/* Decides; takes a token from b when it decides for a retry. */
struct mu_retry_decision mu_retry_decide(const struct mu_retry_policy *p,
    struct mu_retry_budget *b, const struct mu_retry_request *q, mu_us now);
/*
 * Bound of the backoff before attempt n + 1 (n >= 1), and the backoff drawn
 * from [0, bound): exponential with full jitter (Brooker, "Exponential Backoff
 * and Jitter", 2015).
 */
uint32_t mu_retry_backoff_bound_ms(const struct mu_retry_policy *p, uint32_t n);
uint32_t
mu_retry_backoff_ms(const struct mu_retry_policy *p, uint32_t n, double random);

/*
 * Rerun of an answer that was streamed in part: bytes that the caller has
 * are compared and not sent again; what follows is passed on.
 */
struct mu_replay {
	const char *sent; /* what the caller has; borrowed */
	size_t len;
	size_t matched;
};

enum mu_replay_result {
	MU_REPLAY_MATCHING, /* nothing new yet */
	MU_REPLAY_NEW_TEXT, /* text + *skip onward is new */
	MU_REPLAY_DIFFERS /* another answer: stop streaming */
};

/* Longest streamed part kept for a rerun, bytes. */
#define MU_REPLAY_MAX ((size_t)1 << 18)

void mu_replay_init(struct mu_replay *r, const char *sent, size_t len);
enum mu_replay_result
mu_replay_feed(struct mu_replay *r, const char *text, size_t len, size_t *skip);
/* Whether the rerun may end here: all that the caller has was matched. */
bool mu_replay_complete(const struct mu_replay *r);

#endif
