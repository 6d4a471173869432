/*
 * stop.c -- when a serving daemon that leaves may end.
 */
#include "stop.h"

/* Callers keep an address for up to three times its lifetime and use open
 * connections until then. */
#define TTL_FACTOR 3
#define MARGIN_MS 700 /* to end before the platform kills the process */

void
mu_stop_begin(
    struct mu_stop *s, mu_us now, uint32_t address_ttl_ms, uint32_t stop_ms)
{
	s->began = s->quiet = now;
	s->stay = TTL_FACTOR * address_ttl_ms * MU_US_PER_MS;
	s->limit = ((mu_us)stop_ms - MARGIN_MS) * MU_US_PER_MS;
}

bool
mu_stop_look(struct mu_stop *s, mu_us now, unsigned calls)
{
	mu_us since = now - s->began;

	if (calls > 0)
		s->quiet = now;
	return since >= s->limit ||
	       (since >= s->stay && now - s->quiet >= MU_STOP_LOOK_US);
}
