/*
 * stop.c -- when a draining daemon may exit.
 */
#include "stop.h"

/* Callers may use an address, and connections open to it, for up to three times
 * its TTL. */
#define ADDRESS_TTL_FACTOR 3
#define KILL_MARGIN_MS 700 /* exit this long before the platform kills it */

void
mu_stop_begin(
    struct mu_stop *s, mu_us now, uint32_t address_ttl_ms, uint32_t stop_ms)
{
	s->began = s->idle_since = now;
	s->min_drain = ADDRESS_TTL_FACTOR * address_ttl_ms * MU_US_PER_MS;
	s->max_drain = ((mu_us)stop_ms - KILL_MARGIN_MS) * MU_US_PER_MS;
}

bool
mu_stop_poll(struct mu_stop *s, mu_us now, unsigned calls)
{
	mu_us elapsed = now - s->began;

	if (calls > 0)
		s->idle_since = now;
	return elapsed >= s->max_drain ||
	       (elapsed >= s->min_drain &&
		   now - s->idle_since >= MU_STOP_POLL_INTERVAL_US);
}
