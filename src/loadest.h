/*
 * loadest.h -- estimates the requests of other daemons at an endpoint.
 *
 * Pure: the input is the load that endpoints report in their answers.
 */
#ifndef MU_LOADEST_H
#define MU_LOADEST_H

#include "musher.h"

/* Where the estimate goes as an endpoint's last report gets old. */
enum mu_loadest_kind {
	MU_LOADEST_REPORT, /* to zero */
	MU_LOADEST_MEAN /* to the mean of the service's recent reports */
};

/* Mean load of a service's endpoints. */
struct mu_loadest_mean {
	double per_slot; /* requests of other daemons for each slot */
	mu_us updated_at; /* 0: no report yet */
};

/* The last report of one endpoint. */
struct mu_loadest_report {
	double others; /* requests of other daemons there */
	mu_us at; /* 0: none */
};

/* Adds a report of an endpoint with this many slots, above 0. */
void mu_loadest_add(
    struct mu_loadest_mean *m, double others, uint32_t slots, mu_us now);
/* Requests of other daemons at an endpoint. */
double
mu_loadest_others(enum mu_loadest_kind kind, const struct mu_loadest_report *r,
    const struct mu_loadest_mean *m, uint32_t slots, mu_us now);

#endif
