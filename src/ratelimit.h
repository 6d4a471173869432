/*
 * ratelimit.h -- a customer's rate limit: what may run in a sliding window.
 *
 * Answers two load patterns: a customer that sends several times its usual, and
 * programs of which only the complete ones are of use.
 *
 * In any span of the window no more requests are admitted than return in it at
 * the customer's rate, plus its burst.  Programs start sub-agents and call
 * tools by the dozen, so a window serves them better than a bucket that is
 * empty after its burst.
 *
 * A program also pledges the requests that it is expected to need when it
 * starts.  While more is pledged than the rate can serve in time, no further
 * program starts, so that what is left goes to the programs in progress: a
 * limit that refused requests in order of arrival would stop nearly every
 * program midway.
 *
 * The daemon that counts may die with its count.  The next one knows nothing of
 * the window before, so requests are admitted in a way that leaves it a part of
 * the rate (ratelimit.c).
 *
 * Pure: no I/O; the time is passed in.
 */
#ifndef MU_RATELIMIT_H
#define MU_RATELIMIT_H

#include "musher.h"

/* The window moves in steps of 1/25.  One more slice is counted, since the
 * current one has only begun. */
#define MU_RATE_STEPS 25
#define MU_RATE_SLICES (MU_RATE_STEPS + 1)

struct mu_rate_limit {
	double rate; /* requests per second */
	double burst; /* requests beyond the rate in a window */
	double window_s;
	double initial; /* requests that a new count admits at once */
};

struct mu_rate_state {
	mu_us started_at; /* nothing is known of the time before */
	double
	    ran_since_start; /* or since an earlier start, if that was lately */
	int64_t slice; /* number of the current slice, from time 0 */
	double count[MU_RATE_SLICES]; /* by slice; the current one: count[0] */
	mu_us refilled_at; /* of unpledged */
	double unpledged; /* requests that no program is expected to need */
	/* Decayed counts, for the requests that a program needs. */
	double requests_seen;
	double programs_seen;
	/* Times told to callers that were refused last. */
	mu_us next_request_at;
	mu_us next_program_at;
};

enum mu_rate_kind {
	MU_RATE_SINGLE, /* belongs to no program */
	MU_RATE_IN_PROGRAM, /* of a program that has started */
	MU_RATE_MAY_START /* may be the first of its program */
};

enum mu_rate_verdict {
	MU_RATE_ADMIT,
	MU_RATE_ADMIT_STARTED, /* only if its program has started */
	MU_RATE_REFUSE
};

struct mu_rate_decision {
	enum mu_rate_verdict verdict;
	uint32_t retry_after_ms; /* unless ADMIT */
};

/* Starts a count.  No request ran from `since` until now; nothing is known of
 * the time before. */
void mu_rate_init(struct mu_rate_state *s, const struct mu_rate_limit *l,
    mu_us since, mu_us now);
/* Other daemons have admitted requests until now that are not counted here. */
void mu_rate_restart(
    struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now);
/* Decides on a request, and counts it unless it is refused. */
struct mu_rate_decision mu_rate_take(struct mu_rate_state *s,
    const struct mu_rate_limit *l, enum mu_rate_kind kind, mu_us now);
/* Counts a request that was admitted elsewhere. */
void mu_rate_admitted(struct mu_rate_state *s, const struct mu_rate_limit *l,
    enum mu_rate_kind kind, mu_us now);
/* Uncounts a request that did not run. */
void mu_rate_refund(
    struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now);
/* A program has started. */
void mu_rate_program_started(
    struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now);
/* Requests that may be admitted now. */
double mu_rate_available(
    struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now);
/* Whether the customer is far enough below its limit that requests may be
 * admitted before they are counted. */
bool mu_rate_ample(
    struct mu_rate_state *s, const struct mu_rate_limit *l, mu_us now);
/* Requests that a program is expected to need. */
double mu_rate_program_requests(const struct mu_rate_state *s);

#endif
