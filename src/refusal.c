/*
 * refusal.c -- memory of requests that were refused as not run.
 *
 * A set-associative table, like a CPU cache: the number selects a set of
 * SET_WAYS entries, and a new number replaces the oldest one of its set.
 */
#include <string.h>

#include "refusal.h"

#define SET_WAYS 8

void
mu_refusals_init(struct mu_refusals *r)
{
	memset(r->request, 0, sizeof(r->request));
	pthread_mutex_init(&r->lock, NULL);
}

static uint64_t *
set_of(struct mu_refusals *r, uint64_t request)
{
	return &r->request[(request % (MU_REFUSALS_MAX / SET_WAYS)) * SET_WAYS];
}

void
mu_refusals_add(struct mu_refusals *r, uint64_t request)
{
	uint64_t *set = set_of(r, request);

	if (request == 0)
		return;
	pthread_mutex_lock(&r->lock);
	memmove(set + 1, set, (SET_WAYS - 1) * sizeof(*set));
	set[0] = request;
	pthread_mutex_unlock(&r->lock);
}

bool
mu_refusals_contains(struct mu_refusals *r, uint64_t request)
{
	uint64_t *set = set_of(r, request);
	bool found = false;
	int i;

	if (request == 0)
		return false;
	pthread_mutex_lock(&r->lock);
	for (i = 0; i < SET_WAYS; i++)
		if (set[i] == request)
			found = true;
	pthread_mutex_unlock(&r->lock);
	return found;
}
