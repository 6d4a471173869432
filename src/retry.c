/*
 * retry.c -- retry policy: decision table for failed attempts.
 *
 * An attempt that may have run is repeated only if the call is idempotent
 * (repeatable), and a failure that the request itself caused is not retried.
 * The limits are checked next: attempts, endpoints, deadline, retry budget.
 * The budget is checked last because it is the only one that a check uses up.
 *
 * A call that is not retried fails at once, with a Retry-After where a later
 * request could succeed.
 */
#include <string.h>

#include "retry.h"

/* Capacity of the token bucket: retries beyond the share of the calls. */
#define SAVED_RETRIES_MAX 10.0
#define US_PER_MS ((mu_us)1000)

const struct mu_retry_policy mu_retry_policy_default = {
    .max_attempts = 4,
    .backoff_base_ms = 50,
    .backoff_max_ms = 2000,
};

/* Whether a failure of this type can be cured by another attempt. */
enum failure_class {
	CLASS_TRANSIENT, /* another attempt may succeed */
	CLASS_PERMANENT, /* the request itself caused it */
	CLASS_NOT_OWNER /* another daemon owns the program now */
};

static enum failure_class
classify(enum mu_errtype error)
{
	switch (error) {
	case MU_E_BAD_REQUEST:
	case MU_E_NOT_JSON:
	case MU_E_TOO_LARGE:
	case MU_E_UNAUTHORIZED:
	case MU_E_NOT_FOUND:
	case MU_E_METHOD:
	case MU_E_UNKNOWN_SERVICE:
	case MU_E_SEQ_GAP:
	case MU_E_SEQ_CONFLICT:
	case MU_E_PROGRAM_ENDED:
	case MU_E_BUDGET:
	case MU_E_DEADLINE:
	case MU_E_QUARANTINED:
	case MU_E_STOPPING:
	case MU_E_CANCELLED:
		return CLASS_PERMANENT;
	case MU_E_STALE_EPOCH:
	case MU_E_NOT_OWNER:
		return CLASS_NOT_OWNER;
	default:
		return CLASS_TRANSIENT;
	}
}

const char *
mu_retry_reason_name(enum mu_retry_reason reason)
{
	static const char *const names[] = {
#define X(sym, name) name,
	    MU_RETRY_REASONS(X)
#undef X
	};

	return (unsigned)reason < MU_RETRY_REASON_COUNT ? names[reason]
							: "internal";
}

const char *
mu_retry_kind_name(enum mu_retry_kind kind)
{
	switch (kind) {
	case MU_RETRY_OTHER_ENDPOINT:
		return "other_endpoint";
	case MU_RETRY_SAME_ENDPOINT:
		return "same_endpoint";
	case MU_RETRY_FAIL_CALL:
		return "answer";
	}
	return "internal";
}

void
mu_retry_budget_init(struct mu_retry_budget *b, double share)
{
	b->cap = SAVED_RETRIES_MAX;
	b->tokens = share > 0 ? SAVED_RETRIES_MAX : 0;
	b->share = share;
}

void
mu_retry_budget_set_share(struct mu_retry_budget *b, double share)
{
	b->share = share;
}

void
mu_retry_budget_count_call(struct mu_retry_budget *b)
{
	b->tokens += b->share;
	if (b->tokens > b->cap)
		b->tokens = b->cap;
}

