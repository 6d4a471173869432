/*
 * loans.h -- requests loans from programs' guarantors, and serves the requests
 * of other daemons to this one.
 *
 * The guarantor of a program is chosen among all known daemons of the fleet,
 * whether they are up or not (guarantor.h).
 */
#ifndef MU_LOANS_H
#define MU_LOANS_H

#include "guarantor.h"
#include "mesh.h"

struct mu_loans;

/* Returns NULL when out of memory; host must outlive the result. */
struct mu_loans *
mu_loans_new(struct mu_loop *l, struct mu_mesh *m, const char *host);
/* Must be called after the mesh has been freed. */
void mu_loans_free(struct mu_loans *x);
/* Ends the grace period of this daemon's guarantor at the first start of the
 * fleet. */
void mu_loans_skip_grace(struct mu_loans *x);
/* Requests a loan or a release. fn is called exactly once, possibly before
 * this returns; an unreachable guarantor gives nothing. */
void mu_loans_request(struct mu_loans *x, const struct mu_loan_request *q,
    mu_loan_fn fn, void *arg);
/* Handles a Guarantee frame of another daemon. */
void mu_loans_on_request(
    struct mu_loans *x, struct mu_mesh_link *from, const Mu__Guarantee *q);

#endif
