/*
 * shed.h -- whether a new program may start at the load of its service.
 */
#ifndef MU_SHED_H
#define MU_SHED_H

#include "musher.h"

enum mu_shed_class {
	MU_SHED_DEFAULT, /* the service's programs are all alike */
	MU_SHED_FIRST, /* the least urgent programs of their service */
	MU_SHED_LAST /* the others, where some are less urgent */
};

/* Routes with the priority `first`, or a higher number, are shed first; 0: no
 * route.  least_urgent: highest priority number of the service's routes. */
enum mu_shed_class
mu_shed_class(uint32_t first, uint32_t priority, uint32_t least_urgent);
/* utilization: requests in progress and queued per slot of the service. */
bool mu_shed_admits(enum mu_shed_class cl, double utilization);
/* When the caller of a refused program should return.  left_ms: until the
 * program should end, 0: unknown; rng: state of mu_rand(). */
uint32_t
mu_shed_retry_ms(enum mu_shed_class cl, uint32_t left_ms, uint64_t *rng);
const char *mu_shed_class_name(enum mu_shed_class cl);

#endif