static bool
take_retry_token(struct mu_retry_budget *b)
{
	if (b->share <= 0 || b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

uint32_t
mu_retry_backoff_bound_ms(const struct mu_retry_policy *p, uint32_t n)
{
	uint64_t bound = p->backoff_base_ms;

	while (n-- > 1 && bound < p->backoff_max_ms)
		bound *= 2;
	return bound < p->backoff_max_ms ? (uint32_t)bound : p->backoff_max_ms;
}

uint32_t
mu_retry_backoff_ms(const struct mu_retry_policy *p, uint32_t n, double random)
{
	return (uint32_t)(random * mu_retry_backoff_bound_ms(p, n));
}

static struct mu_retry_decision
fail_call(const struct mu_retry_policy *p, const struct mu_retry_request *q,
    enum mu_retry_reason reason)
{
	struct mu_retry_decision d;
	bool may_have_run =
	    q->earlier_may_have_run || q->sent == MU_ATTEMPT_MAY_HAVE_RUN;

	memset(&d, 0, sizeof(d));
	d.kind = MU_RETRY_FAIL_CALL;
	d.reason = reason;
	d.u.failure.error = q->error;
	d.u.failure.outcome =
	    may_have_run ? MU_OUTCOME_UNKNOWN : MU_OUTCOME_NOT_RUN;
	/* The new owner may run the call, so not_run cannot be promised. */
	if (reason == MU_RETRY_REASON_NOT_OWNER)
		d.u.failure.outcome = MU_OUTCOME_UNKNOWN;
	if (reason == MU_RETRY_REASON_PERMANENT)
		return d;
	if (reason == MU_RETRY_REASON_MAY_HAVE_RUN)
		return d;
	d.u.failure.retry_after_ms =
	    q->endpoint_retry_after_ms > 0
		? q->endpoint_retry_after_ms
		: mu_retry_backoff_bound_ms(p, q->attempts + 1);
	return d;
}

/* Whether the failure rules out another attempt; sets the reason. */
static bool
must_not_retry(const struct mu_retry_request *q, enum mu_retry_reason *reason)
{
	switch (classify(q->error)) {
	case CLASS_PERMANENT:
		*reason = MU_RETRY_REASON_PERMANENT;
		break;
	case CLASS_NOT_OWNER:
		*reason = MU_RETRY_REASON_NOT_OWNER;
		break;
	case CLASS_TRANSIENT:
		*reason = MU_RETRY_REASON_REPEATABLE;
		break;
	}
	if ((q->sent == MU_ATTEMPT_MAY_HAVE_RUN || q->earlier_may_have_run) &&
	    !q->repeatable)
		*reason = MU_RETRY_REASON_MAY_HAVE_RUN;
	else if (*reason == MU_RETRY_REASON_REPEATABLE &&
		 q->streamed_bytes > 0 && !q->can_replay)
		*reason = MU_RETRY_REASON_STREAM_NOT_KEPT;
	return *reason != MU_RETRY_REASON_REPEATABLE;
}

/*
 * Sets the backoff; false if the deadline leaves no time for it.  The jitter
 * may be shortened to meet the deadline, an endpoint's Retry-After may not.
 */
static bool
fit_backoff(const struct mu_retry_policy *p, const struct mu_retry_request *q,
    mu_us now, uint32_t *backoff_ms)
{
	uint32_t min_ms = q->other_endpoint ? 0 : q->endpoint_retry_after_ms;
	mu_us time_left;

	*backoff_ms = mu_retry_backoff_ms(p, q->attempts, q->random);
	if (*backoff_ms < min_ms)
		*backoff_ms = min_ms;
	if (q->deadline == MU_US_NEVER)
		return true;
	time_left = q->deadline - now - q->expected_time;
	if (time_left <= 0 || time_left < min_ms * US_PER_MS)
		return false;
	if (*backoff_ms * US_PER_MS > time_left)
		*backoff_ms = (uint32_t)(time_left / US_PER_MS);
	return true;
}

static enum mu_retry_reason
retry_reason(const struct mu_retry_request *q)
{
	switch (q->sent) {
	case MU_ATTEMPT_NOT_SENT:
		return MU_RETRY_REASON_NOT_SENT;
	case MU_ATTEMPT_REFUSED:
		return MU_RETRY_REASON_REFUSED_BY_ENDPOINT;
	case MU_ATTEMPT_MAY_HAVE_RUN:
		return MU_RETRY_REASON_REPEATABLE;
	}
	return MU_RETRY_REASON_REPEATABLE;
}

struct mu_retry_decision
mu_retry_decide(const struct mu_retry_policy *p, struct mu_retry_budget *b,
    const struct mu_retry_request *q, mu_us now)
{
	struct mu_retry_decision d;
	enum mu_retry_reason reason;
	uint32_t backoff_ms;

	if (must_not_retry(q, &reason))
		return fail_call(p, q, reason);
	if (q->attempts >= p->max_attempts)
		return fail_call(p, q, MU_RETRY_REASON_ATTEMPTS);
	if (!q->other_endpoint && !q->same_endpoint)
		return fail_call(p, q, MU_RETRY_REASON_NO_ENDPOINT);
	if (!fit_backoff(p, q, now, &backoff_ms))
		return fail_call(p, q, MU_RETRY_REASON_DEADLINE);
	if (!take_retry_token(b))
		return fail_call(p, q, MU_RETRY_REASON_RETRY_BUDGET);
	memset(&d, 0, sizeof(d));
	d.kind = q->other_endpoint ? MU_RETRY_OTHER_ENDPOINT
				   : MU_RETRY_SAME_ENDPOINT;
	d.reason = retry_reason(q);
	d.u.retry.backoff_ms = backoff_ms;
	return d;
}

void
mu_replay_init(struct mu_replay *r, const char *sent, size_t len)
{
	r->sent = sent;
	r->len = len;
	r->matched = 0;
}

enum mu_replay_result
mu_replay_feed(struct mu_replay *r, const char *text, size_t len, size_t *skip)
{
	size_t left = r->len - r->matched;
	size_t n = len < left ? len : left;

	if (n > 0 && memcmp(r->sent + r->matched, text, n) != 0)
		return MU_REPLAY_DIFFERS;
	r->matched += n;
	*skip = n;
	return n == len ? MU_REPLAY_MATCHING : MU_REPLAY_NEW_TEXT;
}

bool
mu_replay_complete(const struct mu_replay *r)
{
	return r->matched == r->len;
}
