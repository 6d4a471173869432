/*
 * customer.c -- the customers of one configuration version and their keys.
 *
 * Keys arrive from outside, so they are found through a hash whose secret is
 * drawn for each table, which keeps a caller from choosing keys that collide,
 * and compared in constant time.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "customer.h"
#include "hmap.h"

#define FIRST_BUCKETS 64 /* a power of two */

struct entry {
	struct mu_hnode by_name;
	struct cds_list_head all;
	struct mu_customer customer;
	size_t nkeys;
};

struct key {
	struct key *next;
	struct entry *owner;
	uint64_t hash;
	size_t len;
	char text[];
};

struct mu_customers {
	struct mu_hmap names;
	struct cds_list_head entries; /* newest first */
	struct key **bucket;
	size_t nbuckets;
	size_t nkeys;
	unsigned char secret[crypto_shorthash_KEYBYTES];
};

struct mu_customers *
mu_customers_new(void)
{
	struct mu_customers *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	CDS_INIT_LIST_HEAD(&t->entries);
	t->nbuckets = FIRST_BUCKETS;
	t->bucket = calloc(t->nbuckets, sizeof(struct key *));
	if (t->bucket == NULL || mu_hmap_init(&t->names) != 0) {
		free(t->bucket);
		free(t);
		return NULL;
	}
	crypto_shorthash_keygen(t->secret);
	return t;
}

void
mu_customers_free(struct mu_customers *t)
{
	struct entry *c, *next;
	struct key *k, *after;
	size_t i;

	if (t == NULL)
		return;
	for (i = 0; i < t->nbuckets; i++)
		for (k = t->bucket[i]; k != NULL; k = after) {
			after = k->next;
			sodium_memzero(k->text, k->len);
			free(k);
		}
	cds_list_for_each_entry_safe (c, next, &t->entries, all)
		free(c);
	mu_hmap_clear(&t->names);
	free(t->bucket);
	free(t);
}

static int
invalid(struct mu_error *e, const char *what, const char *name)
{
	return mu_fail(e, MU_E_CONFIG_INVALID, MU_OUTCOME_NOT_RUN, 0,
	    "%s of customer %s", what, name);
}

static int
no_memory(struct mu_error *e)
{
	return mu_fail(e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "out of memory");
}

/* Names are sent in a header. */
static bool
name_valid(const char *name)
{
	const unsigned char *p = (const unsigned char *)name;

	for (; *p > ' ' && *p < 0x7f; p++)
		;
	return *p == '\0' && *name != '\0';
}

int
mu_customers_add(
    struct mu_customers *t, const struct mu_customer *spec, struct mu_error *e)
{
	struct entry *c;

	if (!name_valid(spec->name))
		return invalid(e, "bad name", "(unnamed)");
	if (mu_hmap_find(&t->names, spec->name) != NULL)
		return invalid(e, "second entry", spec->name);
	if (!(spec->rate >= 0) || !(spec->burst >= 0))
		return invalid(e, "negative limit", spec->name);
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return no_memory(e);
	c->customer = *spec;
	c->by_name.key = c->customer.name;
	mu_hmap_add(&t->names, &c->by_name);
	cds_list_add(&c->all, &t->entries);
	return 0;
}

static uint64_t
hash_key(const struct mu_customers *t, const char *key, size_t len)
{
	unsigned char out[crypto_shorthash_BYTES];
	uint64_t h;

	(void)crypto_shorthash(out, (const unsigned char *)key, len, t->secret);
	memcpy(&h, out, sizeof(h));
	return h;
}

static struct key *
find_key(const struct mu_customers *t, const char *key)
{
	size_t len = strlen(key);
	uint64_t h = hash_key(t, key, len);
	struct key *k;

	for (k = t->bucket[h & (t->nbuckets - 1)]; k != NULL; k = k->next)
		if (k->hash == h && k->len == len &&
		    sodium_memcmp(k->text, key, len) == 0)
			return k;
	return NULL;
}

/* Doubles the buckets; keeps them when out of memory. */
static void
grow(struct mu_customers *t)
{
	size_t i, n = t->nbuckets * 2;
	struct key **bucket = calloc(n, sizeof(*bucket)), *k, *after;

	if (bucket == NULL)
		return;
	for (i = 0; i < t->nbuckets; i++)
		for (k = t->bucket[i]; k != NULL; k = after) {
			after = k->next;
			k->next = bucket[k->hash & (n - 1)];
			bucket[k->hash & (n - 1)] = k;
		}
	free(t->bucket);
	t->bucket = bucket;
	t->nbuckets = n;
}

int
mu_customers_add_key(
    struct mu_customers *t, const char *key, struct mu_error *e)
{
	size_t len = strlen(key);
	struct entry *c = cds_list_first_entry(&t->entries, struct entry, all);
	struct key *k, **head;

	if (len == 0 || len > MU_CUSTOMER_KEY_BYTES)
		return invalid(e, len == 0 ? "empty key" : "over-long key",
		    c->customer.name);
	if (c->nkeys == MU_CUSTOMER_KEYS_MAX)
		return invalid(e, "too many keys", c->customer.name);
	if (find_key(t, key) != NULL)
		return invalid(e, "key held twice, again", c->customer.name);
	k = calloc(1, sizeof(*k) + len + 1);
	if (k == NULL)
		return no_memory(e);
	memcpy(k->text, key, len);
	k->len = len;
	k->owner = c;
	k->hash = hash_key(t, key, len);
	if (t->nkeys >= t->nbuckets)
		grow(t);
	head = &t->bucket[k->hash & (t->nbuckets - 1)];
	k->next = *head;
	*head = k;
	t->nkeys++;
	c->nkeys++;
	return 0;
}

const struct mu_customer *
mu_customers_by_key(const struct mu_customers *t, const char *key)
{
	struct key *k = find_key(t, key);

	return k != NULL ? &k->owner->customer : NULL;
}

const struct mu_customer *
mu_customers_by_name(const struct mu_customers *t, const char *name)
{
	struct mu_hnode *n = mu_hmap_find(&t->names, name);

	return n != NULL ? &MU_CONTAINER_OF(n, struct entry, by_name)->customer
			 : NULL;
}

size_t
mu_customers_count(const struct mu_customers *t)
{
	return t->names.count;
}
