/*
 * shed.c -- whether a new program may start at the load of its service.
 *
 * Designed for bursts in which programs ask for more than all endpoints can
 * run.  A program counts only as a whole, and one turn brings others, some of
 * them at once (sub-agents).  Programs that start while the slots are taken
 * therefore make all programs late, those under way too, and the load stays
 * high long after the burst.  Programs are refused at their first turn, before
 * any work is spent on them; a program that has started is never refused here.
 *
 * The least urgent programs are refused while there are still free slots, which
 * the turns to come of started programs will need.  That leaves room for the
 * others, so they are refused only when requests pile up in front of the slots.
 */
#include "shed.h"
#include "view.h"

/* Requests per slot from which no program of a class starts. */
#define FIRST_UTILIZATION_MAX 0.6
/* The queue is then about as long as a program's time limit bears: programs
 * are given 1.3 to 1.5 times their time on idle endpoints. */
#define LAST_UTILIZATION_MAX 1.3
/* The remaining slots serve concurrent calls of started programs, and endpoints
 * slow down as they fill.  Where no programs are less urgent, the load is
 * estimated from old reports (loadest.c) and is higher than the estimate. */
#define DEFAULT_UTILIZATION_MAX 0.75

/* Some turns end within this time, and a caller can retry several times. */
#define RETRY_DEFAULT_MS 350
/* A long program can wait longer for room and still end in time: its limit
 * exceeds its time on idle endpoints by a third or more, and it has a few
 * attempts. */
#define RETRY_LEFT_DIVISOR 8
#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 1200 /* callers honor a third of their time limit */

enum mu_shed_class
mu_shed_class(uint32_t first, uint32_t priority, uint32_t least_urgent)
{
	if (first == 0 || least_urgent < first)
		return MU_SHED_DEFAULT;
	return priority >= first ? MU_SHED_FIRST : MU_SHED_LAST;
}

bool
mu_shed_admits(enum mu_shed_class cl, double utilization)
{
	switch (cl) {
	case MU_SHED_DEFAULT:
		break;
	case MU_SHED_FIRST:
		return utilization < FIRST_UTILIZATION_MAX;
	case MU_SHED_LAST:
		return utilization < LAST_UTILIZATION_MAX;
	}
	return utilization < DEFAULT_UTILIZATION_MAX;
}

/* Spread by a quarter to either side, so that the callers refused in one moment
 * don't return together. */
uint32_t
mu_shed_retry_ms(enum mu_shed_class cl, uint32_t left_ms, uint64_t *rng)
{
	uint32_t ms = left_ms / RETRY_LEFT_DIVISOR;

	if (cl == MU_SHED_DEFAULT)
		return RETRY_DEFAULT_MS;
	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	return ms * 3 / 4 + (uint32_t)(mu_rand(rng) % (ms / 2));
}

const char *
mu_shed_class_name(enum mu_shed_class cl)
{
	static const char *const names[] = {"default", "first", "last"};

	return names[cl];
}
