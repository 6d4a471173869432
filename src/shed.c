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

/* Requests per slot from which no program of a class starts. */
#define FIRST_UTILIZATION_MAX 0.6
/* The queue is then about as long as a program's time limit bears: programs
 * are given 1.3 to 1.5 times their time on idle endpoints. */
#define LAST_UTILIZATION_MAX 1.3
/* Where no programs are less urgent, the load is estimated from old reports
 * (loadest.c) and is higher than the estimate. */
#define DEFAULT_UTILIZATION_MAX 0.75

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

const char *
mu_shed_class_name(enum mu_shed_class cl)
{
	static const char *const names[] = {"default", "first", "last"};

	return names[cl];
}
