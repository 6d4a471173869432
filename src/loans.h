/*
 * loans.h -- asks programs' guarantors, and answers as one.
 *
 * The guarantor of a program is the one daemon of the fleet that rendezvous
 * hashing gives it, whether it is up or not (guarantor.h says what it may
 * give).
 */
#ifndef MU_LOANS_H
#define MU_LOANS_H

#include "guarantor.h"
#include "mesh.h"

struct mu_loans;

/* NULL when memory is short; host stays the caller's. */
struct mu_loans *
mu_loans_new(struct mu_loop *l, struct mu_mesh *m, const char *host);
/* After the mesh has been freed. */
void mu_loans_free(struct mu_loans *x);
/* The fleet has no past: nothing was lent from budgets before. */
void mu_loans_trust(struct mu_loans *x);
/* done is called once, maybe from within; a guarantor that cannot be reached
 * gives nothing. */
void mu_loans_request(struct mu_loans *x, const struct mu_loan_request *q,
    mu_loan_fn fn, void *arg);
/* A frame of another daemon. */
void mu_loans_on_request(
    struct mu_loans *x, struct mu_mesh_link *from, const Mu__Guarantee *q);

#endif
