/*
 * stop.h -- when a serving daemon that leaves may end.
 *
 * Load that this answers: a planned stop under traffic.  Callers keep an
 * address for a while and use open connections until then, so the daemon
 * serves on until they have had time to leave and no call has been in progress
 * for a while; but it ends before the platform would kill it.  Pure.
 */
#ifndef MU_STOP_H
#define MU_STOP_H

#include "musher.h"

/* Between two looks, and how long there must be no call. */
#define MU_STOP_LOOK_US (100 * MU_US_PER_MS)

struct mu_stop {
	mu_us began; /* 0: the daemon does not leave */
	mu_us idle_since; /* since when no call was in progress */
	mu_us min_drain; /* callers may come for this long */
	mu_us max_drain;
};

/* Callers keep an address for address_ttl_ms; the platform kills the process
 * after stop_ms. */
void mu_stop_begin(
    struct mu_stop *s, mu_us now, uint32_t address_ttl_ms, uint32_t stop_ms);
/* Whether it may end now, with so many calls in progress. */
bool mu_stop_look(struct mu_stop *s, mu_us now, unsigned calls);

#endif
