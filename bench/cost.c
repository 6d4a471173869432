/*
 * cost.c -- runs one kind of decision so that callgrind can count its
 * instructions.
 *
 *   cost place|order|admit|next|retain SIZE
 *
 * SIZE is the number of endpoints for place, of queued calls for next and of
 * distinct requests for the others.  Run it under callgrind with
 * --toggle-collect=measure, which counts only measure().  Prints the number
 * of decisions and of allocations in them; malloc() is replaced to count these.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit.h"
#include "order.h"
#include "place.h"
#include "retain.h"

#define DECISIONS 1000
#define SIZE_LIMIT 100000

static unsigned long allocations;

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
extern void *__libc_malloc(size_t n); /* NOLINT(bugprone-reserved-identifier) */

void *
malloc(size_t n)
{
	allocations++;
	return __libc_malloc(n);
}
#endif

enum kind {
	KIND_PLACE,
	KIND_ORDER,
	KIND_ADMIT,
	KIND_NEXT,
	KIND_RETAIN,
	KIND_COUNT
};

static const char *const kinds[] = {
    "place", "order", "admit", "next", "retain"};

struct input {
	uint32_t size;
	uint64_t rng;
	struct mu_endpoint_view *endpoints;
	struct mu_call_info *requests;
	struct mu_queued_call *waiters;
	struct mu_admit_view admit;
	struct mu_retain_view retain;
};

static uint32_t
random_below(uint64_t *rng, uint32_t n)
{
	return (uint32_t)(mu_rand(rng) % n);
}

static void
fill_entry(struct input *in, uint32_t i)
{
	struct mu_endpoint_view *e = &in->endpoints[i];
	struct mu_call_info *r = &in->requests[i];
	struct mu_queued_call *w = &in->waiters[i];

	e->id = mu_rand(&in->rng);
	e->running = random_below(&in->rng, 32);
	e->max_batch = 32;
	e->cache_max = 300000;
	e->cache_used = random_below(&in->rng, 300000);
	e->call_us = 2e6;
	e->prefill_us = 125;
	r->program = mu_rand(&in->rng);
	r->prompt_tokens = 1000 + random_below(&in->rng, 20000);
	r->home_endpoint = i % 2 == 0 ? (int32_t)i : MU_NO_ENDPOINT;
	r->home_tokens = i % 2 == 0 ? r->prompt_tokens - 500 : 0;
	r->attained = random_below(&in->rng, 50000);
	r->waited = random_below(&in->rng, 5000000);
	r->deadline = MU_US_NEVER;
	r->urgency = i % 3 == 0 ? MU_URGENT : MU_NORMAL;
	w->priority = (int32_t)random_below(&in->rng, 10000);
	w->caller_running = random_below(&in->rng, 10);
	w->since = random_below(&in->rng, 5000000);
}

/* Returns false when out of memory. */
static bool
fill_input(struct input *in, uint32_t size)
{
	in->size = size;
	in->rng = 1;
	in->endpoints = calloc(size, sizeof(*in->endpoints));
	in->requests = calloc(size, sizeof(*in->requests));
	in->waiters = calloc(size, sizeof(*in->waiters));
	if (!in->endpoints || !in->requests || !in->waiters)
		return false;
	for (uint32_t i = 0; i < size; i++)
		fill_entry(in, i);
	in->admit = (struct mu_admit_view){.running = 100,
	    .limit = 50,
	    .queue_max = size * 2,
	    .queued = size,
	    .callers = 12,
	    .call_us = 2000000};
	in->retain = (struct mu_retain_view){.tokens = 5000,
	    .cache_used = 290000,
	    .cache_max = 300000,
	    .prefill_us = 125,
	    .return_rate = 0.9};
	return true;
}

/* Not inlined, because callgrind toggles collection on this symbol. */
__attribute__((noinline)) static uint64_t
measure(enum kind kind, struct input *in, uint32_t i)
{
	struct mu_service_view v = {
	    .endpoints = in->endpoints, .nendpoints = in->size, .ndaemons = 7};
	const struct mu_call_info *r = &in->requests[i % in->size];

	switch (kind) {
	case KIND_PLACE:
		return mu_place(&v, r, &in->rng).u.placed.index;
	case KIND_ORDER:
		return (uint64_t)mu_order(r).priority;
	case KIND_ADMIT:
		return mu_admit(&in->admit, r, 0).kind;
	case KIND_NEXT:
		return (uint64_t)mu_admit_next(in->waiters, in->size);
	case KIND_RETAIN:
		return mu_retain(&in->retain).kind;
	case KIND_COUNT:
		break;
	}
	return 0;
}

int
main(int argc, char **argv)
{
	struct input in = {0};
	uint64_t sum = 0;
	uint32_t size = argc == 3 ? (uint32_t)strtoul(argv[2], NULL, 10) : 0;
	unsigned kind = 0;
	unsigned long before;
	int status = 1;

	while (
	    argc == 3 && kind < KIND_COUNT && strcmp(argv[1], kinds[kind]) != 0)
		kind++;
	if (size == 0 || size > SIZE_LIMIT || kind == KIND_COUNT) {
		fputs(
		    "usage: cost place|order|admit|next|retain SIZE\n", stderr);
		return 2;
	}
	if (!fill_input(&in, size))
		goto out;
	before = allocations;
	for (uint32_t i = 0; i < DECISIONS; i++)
		sum += measure((enum kind)kind, &in, i);
	printf("%s %u decisions %d allocations %lu sum %llu\n", argv[1], size,
	    DECISIONS, allocations - before, (unsigned long long)sum);
	status = 0;
out:
	free(in.endpoints);
	free(in.requests);
	free(in.waiters);
	return status;
}
