/*
 * policies.c -- default policy, its variants and the baselines.
 */
#include <string.h>

#include "sim.h"

const struct policy policies[] = {
    /* name, placement, retention, priorities, admission */
    {"musher", PLACE_MUSHER, RETAIN_MUSHER, true, true},
    {"rr", PLACE_ROUND_ROBIN, RETAIN_BY_ENGINE, false, false},
    {"least", PLACE_LEAST_LOADED, RETAIN_BY_ENGINE, false, false},
    {"least-sampled", PLACE_SAMPLED, RETAIN_BY_ENGINE, false, false},
    {"sticky", PLACE_STICKY, RETAIN_BY_ENGINE, false, false},
    {"fcfs", PLACE_ESTIMATED_TIME, RETAIN_BY_ENGINE, false, false},
    {"bound", PLACE_BOUND, RETAIN_BY_ENGINE, false, false},
    /* default policy with parts replaced or disabled */
    {"no-place", PLACE_STICKY, RETAIN_MUSHER, true, true},
    {"no-order", PLACE_MUSHER, RETAIN_MUSHER, false, true},
    {"no-admit", PLACE_MUSHER, RETAIN_MUSHER, true, false},
    {"no-retain", PLACE_MUSHER, RETAIN_BY_ENGINE, true, true},
    {"keep-always", PLACE_MUSHER, RETAIN_UNTIL_END, true, true},
    {"drop-always", PLACE_MUSHER, RETAIN_NEVER, true, true},
    {"place-only", PLACE_MUSHER, RETAIN_BY_ENGINE, false, false},
};
const unsigned npolicies = sizeof(policies) / sizeof(policies[0]);

const struct policy *
policy_find(const char *name)
{
	for (unsigned i = 0; i < npolicies; i++)
		if (strcmp(policies[i].name, name) == 0)
			return &policies[i];
	return NULL;
}
