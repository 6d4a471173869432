/*
 * cache.h -- prefix cache of the engine stand-in.
 *
 * Not thread-safe: the engine calls it under eng.lock.
 */
#ifndef CACHE_H
#define CACHE_H

#include "serve.h"

/* The cached prefix of one program. */
struct cache_entry {
	struct cds_list_head node;
	char program[MU_NAME_LEN + 1];
	uint64_t tokens;
};

/* The server supplies the clock and the faults. */
void cache_init(struct server *s, uint64_t max_tokens, uint64_t seed);
/* NULL when nothing is cached for the program. */
struct cache_entry *cache_find(const char *program);
void cache_evict(struct cache_entry *e);
/* Sets a program's cached prefix length and makes it most recently used. */
void cache_store(const char *program, uint64_t tokens);
/* Fills in the cache fields of a load report. */
void cache_load(struct serve_load *l);
/* Answers of /v1/events and /v1/held. */
json_t *cache_events(uint64_t after);
json_t *cache_entries(void);

#endif
