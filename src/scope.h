/*
 * scope.h -- ids of programs and turns within one customer.
 *
 * Callers choose their ids, so two customers may choose the same one.  A
 * scoped id names the customer too: state kept under it is never shared.
 * Without a customer an id is its own scoped id, as in rows written before
 * customers were configured.
 */
#ifndef MU_SCOPE_H
#define MU_SCOPE_H

#include "musher.h"

/* Returns the scoped id, in the arena if it differs from id.  customer may be
 * NULL.  NULL when out of memory. */
const char *
mu_scope_id(struct mu_arena *a, const char *customer, const char *id);
/* The caller's own id in a scoped id. */
const char *mu_scope_plain(const char *scoped);

#endif
