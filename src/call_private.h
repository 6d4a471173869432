/*
 * call_private.h -- a call as its modules share it: call.c (its way and its
 * final answer), attempt.c (one exchange with an endpoint), callplace.c (where
 * it is sent, and the wait for a place).
 */
#ifndef MU_CALL_PRIVATE_H
#define MU_CALL_PRIVATE_H

#include "call.h"
#include "sse.h"

#define MU_CALL_TRIES 6 /* endpoints asked for one request */
#define MU_CALL_EXTRA_RUNS \
	2 /* where it has run, beyond the route's own runs \
	   */
/* About the time to draw or read anew, or until another endpoint is known. */
#define MU_CALL_RETRY_MS 200

enum mu_call_state {
	ST_BEGIN, /* reserving budget, reading history */
	ST_WAIT, /* for a place at an endpoint */
	ST_SENT,
	ST_COMMITTING,
	ST_ANSWERED
};

struct mu_call {
	struct cds_list_head node; /* while waiting */
	struct mu_serve *s;
	struct mu_in_req *in;
	struct mu_call_req req; /* in arena */
	struct mu_arena *arena;
	struct mu_routes *routes;
	const struct mu_route *route;
	const struct mu_service *service;
	struct mu_group *group;
	struct mu_queue_rank rank;
	enum mu_call_state state;
	bool closed; /* closed while something still refers to it */
	unsigned references;
	uint64_t fingerprint; /* of the request, whoever sends it */
	mu_us arrived;
	mu_us deadline; /* final answer by then */
	struct mu_timer deadline_timer;
	struct mu_timer overdue_timer; /* no byte of the answer for long */
	bool overdue_reported; /* its endpoint's health has been told so */
	struct mu_grant grant;
	struct mu_buf body; /* history and input; empty: the request's own */
	/* Sending. */
	struct mu_target *target;
	struct mu_up_exchange *exchange;
	mu_us sent_at;
	mu_us first_byte_at; /* first byte of the answer */
	unsigned attempts; /* endpoints asked */
	unsigned possible_runs; /* endpoints that may have run it */
	bool resend_same; /* to the endpoint that broke off, if it is there */
	char same[MU_NAME_LEN];
	/* Endpoints that broke off: others are tried first. */
	char lost_at[MU_CALL_TRIES][MU_NAME_LEN];
	unsigned nlost;
	char tried[MU_CALL_TRIES]
		  [MU_NAME_LEN]; /* refused, not to be asked again */
	unsigned ntried;
	/* The answer. */
	int status;
	bool not_run;
	bool is_signed;
	bool streaming; /* its events are passed on as they come */
	struct mu_header headers[MU_UP_HEADERS];
	size_t nheaders;
	struct mu_buf answer; /* body kept whole, or bytes of an event */
	struct mu_sse sse;
	size_t event_start; /* sse.fed at the start of answer */
	mu_us last_event_at; /* last event of this attempt; 0: none yet */
	uint64_t events; /* passed on */
	bool reservation_exceeded; /* the next event exceeds the reservation */
	struct mu_buf output; /* data of the events */
	char last_event_id[64];
	const char *reason; /* of the final answer, for the log */
};

/* call.c.  Each ends the call or leads on; c must not be used after it. */
void mu_call_end_with_error(
    struct mu_call *c, int status, uint32_t retry_after_ms, const char *reason);
/* 503 when it has not run anywhere, else 502. */
void
mu_call_give_up(struct mu_call *c, uint32_t retry_after_ms, const char *reason);
/* An attempt that may have run had no whole answer. */
void mu_call_attempt_aborted(struct mu_call *c, const char *reason);
/* The attempt was not run, or may be repeated: the next one follows. */
void mu_call_retry(struct mu_call *c);
/* An answer came complete. */
void mu_call_answer_complete(struct mu_call *c);

/* attempt.c */
/* Sends the call to x; false when no exchange could be started. */
bool mu_attempt_send(struct mu_call *c, struct mu_target *x);
/* Breaks off the attempt in progress, which has run if a byte of it left. */
void mu_attempt_cancel(struct mu_call *c, enum mu_health_result result);
/* Whether the request may run more than once. */
bool mu_call_repeatable(const struct mu_call *c);
/* The endpoint of this name is not asked again. */
void mu_call_mark_tried(struct mu_call *c, const char *name);

/* callplace.c */
/* Sends the call, lets it wait or refuses it. */
void mu_call_place(struct mu_call *c);

#endif
