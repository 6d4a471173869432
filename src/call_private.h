/*
 * call_private.h -- the state of a call, shared by call.c (life cycle and final
 * answer), callgate.c (the customer's key and rate limit), callturn.c (budget
 * and history), attempt.c (one exchange with an endpoint) and callplace.c
 * (choice of the endpoint and the queue for capacity).
 */
#ifndef MU_CALL_PRIVATE_H
#define MU_CALL_PRIVATE_H

#include "call.h"
#include "sse.h"

#define MU_CALL_MAX_ATTEMPTS 6 /* per request, over all endpoints */
/* Runs allowed beyond the route's max_endpoints, where the request has run. */
#define MU_CALL_EXTRA_RUNS 2
/* Retry-After: about the time to draw budget or reread a record, or to learn of
 * another endpoint. */
#define MU_CALL_RETRY_AFTER_MS 200
#define MU_CALL_RETRY_AFTER_OUTAGE_MS 400
#define MU_CALL_RETRY_AFTER_OVERLOAD_MS 250

enum mu_call_state {
	ST_PREPARING, /* rate limit, budget and history, or about to be sent */
	ST_QUEUED, /* for capacity at an endpoint */
	ST_SENT,
	ST_COMMITTING, /* writing the turn's record */
	ST_ANSWERED
};

struct mu_call {
	struct cds_list_head node; /* in group->waiting while queued */
	struct cds_list_head in_progress; /* in s->calls */
	struct mu_serve *s;
	struct mu_in_req *in;
	struct mu_call_req req; /* its memory is in arena */
	struct mu_arena *arena;
	struct mu_routes *routes;
	const struct mu_route *route;
	const struct mu_service *service;
	struct mu_group *group;
	/* Whose key the request carries, in routes; NULL: none. */
	const struct mu_customer *customer;
	bool holds_token; /* of the customer's rate limit */
	bool only_started; /* the limit allows no new program */
	uint32_t limit_retry_ms; /* when it does again */
	/* Ids within the customer (scope.h); NULL as in req. */
	const char *turn_id;
	const char *program_id;
	const char *previous_id;
	enum mu_shed_class shed_class;
	double utilization; /* of the service when its program was to start */
	struct mu_queue_rank queue_rank;
	enum mu_call_state state;
	bool closed; /* mu_call_closed() was called */
	unsigned references; /* the request and pending callbacks */
	uint64_t fingerprint; /* of what the endpoint gets (crashes.h) */
	uint32_t known_crashes; /* when the current attempt was sent */
	mu_us arrived;
	mu_us deadline; /* of the final answer */
	struct mu_timer deadline_timer;
	struct mu_timer overdue_timer; /* for the answer's first byte */
	bool overdue_reported; /* counted against the endpoint's health */
	struct mu_turn_reservation grant;
	struct mu_buf body; /* history and input; empty: use req.body */
	/* Ids of the turns in that history, oldest first, in arena: the cache
	 * may drop them while the turn runs. */
	char **chain;
	size_t nchain;
	/* Room for what the call holds; acct NULL: not counted. */
	struct mu_acct *acct;
	struct mu_acct_holder copies; /* of the request's body */
	struct mu_acct_holder answer_hold; /* answer and output */
	struct mu_timer room_timer; /* while the answer is not read */
	/* Part of the answer that waits for room: answer or output. */
	struct mu_buf *short_of_room;
	/* The current attempt and those before it. */
	struct mu_target *target;
	struct mu_up_exchange *exchange;
	mu_us sent_at;
	mu_us first_byte_at; /* first answer's head, refusals aside; 0: none */
	unsigned attempts; /* exchanges started */
	unsigned possible_runs; /* attempts that may have run the request */
	bool retry_same_endpoint; /* in the next attempt, if listed */
	char last_endpoint[MU_NAME_LEN]; /* of the last attempt */
	/* Endpoints that aborted an attempt: others are preferred. */
	char aborted_at[MU_CALL_MAX_ATTEMPTS][MU_NAME_LEN];
	unsigned naborted;
	/* Endpoints that get no further attempt. */
	char excluded[MU_CALL_MAX_ATTEMPTS][MU_NAME_LEN];
	unsigned nexcluded;
	/* The answer. */
	int status;
	bool not_run; /* the endpoint did not run the request */
	size_t refusal_bytes; /* received of its body then */
	bool is_signed; /* it has the endpoint's digest */
	bool is_attributed; /* it belongs to this request for certain */
	bool streaming; /* the caller has the head of a stream */
	bool forwarding; /* this attempt's events go to the caller */
	struct mu_header headers[MU_UP_HEADERS];
	size_t nheaders;
	struct mu_buf answer; /* the buffered body, or an incomplete event */
	struct mu_sse sse;
	size_t event_start; /* sse.fed at the start of answer */
	mu_us last_event_at; /* time of this attempt's last event; 0: none */
	uint64_t events; /* received */
	bool reservation_exceeded; /* the next event exceeds the reservation */
	struct mu_buf output; /* data of the events, for the turn's record */
	char last_event_id[64]; /* of the last event received; empty: none */
	/* Id of the last event that the caller has: those up to it are not
	 * forwarded.  NULL: none, or passed. */
	const char *resume_after;
	const char *reason; /* of the final answer, for the log */
};

