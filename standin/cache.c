/*
 * cache.c -- prefix cache of the engine stand-in.
 *
 * Keyed by program, it counts the cached prefix tokens and evicts the least
 * recently used program when it is full.  Each change adds an event to a
 * ring; a seeded generator decides which events are lost when they are added,
 * so that a seed reproduces the gaps of a run.
 */
#include <stdlib.h>
#include <string.h>

#include "cache.h"

#define MAX_EVENTS 8192 /* older events are overwritten */
#define DEFAULT_SEED 1

struct event {
	uint64_t seq;
	mu_us at;
	bool lost;
	bool stored; /* else evicted */
	char program[MU_NAME_LEN + 1];
	uint64_t tokens;
};

static struct {
	struct server *s;
	struct cds_list_head list; /* most recently used first */
	uint64_t used; /* tokens */
	uint64_t max; /* tokens */
	struct event events[MAX_EVENTS];
	uint64_t nevents; /* since the start */
	uint64_t rng_state;
} cache = {.list = CDS_LIST_HEAD_INIT(cache.list)};

void
cache_init(struct server *s, uint64_t max_tokens, uint64_t seed)
{
	cache.s = s;
	cache.max = max_tokens;
	cache.rng_state = seed == 0 ? DEFAULT_SEED : seed;
}

/* Uniform in [0, 1); xorshift64*. */
static double
random_unit(void)
{
	cache.rng_state ^= cache.rng_state >> 12;
	cache.rng_state ^= cache.rng_state << 25;
	cache.rng_state ^= cache.rng_state >> 27;
	return (double)((cache.rng_state * 0x2545f4914f6cdd1dULL) >> 11) /
	       (double)(1ULL << 53);
}

static void
event_add(bool stored, const char *program, uint64_t tokens)
{
	struct event *e = &cache.events[cache.nevents % MAX_EVENTS];

	e->seq = ++cache.nevents;
	e->at = serve_now(cache.s);
	e->lost = random_unit() < serve_get_faults(cache.s).event_loss;
	e->stored = stored;
	e->tokens = tokens;
	snprintf(e->program, sizeof(e->program), "%s", program);
}

struct cache_entry *
cache_find(const char *program)
{
	struct cache_entry *e;

	cds_list_for_each_entry (e, &cache.list, node) {
		if (strcmp(e->program, program) == 0)
			return e;
	}
	return NULL;
}

void
cache_evict(struct cache_entry *e)
{
	event_add(false, e->program, 0);
	cache.used -= e->tokens;
	cds_list_del(&e->node);
	free(e);
}

void
cache_store(const char *program, uint64_t tokens)
{
	struct cache_entry *e = cache_find(program);

	if (tokens > cache.max)
		tokens = cache.max;
	if (e == NULL) {
		if ((e = calloc(1, sizeof(*e))) == NULL)
			abort();
		snprintf(e->program, sizeof(e->program), "%s", program);
	} else {
		cache.used -= e->tokens;
		cds_list_del(&e->node);
	}
	e->tokens = tokens;
	while (cache.used + tokens > cache.max)
		cache_evict(
		    cds_list_entry(cache.list.prev, struct cache_entry, node));
	cache.used += tokens;
	cds_list_add(&e->node, &cache.list);
	event_add(true, program, tokens);
}

void
cache_load(struct serve_load *l)
{
	l->cache_used = cache.used;
	l->cache_max = cache.max;
}

/*
 * Events that are at least event_lag_ms old.  A reader whose position is past
 * the last event read from this engine before a restart; it starts from 0.
 */
json_t *
cache_events(uint64_t after)
{
	mu_us lag = serve_get_faults(cache.s).event_lag_ms * MU_US_PER_MS;
	mu_us now = serve_now(cache.s);
	json_t *list = json_array();
	uint64_t i;

	if (after > cache.nevents)
		after = 0;
	if (cache.nevents > MAX_EVENTS && after < cache.nevents - MAX_EVENTS)
		after = cache.nevents - MAX_EVENTS;
	for (i = after; i < cache.nevents; i++) {
		const struct event *e = &cache.events[i % MAX_EVENTS];

		if (now - e->at < lag)
			break;
		after = e->seq;
		if (!e->lost)
			json_array_append_new(list,
			    json_pack("{s:I,s:s,s:s,s:I}", "n",
				(json_int_t)e->seq, "kind",
				e->stored ? "stored" : "evicted", "program",
				e->program, "tokens", (json_int_t)e->tokens));
	}
	return json_pack(
	    "{s:o,s:I}", "events", list, "next", (json_int_t)after);
}

json_t *
cache_entries(void)
{
	json_t *list = json_array();
	struct cache_entry *e;

	cds_list_for_each_entry (e, &cache.list, node) {
		json_array_append_new(
		    list, json_pack("{s:s,s:I}", "program", e->program,
			      "tokens", (json_int_t)e->tokens));
	}
	return json_pack("{s:o}", "held", list);
}
