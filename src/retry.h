/*
 * retry.h -- retry policy: whether and where a failed attempt is repeated.
 *
 * Pure functions: from the failure, the state of the call and the current time
 * they return a decision and its reason.  The complete decision table is in
 * docs/design/retries.md.
 */
#ifndef MU_RETRY_H
#define MU_RETRY_H

#include "endpoint.h"
#include "musher.h"

/* Token bucket that limits a service's retries to a share of its calls. */
struct mu_retry_budget {
	double share; /* tokens added per call, 0..1 */
	double tokens; /* one is taken per retry */
	double cap; /* largest number of tokens held */
};

void mu_retry_budget_init(struct mu_retry_budget *b, double share);
/* Changes the share after a new services text; the tokens are kept. */
void mu_retry_budget_set_share(struct mu_retry_budget *b, double share);
/* Adds the share of one call; called when its first attempt starts. */
void mu_retry_budget_count_call(struct mu_retry_budget *b);

struct mu_retry_policy {
	uint32_t max_attempts; /* per call, including the first */
	uint32_t backoff_base_ms; /* bound of the first backoff */
	uint32_t backoff_max_ms; /* the bound doubles up to this */
};

extern const struct mu_retry_policy mu_retry_policy_default;

struct mu_retry_request {
	enum mu_errtype error; /* of the failed attempt */
	enum mu_attempt_progress sent; /* whether that attempt may have run */
	uint32_t endpoint_retry_after_ms; /* its Retry-After; 0: none */
	bool repeatable; /* idempotent by services text and caller */
	bool earlier_may_have_run; /* an earlier attempt may have run */
	uint64_t streamed_bytes; /* answer bytes the caller already has */
	bool can_replay; /* those bytes are kept, to compare a rerun with */
	uint32_t attempts; /* so far, including the failed one */
	bool other_endpoint; /* another endpoint of the service is eligible */
	bool same_endpoint; /* the failed one is neither ejected nor dead */
	mu_us expected_time; /* time per attempt; 0: unknown */
	mu_us deadline; /* of the call; MU_US_NEVER: none */
	double random; /* source of the jitter, in [0, 1) */
};

enum mu_retry_kind {
	MU_RETRY_OTHER_ENDPOINT,
	MU_RETRY_SAME_ENDPOINT,
	MU_RETRY_FAIL_CALL /* return the error to the caller */
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
#define X(sym, name) MU_RETRY_REASON_##sym,
	MU_RETRY_REASONS(X)
#undef X
	MU_RETRY_REASON_COUNT
};

struct mu_retry_decision {
	enum mu_retry_kind kind;
	enum mu_retry_reason reason;
	union {
		struct {
			uint32_t backoff_ms; /* delay of the next attempt */
		} retry; /* OTHER_ENDPOINT and SAME_ENDPOINT */
		struct {
			enum mu_errtype error;
			enum mu_outcome outcome; /* not_run or unknown */
			uint32_t retry_after_ms; /* 0: don't repeat it */
		} failure;
	} u;
};

/* Wire name of a reason; never NULL. */
const char *mu_retry_reason_name(enum mu_retry_reason reason);
/* "other_endpoint", "same_endpoint" or "answer". */
const char *mu_retry_kind_name(enum mu_retry_kind kind);
/* Decides what follows a failed attempt; a retry takes a token from b. */
struct mu_retry_decision mu_retry_decide(const struct mu_retry_policy *p,
    struct mu_retry_budget *b, const struct mu_retry_request *q, mu_us now);
/*
 * Upper bound of the backoff before attempt n + 1 (n >= 1), and a backoff drawn
 * from [0, bound): exponential backoff with full jitter (M. Brooker,
 * "Exponential Backoff and Jitter", 2015).
 */
uint32_t mu_retry_backoff_bound_ms(const struct mu_retry_policy *p, uint32_t n);
uint32_t
mu_retry_backoff_ms(const struct mu_retry_policy *p, uint32_t n, double random);

/*
 * Rerun of a partly streamed answer.  The bytes that the caller already has
 * are compared with the rerun and not sent again; the text after them is.
 */
struct mu_replay {
	const char *sent; /* text that the caller has; not owned */
	size_t len;
	size_t matched; /* bytes of it found equal so far */
};

enum mu_replay_result {
	MU_REPLAY_MATCHING, /* no new text yet */
	MU_REPLAY_NEW_TEXT, /* new text starts at text + *skip */
	MU_REPLAY_DIFFERS /* the answers differ: stop streaming */
};

/* Most streamed text that is kept for a rerun. */
#define MU_REPLAY_MAX_BYTES ((size_t)1 << 18)

void mu_replay_init(struct mu_replay *r, const char *sent, size_t len);
enum mu_replay_result
mu_replay_feed(struct mu_replay *r, const char *text, size_t len, size_t *skip);
/* Whether the rerun has reproduced all the text that the caller has. */
bool mu_replay_complete(const struct mu_replay *r);

#endif
