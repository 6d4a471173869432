/*
 * routes.h -- routing table: the service that takes a request of the serving
 * path.
 *
 * Each configuration version has one immutable table, shared by reference.
 */
#ifndef MU_ROUTES_H
#define MU_ROUTES_H

#include "customer.h"

enum mu_route_kind {
	MU_ROUTE_IDEMPOTENT, /* may run more than once */
	MU_ROUTE_NON_IDEMPOTENT, /* runs at most once */
	MU_ROUTE_STREAM /* event stream; non-idempotent unless resumable */
};

/* A service that takes a share of a route's requests, by weight. */
struct mu_route_share {
	char *service;
	uint32_t weight;
};

struct mu_route {
	char *name;
	char *host;
	char *prefix; /* of the path; starts and ends with a slash */
	enum mu_route_kind kind;
	uint32_t timeout_ms; /* until the final answer; 0: none */
	uint32_t objective_ms; /* latency of the answer or its first event */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t max_endpoints; /* that may run the same request */
	bool resumable; /* a stream may be resumed at another endpoint */
	bool keeps_history;
	bool is_public; /* served without a key */
	mu_us keep; /* retention time of turns */
	struct mu_route_share *shares;
	size_t nshares;
};

struct mu_service {
	char *name;
	uint32_t tokens_per_event; /* model services; 0: a plain service */
	uint32_t slots; /* concurrent requests; 0: unknown */
	/* Highest priority number of its streaming routes, whose requests may
	 * start programs; set by mu_routes_index(). */
	uint32_t least_urgent;
};

struct mu_routes {
	unsigned references;
	uint64_t version;
	struct mu_route *route;
	size_t nroutes;
	struct mu_service *service;
	size_t nservices;
	struct mu_customers *customers; /* NULL: callers need no key */
};

/* Sets the fields of services that derive from their routes.  Called once,
 * before the table is shared. */
void mu_routes_index(struct mu_routes *r);
struct mu_routes *mu_routes_ref(struct mu_routes *r);
void mu_routes_unref(struct mu_routes *r); /* NULL is allowed */
/* Finds the route of host with the longest prefix of path; NULL if none. */
const struct mu_route *
mu_routes_find(const struct mu_routes *r, const char *host, const char *path);
const struct mu_service *
mu_routes_service(const struct mu_routes *r, const char *name);
/* Returns the service for a request; key selects among the shares.  NULL if the
 * route has none. */
const char *mu_route_pick_service(const struct mu_route *r, uint64_t key);

#endif
