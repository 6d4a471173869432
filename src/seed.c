/*
 * seed.c -- rows of the store as this daemon last read them.
 *
 * Load that this answers: daemons are restarted while the store is out. Without
 * their peers' word they would know neither configuration nor endpoints until
 * its return, and a fleet under restart would lose its capacity.  A few hundred
 * rows, kept packed as they are sent.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "hmap.h"
#include "log.h"
#include "seed.h"

#define NAME_BYTES 512 /* table, part and key */

struct kept {
	struct mu_hnode node;
	struct cds_list_head all;
	char name[NAME_BYTES];
	size_t table_len; /* of name */
	ProtobufCBinaryData bytes;
};

struct mu_seed {
	struct mu_hmap by_name;
	struct cds_list_head all;
};

struct mu_seed *
mu_seed_new(void)
{
	struct mu_seed *s = calloc(1, sizeof(*s));

	if (s == NULL || mu_hmap_init(&s->by_name) != 0) {
		free(s);
		return NULL;
	}
	CDS_INIT_LIST_HEAD(&s->all);
	return s;
}

static void
drop(struct mu_seed *s, struct kept *k)
{
	mu_hmap_del(&s->by_name, &k->node);
	cds_list_del(&k->all);
	free(k->bytes.data);
	free(k);
}

void
mu_seed_free(struct mu_seed *s)
{
	struct kept *k, *next;

	if (s == NULL)
		return;
	cds_list_for_each_entry_safe (k, next, &s->all, all)
		drop(s, k);
	mu_hmap_clear(&s->by_name);
	free(s);
}

static struct kept *
find(struct mu_seed *s, const char *name)
{
	struct mu_hnode *n = mu_hmap_find(&s->by_name, name);

	return n != NULL ? MU_CONTAINER_OF(n, struct kept, node) : NULL;
}

void
mu_seed_row(struct mu_seed *s, const Mu__StoreRow *row)
{
	char name[NAME_BYTES];
	struct kept *k;

	if (snprintf(name, sizeof(name), "%s/%s/%s", row->table, row->part,
		row->key) >= (int)sizeof(name))
		return;
	k = find(s, name);
	if (k != NULL)
		drop(s, k);
	if (row->removed)
		return;
	k = calloc(1, sizeof(*k));
	if (k == NULL)
		abort();
	memcpy(k->name, name, sizeof(name));
	k->node.key = k->name;
	k->table_len = strlen(row->table);
	k->bytes.len = mu__store_row__get_packed_size(row);
	k->bytes.data = malloc(k->bytes.len + 1);
	if (k->bytes.data == NULL)
		abort();
	(void)mu__store_row__pack(row, k->bytes.data);
	mu_hmap_add(&s->by_name, &k->node);
	cds_list_add_tail(&k->all, &s->all);
}

void
mu_seed_drop(struct mu_seed *s, const char *table)
{
	size_t n = strlen(table);
	struct kept *k, *next;

	cds_list_for_each_entry_safe (k, next, &s->all, all)
		if (k->table_len == n && strncmp(k->name, table, n) == 0)
			drop(s, k);
}

void
mu_seed_fill(const struct mu_seed *s, Mu__Seed *out)
{
	struct kept *k;

	out->n_rows = 0;
	out->rows = calloc(s->by_name.count + 1, sizeof(*out->rows));
	if (out->rows == NULL)
		abort();
	cds_list_for_each_entry (k, &s->all, all)
		out->rows[out->n_rows++] = k->bytes;
}

void
mu_seed_release(Mu__Seed *out)
{
	free(out->rows); /* the bytes are the seed's own */
	out->rows = NULL;
	out->n_rows = 0;
}

size_t
mu_seed_each(const Mu__Seed *seed,
    void (*fn)(void *arg, const Mu__StoreRow *row), void *arg)
{
	Mu__StoreRow *row;
	size_t i, n = 0;

	for (i = 0; i < seed->n_rows; i++) {
		row = mu__store_row__unpack(
		    NULL, seed->rows[i].len, seed->rows[i].data);
		if (row == NULL) {
			mu_log(MU_LOG_WARN, "seed", "row_unreadable", NULL);
			continue;
		}
		fn(arg, row);
		mu__store_row__free_unpacked(row, NULL);
		n++;
	}
	return n;
}
