/*
 * hmap.h -- hash table with string keys; nodes are embedded in their owners.
 */
#ifndef MU_HMAP_H
#define MU_HMAP_H

#include "musher.h"

struct mu_hnode {
	struct mu_hnode *next;
	const char *key; /* owned by the owner of the node */
	uint64_t hash;
};

struct mu_hmap {
	struct mu_hnode **bucket;
	size_t nbuckets; /* a power of two */
	size_t count;
};

uint64_t mu_hash(const char *s);
/* Rendezvous hashing: weight of a host for a key; the highest weight wins. */
uint64_t mu_rendezvous(const char *host, const char *key);
/* Returns 0 or MU_E_NOMEM. */
int mu_hmap_init(struct mu_hmap *m);
void mu_hmap_clear(struct mu_hmap *m); /* frees the buckets, not the nodes */
struct mu_hnode *mu_hmap_find(const struct mu_hmap *m, const char *key);
/* n->key must be set and must not be in m. */
void mu_hmap_add(struct mu_hmap *m, struct mu_hnode *n);
void mu_hmap_del(struct mu_hmap *m, struct mu_hnode *n);

/* The struct that embeds node as its member. */
#define MU_CONTAINER_OF(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

#endif
