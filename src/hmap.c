/*
 * hmap.c -- hash table with string keys: chained, doubled when full.
 */
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "hmap.h"

#define INITIAL_BUCKETS 64

uint64_t
mu_hash(const char *s)
{
	return XXH3_64bits(s, strlen(s));
}

uint64_t
mu_rendezvous(const char *host, const char *key)
{
	uint64_t z = mu_hash(host) ^ (mu_hash(key) * 0x9e3779b97f4a7c15ULL);

	/* Finalizer of splitmix64: mixes all bits of both hashes. */
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

int
mu_hmap_init(struct mu_hmap *m)
{
	m->nbuckets = INITIAL_BUCKETS;
	m->count = 0;
	m->bucket = calloc(m->nbuckets, sizeof(struct mu_hnode *));
	return m->bucket != NULL ? 0 : MU_E_NOMEM;
}

void
mu_hmap_clear(struct mu_hmap *m)
{
	free(m->bucket);
	memset(m, 0, sizeof(*m));
}

struct mu_hnode *
mu_hmap_find(const struct mu_hmap *m, const char *key)
{
	uint64_t hash = mu_hash(key);
	struct mu_hnode *n;

	for (n = m->bucket[hash & (m->nbuckets - 1)]; n != NULL; n = n->next)
		if (n->hash == hash && strcmp(n->key, key) == 0)
			return n;
	return NULL;
}

static void
push(struct mu_hnode **bucket, size_t nbuckets, struct mu_hnode *n)
{
	struct mu_hnode **head = &bucket[n->hash & (nbuckets - 1)];

	n->next = *head;
	*head = n;
}

/* If out of memory, the table keeps its size: slower but correct. */
static void
grow(struct mu_hmap *m)
{
	size_t i, size = 2 * m->nbuckets;
	struct mu_hnode **bucket = calloc(size, sizeof(struct mu_hnode *));
	struct mu_hnode *n;

	if (bucket == NULL)
		return;
	for (i = 0; i < m->nbuckets; i++)
		while ((n = m->bucket[i]) != NULL) {
			m->bucket[i] = n->next;
			push(bucket, size, n);
		}
	free(m->bucket);
	m->bucket = bucket;
	m->nbuckets = size;
}

void
mu_hmap_add(struct mu_hmap *m, struct mu_hnode *n)
{
	if (m->count >= m->nbuckets)
		grow(m);
	n->hash = mu_hash(n->key);
	push(m->bucket, m->nbuckets, n);
	m->count++;
}

void
mu_hmap_del(struct mu_hmap *m, struct mu_hnode *n)
{
	struct mu_hnode **p = &m->bucket[n->hash & (m->nbuckets - 1)];

	while (*p != NULL && *p != n)
		p = &(*p)->next;
	if (*p == NULL)
		return;
	*p = n->next;
	m->count--;
}
