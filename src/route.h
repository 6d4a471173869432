/*
 * route.h -- brings a request to the owner of its slot, here or elsewhere.
 */
#ifndef MU_ROUTE_H
#define MU_ROUTE_H

#include "daemon.h"

/*
 * Routes a request and waits for its end.  The answer is in the stream that
 * is returned (one reference is the caller's); NULL on no memory.
 */
struct mu_stream *mu_route(struct mu_daemon *d, const struct mu_req *r);
/* The same on a thread of its own; the stream is followed meanwhile. */
struct mu_stream *mu_route_start(struct mu_daemon *d, const struct mu_req *r);

/* Serves a request that another daemon forwarded. */
void mu_route_serve_forwarded(
    void *daemon, const Mu__Forward *f, struct mu_peer_responder *to);

#endif
