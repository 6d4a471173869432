/*
 * call.h -- a caller's request on the serving path, from arrival to answer.
 */
#ifndef MU_CALL_H
#define MU_CALL_H

#include "serve.h"

/* A request as the caller's protocol is decoded; memory of its arena. */
struct mu_call_req {
	const char *id;
	const char *method;
	const char *target; /* path and query, as sent */
	const char *host;
	const char *path;
	const char *headers; /* lines passed on to the endpoint */
	const void *body;
	size_t len;
	bool has_body;
	uint32_t wait_ms; /* the caller's time limit; 0: none */
	const char *program; /* NULL: none */
	uint32_t program_ms; /* until the program should end; 0: unknown */
	bool has_budget;
	uint64_t budget; /* tokens, of the whole program */
	uint32_t prompt_tokens;
	uint32_t most_tokens; /* that this turn may generate */
	const char *previous; /* turn that it continues; NULL: none */
	const char *last_event; /* event that the caller has; NULL: none */
	char **parts; /* of the prompt, but for the first, the last one first */
	size_t nparts;
};

struct mu_call;

/* Starts a call; r->user is its mu_call.  Answers r, now or later. */
void mu_call_start(
    struct mu_serve *s, struct mu_in_req *r, const struct mu_call_req *req);
/* The request is over, or the caller has gone; frees the call. */
void mu_call_closed(struct mu_in_req *r, bool ok);
/* The routes or endpoints have changed: calls that wait are looked at. */
void mu_call_retry_waiting(struct mu_serve *s, struct mu_group *g);

/* Answers a request that was not understood, or that no call is made of. */
void mu_call_reject(struct mu_in_req *r, int status, uint32_t retry_after_ms,
    const char *reason);

#endif
