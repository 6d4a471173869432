/*
 * storerelay.h -- operations on the store that one daemon runs for another.
 */
#ifndef MU_STORERELAY_H
#define MU_STORERELAY_H

#include "serve.h"

/* Runs an operation for a peer and replies with its result. */
void mu_relay_on_request(
    struct mu_serve *s, struct mu_mesh_link *from, const Mu__Relay *m);

/* The relay of this daemon's store (store.h); arg is the mu_serve. */
bool mu_relay_available(void *arg);
void mu_relay_run(void *arg, const Mu__StoreOp *op, uint32_t limit_ms,
    mu_store_result_fn done, void *done_arg);

#endif
