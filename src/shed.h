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

/* How a daemon sheds load (settings load_estimate and shed_priority). */
struct mu_shed_conf {
	/* The load is estimated with the mean of the service, so that it is
	 * not too low (loadest.c). */
	bool exact_load;
	/* Routes of this priority or a less urgent one (a higher number) are
	 * shed first; 0: none. */
	uint32_t first_priority;
};

/* least_urgent: highest priority number of the service's program routes. */
enum mu_shed_class mu_shed_class(
    const struct mu_shed_conf *conf, uint32_t priority, uint32_t least_urgent);
/* utilization: requests in progress and queued per slot of the service. */
bool mu_shed_admits(const struct mu_shed_conf *conf, enum mu_shed_class class,
    double utilization);
const char *mu_shed_class_name(enum mu_shed_class class);

#endif
