/*
 * clock.c -- real and manual clocks.
 *
 * CLOCK_BOOTTIME includes time spent suspended, so that a lease holder that
 * was suspended past the end of its lease notices it on resume.  Tests use a
 * manual clock.
 */
#include <time.h>

#include "musher.h"

void
mu_clock_real(struct mu_clock *c)
{
	c->manual = false;
	c->manual_now = 0;
}

void
mu_clock_manual(struct mu_clock *c, mu_us now)
{
	c->manual = true;
	c->manual_now = now;
}

mu_us
mu_now(const struct mu_clock *c)
{
	struct timespec ts;

	if (c->manual)
		return __atomic_load_n(&c->manual_now, __ATOMIC_ACQUIRE);
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (mu_us)ts.tv_sec * MU_US_PER_S + ts.tv_nsec / 1000;
}

void
mu_clock_advance(struct mu_clock *c, mu_us d)
{
	__atomic_add_fetch(&c->manual_now, d, __ATOMIC_ACQ_REL);
}
