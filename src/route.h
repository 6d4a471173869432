/*
 * route.h -- routes requests to the daemon that owns their slot.
 */
#ifndef MU_ROUTE_H
#define MU_ROUTE_H

#include "daemon.h"

/*
 * Routes a request and waits until it has ended.  Returns the stream with its
 * answer, with one reference for the caller, or NULL when out of memory.
 */
struct mu_stream *mu_route(struct mu_daemon *d, const struct mu_req *r);
/* Does the same on its own thread; the stream can be read meanwhile. */
struct mu_stream *mu_route_start(struct mu_daemon *d, const struct mu_req *r);

/* Serves a request that another daemon forwarded. */
void mu_route_serve_forwarded(
    void *daemon, const Mu__Forward *f, struct mu_peer_responder *to);

#endif