/* callgate.c */

/* Finds the request's customer and sets the scoped ids; false if the request
 * was refused and the call must not be used afterwards. */
bool mu_call_identify(struct mu_call *c);
/* Whether the key is still that of the customer in the version in force. */
bool mu_call_key_valid(const struct mu_call *c);
/* Takes a token of the customer's rate limit, then continues with
 * mu_call_admitted() or ends the call. */
void mu_call_take_token(struct mu_call *c);
/* Returns the token of a call that has not run. */
void mu_call_return_token(struct mu_call *c);
/* The budget of a turn has been reserved. */
void mu_call_turn_reserved(struct mu_call *c);

/* call.c.  Each ends the call or starts its next step, which may end it: c must
 * not be used afterwards. */
/* Ends a call whose request crashes endpoints; false if it may be sent. */
bool mu_call_refuse_crashing(struct mu_call *c);
/* Releases a reference. */
void mu_call_unref(struct mu_call *c);
/* Ends the call with this status and error text. */
void mu_call_end_with_error(
    struct mu_call *c, int status, uint32_t retry_after_ms, const char *reason);
/* Ends the call with 503 if no endpoint can have run it, else with 502. */
void
mu_call_fail(struct mu_call *c, uint32_t retry_after_ms, const char *reason);
/* The attempt may have run but its answer is incomplete or not usable: retries
 * if the route allows it. */
void mu_call_attempt_aborted(struct mu_call *c, const char *reason);
/* Discards the attempt's answer and starts the next attempt. */
void mu_call_retry(struct mu_call *c);
/* Handles a complete answer: a refusal, a failure or the final answer. */
void mu_call_answer_complete(struct mu_call *c);
/* Sends the end of the endpoint's answer, or the whole of it. */
void mu_call_send_answer(struct mu_call *c);
/* Sets the fingerprint from what the endpoint gets. */
void mu_call_set_fingerprint(struct mu_call *c);

/* callturn.c.  As in call.c, c must not be used after those that return
 * nothing, other than mu_call_settle(). */
/* Continues a call that its customer's rate limit admits. */
void mu_call_admitted(struct mu_call *c);
/* Whether the turn's record takes n more bytes of output. */
bool mu_call_record_fits(const struct mu_call *c, size_t n);
/* Commits the turn's record, then sends the end of its answer. */
void mu_call_commit_turn(struct mu_call *c);
/* Reports at the program's home what the turn used; rec NULL: no record. */
void mu_call_settle(struct mu_call *c, const Mu__TurnRecord *rec);

/* attempt.c */
/* Starts an attempt at x; false if no exchange could be started. */
bool mu_attempt_send(struct mu_call *c, struct mu_target *x);
/* Cancels the attempt in progress, if any; it counts as a possible run if a
 * byte of it was sent. */
void mu_attempt_cancel(struct mu_call *c, enum mu_health_result result);
/* Whether the request may run more than once: it is idempotent, or a stream
 * that can be resumed. */
bool mu_call_retryable(const struct mu_call *c);
/* Excludes the endpoint from further attempts of this call. */
void mu_call_exclude_endpoint(struct mu_call *c, const char *name);

/* callplace.c */
/* Sends the call to an endpoint, queues it or refuses it. */
void mu_call_dispatch(struct mu_call *c);

#endif
