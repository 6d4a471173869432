/*
 * stop.h -- when a draining daemon may exit.
 *
 * For a planned stop under traffic.  Callers cache an address and use open
 * connections for a while, so the daemon keeps serving until they have had time
 * to move away and no call has been in progress for MU_STOP_POLL_INTERVAL_US,
 * but it exits before the platform would kill it.  Pure functions.
 */
#ifndef MU_STOP_H
#define MU_STOP_H

#include "musher.h"

/* Poll interval, and the time without calls that is required to exit. */
#define MU_STOP_POLL_INTERVAL_US (100 * MU_US_PER_MS)

struct mu_stop {
	mu_us began; /* 0: the daemon is not draining */
	mu_us idle_since; /* no call in progress since then */
	mu_us min_drain; /* callers may still arrive for this long */
	mu_us max_drain; /* exit after this even if calls are in progress */
};

/* Callers cache an address for address_ttl_ms; the platform kills the process
 * after stop_ms. */
void mu_stop_begin(
    struct mu_stop *s, mu_us now, uint32_t address_ttl_ms, uint32_t stop_ms);
/* Whether the daemon may exit now; calls: number in progress. */
bool mu_stop_poll(struct mu_stop *s, mu_us now, unsigned calls);

#endif
