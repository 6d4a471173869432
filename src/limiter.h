/*
 * limiter.h -- customers' rate limits over all daemons.
 *
 * One daemon counts the requests of a customer (ratelimit.h): its root, chosen
 * by rendezvous hashing first among the failure domains and then among the
 * daemons of one.  Every admitted request is reported to it on the links that
 * the mesh has anyway.  While a customer is far below its limit, requests are
 * admitted first and reported at once; near the limit they wait for the root's
 * answer.
 */
#ifndef MU_LIMITER_H
#define MU_LIMITER_H

#include "customer.h"
#include "mesh.h"
#include "ratelimit.h"

struct mu_limiter;

struct mu_limiter_conf {
	const char *host;
	const char *domain;
	uint64_t incarnation;
	/* What the operator accepts beyond a limit in any span of window_ms:
	 * this fraction of what the limit allows in it, plus slack requests. */
	uint32_t window_ms;
	double overage;
	double slack;
	void *arg;
	/* The customer in the configuration in force; NULL: none. */
	const struct mu_customer *(*find)(void *arg, const char *name);
};

enum mu_limit_status {
	MU_LIMIT_ADMITTED,
	MU_LIMIT_ADMITTED_STARTED, /* only if its program has started */
	MU_LIMIT_REFUSED, /* over the limit */
	MU_LIMIT_UNAVAILABLE /* the root does not answer */
};

struct mu_limit_result {
	enum mu_limit_status status;
	uint32_t retry_after_ms; /* unless ADMITTED */
};

typedef void (*mu_limit_fn)(void *arg, const struct mu_limit_result *r);

/* NULL when out of memory. */
struct mu_limiter *mu_limiter_new(
    struct mu_loop *l, struct mu_mesh *m, const struct mu_limiter_conf *conf);
/* Call after the mesh has been freed. */
void mu_limiter_free(struct mu_limiter *x);
/* The daemons' table has been read: peers in it that are silent are missing. */
void mu_limiter_peers_known(struct mu_limiter *x);

/* A peer went up or down, or began to leave. */
void mu_limiter_peer_changed(struct mu_limiter *x, const struct mu_peer *p);
/* The daemon shuts down: other daemons count in its place. */
void mu_limiter_drain(struct mu_limiter *x);

/* Takes a token for a request of the customer.  fn is called exactly once,
 * possibly before this returns. */
void mu_limiter_take(struct mu_limiter *x, const struct mu_customer *c,
    enum mu_rate_kind kind, mu_limit_fn fn, void *arg);
/* Returns the token of a request that did not run. */
void mu_limiter_refund(struct mu_limiter *x, const char *customer);
/* A program of the customer has started. */
void mu_limiter_program_started(struct mu_limiter *x, const char *customer);

/* Handle frames of other daemons. */
void mu_limiter_on_ask(
    struct mu_limiter *x, struct mu_mesh_link *from, const Mu__LimitAsk *q);
void mu_limiter_on_note(struct mu_limiter *x, const Mu__LimitNote *n);

#endif
