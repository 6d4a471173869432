/*
 * call.h -- one request of a caller on the serving path, from its arrival to
 * the final answer.
 */
#ifndef MU_CALL_H
#define MU_CALL_H

#include "serve.h"

#define MU_CALL_ID_BYTES 190 /* ids go into store keys of at most 200 bytes */

/* A decoded request; all pointers refer to the request's arena. */
struct mu_call_req {
	const char *id;
	const char *method;
	const char *target; /* path and query, as sent */
	const char *key; /* of a customer; NULL: none */
	const char *host;
	const char *path;
	const char *headers; /* header lines forwarded to the endpoint */
	const void *body;
	size_t len;
	bool has_body;
	uint32_t wait_ms; /* time limit set by the caller; 0: none */
	const char *program; /* NULL: none */
	uint32_t program_left_ms; /* until the program's deadline; 0: unknown */
	bool has_budget;
	uint64_t budget; /* tokens for the whole program */
	uint32_t prompt_tokens;
	uint32_t max_turn_tokens; /* upper bound of what this turn generates */
	const char *previous; /* id of the turn it continues; NULL: none */
	const char *last_event; /* id of the last one received; NULL: none */
	char **parts; /* prompt segments except the first, last one first */
	size_t nparts;
};

struct mu_call;

/* Starts a call and stores its mu_call in r->user.  r may be answered before
 * this returns. */
void mu_call_start(
    struct mu_serve *s, struct mu_in_req *r, const struct mu_call_req *req);
/* Releases the call when its request has ended or the caller disconnected. */
void mu_call_closed(struct mu_in_req *r, bool ok);
/* Gives each request in progress its final answer: the daemon stops. */
void mu_call_end_all(struct mu_serve *s);
/* Writes `end` for each request in progress, before the process exits. */
void mu_call_log_unfinished(const struct mu_serve *s);
/* Tries to send the queued calls of g, in order; called when capacity may have
 * been freed or routes or endpoints have changed. */
void mu_call_retry_waiting(struct mu_serve *s, struct mu_group *g);

/* Answers r with an error in JSON and, if retry_after_ms is not 0, a
 * Retry-After header. */
void mu_call_reject(struct mu_in_req *r, int status, uint32_t retry_after_ms,
    const char *reason);

#endif
