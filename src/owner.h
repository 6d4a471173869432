/*
 * owner.h -- request handling at the daemon that owns the program's slot.
 *
 * Programs are partitioned into slots; each slot is owned by one daemon at a
 * time, which holds the state of its programs and runs their calls.
 */
#ifndef MU_OWNER_H
#define MU_OWNER_H

#include "daemon.h"

/*
 * Handles a request for a slot of this daemon.  Returns a new reference to a
 * stream that has ended or will end, or NULL when out of memory.  The reply
 * has not_owner set when the request must go to another daemon.
 */
struct mu_stream *mu_owner_handle(struct mu_daemon *d, const struct mu_req *r);

/*
 * Returns the entry hosts for a caller, best first: the owner of slot (-1:
 * none), then the others by load.  {"addresses":[...],"ttl_ms":N}
 */
json_t *mu_owner_addresses(struct mu_daemon *d, int slot);

#endif
