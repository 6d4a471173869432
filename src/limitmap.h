/*
 * limitmap.h -- which daemon counts a customer's requests, the way to
 * it, and the part of the fleet that this daemon sees.
 */
#ifndef MU_LIMITMAP_H
#define MU_LIMITMAP_H

#include "mesh.h"

struct mu_limit_map {
	struct mu_loop *loop;
	struct mu_mesh *mesh;
	const char *host;
	const char *domain;
	mu_us opened_at;
	bool leaving; /* counts nothing while there are other daemons */
	/* Since when this daemon sees the same daemons. */
	mu_us unchanged_since;
	/* When a daemon came back that had run all the time; 0: never. */
	mu_us rejoined_at;
	/* Of mu_limit_visible(). */
	double visible;
	mu_us visible_at; /* 0: not computed yet */
};

/*
 * The fraction of the fleet that this daemon sees: of the domains, and of the
 * daemons in its own.  Counts are scaled by it, so that the sum over all parts
 * of a divided fleet stays within the limit; a daemon that sees no other is
 * left with an equal share.
 */
double mu_limit_visible(struct mu_limit_map *m);
/* A peer went up or down, or began to leave. */
void mu_limit_map_changed(struct mu_limit_map *m, const struct mu_peer *p);
/* Number of daemons that may be running, this one included. */
unsigned mu_limit_daemons(struct mu_limit_map *m);
/* The customer's home in this daemon's domain; NULL: this daemon. */
struct mu_peer *mu_limit_home(struct mu_limit_map *m, const char *customer);
/*
 * The next daemon on the way of a LimitAsk or LimitNote that has come to this
 * one by the hop `at`; *next is the hop to it.  NULL: there is none, and this
 * daemon decides if *decides is set.
 */
struct mu_peer *mu_limit_next_hop(struct mu_limit_map *m, const char *customer,
    Mu__LimitAsk__Hop at, Mu__LimitAsk__Hop *next, bool *decides);

#endif
